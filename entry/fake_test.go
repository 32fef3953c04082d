package entry_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryroad/gooseberryroad/engine"
)

// fakeEngines is an engine.Client for a set of fake engines. An engine generates
// tokens with the text "VERSION:INDEX ", up to the number that the test allows.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine // by address
}

type fakeEngine struct {
	mu                 sync.Mutex
	version            string
	changed            chan struct{} // closed and replaced on every change
	allowedTokens      int           // index at which running generations pause
	answerTokens       int           // tokens of a complete answer
	refusesConnections bool
	paused             bool // accepts connections but does not answer
	refusal            *engine.RefusedError
	silentConns        int // connections up to this number send nothing more
	brokenConns        int // connections up to this number are broken
	connCount          int
	startCalls         int // calls of Start, answered or not
	running            map[string]*fakeGeneration
	starts             []engine.Request
	resumes            int
	cancels            []string
}

type fakeGeneration struct {
	firstIndex int
	maxTokens  int
	tag        string // the prompt if it begins with #, which shows whose answer it is
}

var errBroken = errors.New("connection reset")

func newFakeEngines(n, total int) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}}
	for i := range n {
		f.engines[address(i)] = &fakeEngine{version: "v1", changed: make(chan struct{}), answerTokens: total, allowedTokens: total, running: map[string]*fakeGeneration{}}
	}
	return f
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 9001+i) }

func (f *fakeEngines) at(addr string) *fakeEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[addr]
}

// set changes an engine and wakes the calls and connections that wait for it.
func (e *fakeEngine) set(change func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *fakeEngine) get(read func(e *fakeEngine) int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return read(e)
}

func (e *fakeEngine) kill() {
	e.set(func(e *fakeEngine) { e.refusesConnections = true; e.running = map[string]*fakeGeneration{} })
}

// waitReachable waits while the engine is paused and fails if it refuses
// connections.
func (e *fakeEngine) waitReachable(ctx context.Context) error {
	for {
		e.mu.Lock()
		refuses, paused, changed := e.refusesConnections, e.paused, e.changed
		e.mu.Unlock()
		if refuses {
			// Drivers return a RefusedError for a failed connection too.
			return errors.Join(&engine.RefusedError{Status: 503, NotRun: true},
				&net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED})
		}
		if !paused {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *fakeEngines) Start(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	e := f.at(addr)
	e.set(func(e *fakeEngine) { e.startCalls++ })
	if err := e.waitReachable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusal != nil {
		return nil, e.refusal
	}
	e.starts = append(e.starts, r)
	g := &fakeGeneration{firstIndex: r.PrefixTokens, maxTokens: min(e.answerTokens, r.MaxTokens)}
	if strings.HasPrefix(r.Prompt, "#") {
		g.tag = r.Prompt
	}
	e.running[r.ID] = g
	return e.connect(r.ID, r.PrefixTokens), nil
}

func (f *fakeEngines) Resume(ctx context.Context, addr, id string, after int) (engine.Stream, error) {
	e := f.at(addr)
	if err := e.waitReachable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.running[id]; g == nil || after < g.firstIndex {
		return nil, engine.ErrUnknownGeneration
	}
	e.resumes++
	return e.connect(id, after), nil
}

func (e *fakeEngine) connect(id string, next int) *fakeStream {
	e.connCount++
	return &fakeStream{e: e, id: id, next: next, number: e.connCount, closed: make(chan struct{})}
}

func (f *fakeEngines) Cancel(ctx context.Context, addr, id string) error {
	e := f.at(addr)
	if err := e.waitReachable(ctx); err != nil {
		return err
	}
	e.set(func(e *fakeEngine) {
		e.cancels = append(e.cancels, id)
		delete(e.running, id)
	})
	return nil
}

func (f *fakeEngines) Load(context.Context, string) (engine.Load, error) { return engine.Load{}, nil }

func (f *fakeEngines) Order(context.Context, string, engine.Order) error { return nil }

type fakeStream struct {
	e      *fakeEngine
	id     string
	next   int
	number int
	once   sync.Once
	closed chan struct{}
}

func (s *fakeStream) Next(ctx context.Context) (engine.Token, error) {
	for {
		s.e.mu.Lock()
		g, changed := s.e.running[s.id], s.e.changed
		if s.number <= s.e.brokenConns {
			s.e.mu.Unlock()
			return engine.Token{}, errBroken
		}
		silent := s.e.paused || s.number <= s.e.silentConns
		allowed := s.e.allowedTokens
		version := s.e.version
		s.e.mu.Unlock()
		switch {
		case silent:
		case g == nil:
			return engine.Token{}, errBroken
		case s.next >= g.maxTokens:
			return engine.Token{}, &engine.FinishedError{Reason: engine.FinishStop}
		case s.next < allowed:
			t := engine.Token{Index: s.next, Text: tokenText(version+g.tag, s.next)}
			s.next++
			return t, nil
		}
		select {
		case <-changed:
		case <-s.closed:
			return engine.Token{}, errBroken
		case <-ctx.Done():
			return engine.Token{}, ctx.Err()
		}
	}
}

func (s *fakeStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func tokenText(version string, i int) string { return fmt.Sprintf("%s:%d ", version, i) }

// answerText returns the complete answer of n tokens.
func answerText(version string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenText(version, i))
	}
	return b.String()
}

// waitTimeout limits how long a test waits. Its value of 4 s is the longest time
// that a caller may wait after a loss.
const waitTimeout = 4 * time.Second
