package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
)

// ServiceOptions configure a stand-in plain HTTP service. A zero field takes
// its default.
type ServiceOptions struct {
	Address string // default 127.0.0.1:0
	Control string // address of the HTTP control, default 127.0.0.1:0
	Name    string // appears in answers; default "service"
	Version string // appears in answers; default "v1"
	// Runs counts the calls that ran; default a new record. Replicas of one
	// service in one process can share it.
	Runs *Runs
	// Faults are in force from the start.
	Faults ServiceFaults
	// OnCrash is called after the service has died of a fault.
	OnCrash func(reason string)
}

// ServiceFaults are the active faults of a service. POST /control/faults
// replaces them.
type ServiceFaults struct {
	// DelayBefore delays a call before it runs, DelayAfter its answer after
	// the run.
	DelayBefore Duration `json:"delay_before,omitempty"`
	DelayAfter  Duration `json:"delay_after,omitempty"`
	// Status answers calls with this status, without running them.
	Status int `json:"status,omitempty"`
	// StatusAfter answers calls with this status after running them.
	StatusAfter int `json:"status_after,omitempty"`
	// LoseAnswers resets the connection of the next n calls after they ran;
	// negative loses all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseCalls resets the connection of the next n calls before they run;
	// negative loses all.
	LoseCalls int `json:"lose_calls,omitempty"`
	// DieBefore makes the service die before it runs the n-th call from now,
	// DieAfter after running that call and before answering it.
	DieBefore int `json:"die_before,omitempty"`
	DieAfter  int `json:"die_after,omitempty"`
	// CrashMarker makes the service die, before it runs the call, when the
	// body of a call contains this text.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Leaving refuses calls with 503 and outcome not_run.
	Leaving bool `json:"leaving,omitempty"`
	// SayLeaving says in all answers that the service leaves, and still runs calls.
	SayLeaving bool `json:"say_leaving,omitempty"`
	// Pause refuses calls with 503 and asks for this pause; empty is none.
	Pause string `json:"pause,omitempty"`
}

// Run counts how often one call ran.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Key is the value of the header Idempotency-Key.
	Key string `json:"key"`
	// Body is the SHA-256 of the body in hex.
	Body  string `json:"body"`
	Times int    `json:"times"`
}

// Runs records which calls ran. It is safe for concurrent use.
type Runs struct {
	mu sync.Mutex
	n  map[Run]int
}

// add counts a run of a call and returns how often the call has run.
func (r *Runs) add(call Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == nil {
		r.n = map[Run]int{}
	}
	r.n[call]++
	return r.n[call]
}

// All returns the calls that ran, in a fixed order.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, 0, len(r.n))
	for call, n := range r.n {
		call.Times = n
		out = append(out, call)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Key != b.Key {
			return a.Key < b.Key
		}
		if a.Path != b.Path {
			return a.Path < b.Path
		}
		if a.Method != b.Method {
			return a.Method < b.Method
		}
		return a.Body < b.Body
	})
	return out
}

// Repeated returns all calls whose key ran more than once, with the same or
// different contents. Calls without a key are left out. It must be empty for
// non-idempotent routes.
func (r *Runs) Repeated() []Run {
	byKey := map[string]int{}
	all := r.All()
	for _, c := range all {
		if c.Key != "" {
			byKey[c.Key] += c.Times
		}
	}
	var out []Run
	for _, c := range all {
		if byKey[c.Key] > 1 {
			out = append(out, c)
		}
	}
	return out
}

// Times returns how often calls with the given key ran.
func (r *Runs) Times(key string) int {
	n := 0
	for _, c := range r.All() {
		if c.Key == key {
			n += c.Times
		}
	}
	return n
}

// Service is a running stand-in plain HTTP service. GET, HEAD, PUT and DELETE
// are meant for idempotent routes and POST for non-idempotent ones, at any path.
// It runs and counts each call that reaches it, unless a fault prevents that.
type Service struct {
	controlEndpoint
	o   ServiceOptions
	srv *server

	mu     sync.Mutex
	faults ServiceFaults
	calls  int64
	// waiting counts POST calls that were accepted and are still in flight.
	waiting atomic.Int64
}

// StartService starts a stand-in service. It runs until Close or the end of
// ctx.
func StartService(ctx context.Context, o ServiceOptions) (*Service, error) {
	setDefault(&o.Address, loopback)
	setDefault(&o.Control, loopback)
	setDefault(&o.Name, "service")
	setDefault(&o.Version, "v1")
	if o.Runs == nil {
		o.Runs = &Runs{}
	}
	s := &Service{o: o, faults: o.Faults}
	r := newRouter()
	r.NoRoute(s.serve)
	s.srv = newServer(r)
	if err := s.srv.start(o.Address); err != nil {
		return nil, err
	}
	var err error
	if s.controlEndpoint, err = startControl(o.Control, s.controlRoutes); err != nil {
		s.srv.close()
		return nil, err
	}
	context.AfterFunc(ctx, s.Close)
	return s, nil
}

// Address is the HOST:PORT of the service.
func (s *Service) Address() string { return s.srv.address() }

// Runs returns the record of calls that ran.
func (s *Service) Runs() *Runs { return s.o.Runs }

