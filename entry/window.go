package entry

import (
	"sync"

	"github.com/gooseberryroad/gooseberryroad/recovery"
	"github.com/gooseberryroad/gooseberryroad/tokenlog"
)

// attempt is one attempt as cursors describe it.
type attempt struct {
	number   int
	upstream string
	address  string
	version  string
	engineID string
}

// window lies between the goroutine of the generation and the writer to the
// caller.
type window struct {
	mu  sync.Mutex
	log tokenlog.Log
	// runs tells which attempt the tokens in log came from.
	runs []attemptRun
	// latest is the attempt of the next token; moved is set when it began
	// after the last token and no cursor names it yet.
	latest        *attempt
	cursorPending bool
	end           *ending
	err           error
	closed        bool
	// wake has a value when the writer has work, changed when it made room or
	// failed.
	wake, changed chan struct{}
}

type attemptRun struct {
	attempt *attempt
	tokens  int
}

// ending is how a stream ends. One of its fields is set.
type ending struct {
	reason    string
	fail      *recovery.Fail
	reconnect bool
}

func newWindow() *window {
	return &window{wake: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (w *window) push(a *attempt, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log.Append(text)
	if n := len(w.runs); n > 0 && w.runs[n-1].attempt == a {
		w.runs[n-1].tokens++
	} else {
		w.runs = append(w.runs, attemptRun{a, 1})
	}
	w.latest, w.cursorPending = a, false
	signal(w.wake)
}

// move records a new attempt, so that the caller gets a cursor that names it
// before its first token.
func (w *window) moveTo(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latest, w.cursorPending = a, true
	signal(w.wake)
}

// finish ends the stream after the tokens in the window. A reconnect drops
// them: the next daemon sends them again from the engine's log.
func (w *window) finish(e ending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end == nil || e.reconnect && w.end.fail == nil {
		w.end = &e
	}
	signal(w.wake)
}

// fail records that the caller cannot be written to.
func (w *window) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	signal(w.changed)
}

// close lets the writer return without writing more.
func (w *window) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	signal(w.wake)
}

func (w *window) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// used returns the bytes of tokens in the window. The memory that it holds,
// size, is up to an eighth more.
func (w *window) used() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.TextLen() + w.log.Len()
}

func (w *window) memorySize() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.Size()
}

func (w *window) writeError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// item is the next thing to write.
type item struct {
	// token is set when text is a token; otherwise the item is a cursor
	// alone.
	token   bool
	text    string
	attempt *attempt
	end     *ending
}

// next returns the next item, or false when there is none yet.
func (w *window) next() (item, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end != nil && w.end.reconnect {
		current := w.latest
		if len(w.runs) > 0 {
			current = w.runs[0].attempt
		}
		return item{attempt: current, end: w.end}, true
	}
	if text, ok := w.log.Shift(); ok {
		if w.runs[0].tokens--; w.runs[0].tokens == 0 {
			w.runs = w.runs[1:]
		}
		signal(w.changed)
		// The cursor names the attempt of the next token.
		if len(w.runs) > 0 {
			return item{token: true, text: text, attempt: w.runs[0].attempt}, true
		}
		w.cursorPending = false
		return item{token: true, text: text, attempt: w.latest}, true
	}
	if w.end != nil {
		return item{attempt: w.latest, end: w.end}, true
	}
	if w.cursorPending {
		w.cursorPending = false
		return item{attempt: w.latest}, true
	}
	return item{}, false
}
