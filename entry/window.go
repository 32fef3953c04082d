package entry

import (
	"sync"

	"github.com/gooseberryroad/gooseberryroad/recovery"
	"github.com/gooseberryroad/gooseberryroad/tokenlog"
)

// attempt identifies an attempt: what cursors contain and the address of its
// upstream.
type attempt struct {
	number   int
	upstream string
	address  string
	version  string
	engineID string
}

// window is the queue of tokens between the goroutine of the generation and the
// writer. It is safe for concurrent use.
type window struct {
	mu  sync.Mutex
	log tokenlog.Log
	// runs gives the attempts that the tokens in log came from, in order.
	runs []attemptRun
	// latest is the attempt of the next token to be pushed. cursorPending is set
	// when it began after the last token and no cursor names it yet.
	latest        *attempt
	cursorPending bool
	end           *ending
	err           error
	closed        bool
	// wake receives a value when the writer has something to do, changed when the
	// writer took a token or failed.
	wake, changed chan struct{}
}

type attemptRun struct {
	attempt *attempt
	tokens  int
}

// ending describes how an answer ends. At most one of its fields is set: the finish
// reason, a failure, or the request that the caller reconnects. None is set if the
// caller disconnected.
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

// moveTo records a new attempt, so that the caller receives a cursor that names the
// attempt before its first token.
func (w *window) moveTo(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latest, w.cursorPending = a, true
	signal(w.wake)
}

// finish ends the stream after the tokens in the window. If the caller is to
// reconnect, these tokens are dropped, because the next daemon reads them again from
// the engine.
func (w *window) finish(e ending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end == nil || e.reconnect && w.end.fail == nil {
		w.end = &e
	}
	signal(w.wake)
}

// fail records an error of writing to the caller.
func (w *window) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	signal(w.changed)
}

// close makes the writer return without writing more.
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

// used returns the bytes of the tokens in the window. Their memory, which memorySize
// returns, is up to an eighth larger.
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

// item is one element for the writer: a token, a cursor or the end of the stream.
type item struct {
	// token is set when text is a token. attempt is the attempt that the cursor
	// of the item names; an item without token and end is a cursor alone.
	token   bool
	text    string
	attempt *attempt
	end     *ending
}

// next removes and returns the next item; false means that there is none yet.
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