// Calls returns how many calls reached the service, run or not.
func (s *Service) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Close stops the service and its control listener.
func (s *Service) Close() {
	s.srv.close()
	s.control.close()
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stop resets all connections and makes the address refuse new ones.
func (s *Service) Stop() { s.srv.stop() }

// Start listens at the same address again after Stop or a fault.
func (s *Service) Start() error { return s.srv.start(s.o.Address) }

// Pause stops all input and output; connections stay open.
func (s *Service) Pause() { s.srv.pause() }

// Continue ends a pause.
func (s *Service) Continue() { s.srv.unpause() }

// HangOpenConnections makes the connections that are open now silent for good
// and returns their number.
func (s *Service) HangOpenConnections() int { return s.srv.hangOpen() }

func (s *Service) die(reason string) {
	s.srv.stop()
	if s.o.OnCrash != nil {
		s.o.OnCrash(reason)
	}
}

// callFaults are the faults that apply to one call.
type callFaults struct {
	ServiceFaults
	loseCall, loseAnswer, dieBefore, dieAfter bool
}

// nextCallFaults counts a call and returns the faults that apply to it.
func (s *Service) nextCallFaults() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	f := callFaults{ServiceFaults: s.faults}
	// useUp reports whether a fault for the next n calls applies to this one,
	// and decrements n; a negative n applies to all calls.
	useUp := func(n *int) bool {
		if *n > 0 {
			*n--
			return true
		}
		return *n < 0
	}
	// countDown decrements n and reports whether it reaches 0 with this call.
	countDown := func(n *int) bool {
		if *n > 0 {
			*n--
			return *n == 0
		}
		return false
	}
	f.loseCall = useUp(&s.faults.LoseCalls)
	if !f.loseCall {
		f.loseAnswer = useUp(&s.faults.LoseAnswers)
	}
	f.dieBefore = countDown(&s.faults.DieBefore)
	f.dieAfter = countDown(&s.faults.DieAfter)
	return f
}

func (s *Service) serve(c *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxRequestBytes))
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	f := s.nextCallFaults()
	ctx := c.Request.Context()
	if f.SayLeaving {
		c.Header("X-Upstream-Leaving", "1")
	}
	switch {
	case f.dieBefore || f.CrashMarker != "" && bytes.Contains(body, []byte(f.CrashMarker)):
		s.die("fault: died before a call")
		return
	case f.loseCall:
		resetConnection(c)
		return
	case f.Leaving:
		c.Header("Retry-After", "1")
		refuse(c, http.StatusServiceUnavailable, "leaving", "not_run", "this service leaves")
		return
	case f.Pause != "":
		c.Header("Retry-After", f.Pause)
		refuse(c, http.StatusServiceUnavailable, "paused", "not_run", "this service wants a pause")
		return
	case f.Status != 0:
		refuse(c, f.Status, "fault", "not_run", "told to fail")
		return
	}
	// A call that has arrived runs even if its caller has disconnected.
	if c.Request.Method == http.MethodPost {
		s.waiting.Add(1)
		defer s.waiting.Add(-1)
	}
	if !sleep(context.WithoutCancel(ctx), time.Duration(f.DelayBefore)) {
		return
	}
	hash := sha256.Sum256(body)
	call := Run{
		Method: c.Request.Method, Path: c.Request.URL.Path,
		Key: c.GetHeader("Idempotency-Key"), Body: hex.EncodeToString(hash[:]),
	}
	times := s.o.Runs.add(call)
	switch {
	case f.dieAfter:
		s.die("fault: died after a call")
		return
	case f.loseAnswer:
		resetConnection(c)
		return
	}
	if !sleep(ctx, time.Duration(f.DelayAfter)) {
		return
	}
	status := http.StatusOK
	if f.StatusAfter != 0 {
		status = f.StatusAfter
	}
	// The answer names the call, so that a caller can detect the answer to
	// another call.
	c.JSON(status, gin.H{
		"service": s.o.Name, "version": s.o.Version, "method": call.Method, "path": call.Path,
		"key": call.Key, "body_sha256": call.Body, "ran": times,
	})
}

func (s *Service) controlRoutes(r gin.IRouter) {
	ok := func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"ok": true}) }
	r.GET("/stats", func(c *gin.Context) {
		c.JSON(http.StatusOK, gin.H{"calls": s.Calls(), "waiting": s.waiting.Load(), "runs": s.o.Runs.All(), "repeated": s.o.Runs.Repeated()})
	})
	r.POST("/faults", func(c *gin.Context) {
		var f ServiceFaults
		if decodeBody(c, &f) {
			s.SetFaults(f)
			ok(c)
		}
	})
	r.POST("/die", func(c *gin.Context) {
		// The answer is sent after the service has stopped and before OnCrash,
		// which may end the process.
		s.srv.stop()
		ok(c)
		c.Writer.Flush()
		s.die("fault: told to die")
	})
	r.POST("/start", func(c *gin.Context) {
		if err := s.Start(); err != nil {
			c.JSON(http.StatusInternalServerError, gin.H{"error": gin.H{"message": err.Error()}})
			return
		}
		ok(c)
	})
	r.POST("/pause", func(c *gin.Context) { s.Pause(); ok(c) })
	r.POST("/continue", func(c *gin.Context) { s.Continue(); ok(c) })
	r.POST("/hang", func(c *gin.Context) { s.HangOpenConnections(); ok(c) })
}
