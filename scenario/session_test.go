package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gooseberryroad/gooseberryroad/client"
)

// sessionKey is the key of the session among the values of a script.
type sessionKey struct{}

const (
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT
	sigTerm = syscall.SIGTERM
)

// scriptTimeout bounds each wait of a script for a process, a request or a call, so
// that it ends on a busy machine too. It is not the bound of a promise.
const scriptTimeout = 30 * time.Second

// session is the state of one script.
type session struct {
	env         *testscript.Env
	processes   map[string]*process
	requests    map[string]*request
	postResults map[string]chan string
	ctx         context.Context
	cancel      context.CancelFunc
}

// process is one started process.
type process struct {
	cmd       *exec.Cmd
	addresses map[string]string // from the first line of its output: addresses by name
	done      chan struct{}
}

// request is one generation that runs concurrently with the script.
type request struct {
	prompt       string
	tokens       int
	mu           sync.Mutex
	received     int
	drop         chan struct{}
	tokenArrived chan struct{} // closed and replaced at each token
	done         chan struct{}
	answer       *client.Answer
	err          error
}

func newSession(e *testscript.Env) *session {
	ctx, cancel := context.WithCancel(context.Background())
	return &session{env: e, processes: map[string]*process{}, requests: map[string]*request{}, postResults: map[string]chan string{}, ctx: ctx, cancel: cancel}
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

func (s *session) close() {
	s.cancel()
	for _, p := range s.processes {
		// The error is ignored: the process may have ended already.
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// start runs the gooseberryroad command and waits for the first line of its output,
// which holds its addresses.
func (s *session) start(ts *testscript.TestScript, name string, args ...string) {
	path, err := exec.LookPath("gooseberryroad")
	if p := ts.Getenv("PATH"); p != "" {
		path, err = lookPath(p)
	}
	ts.Check(err)
	cmd := exec.Command(path, args...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = s.env.Vars
	// The log is a file, because the script's own buffer is not safe for processes
	// that run concurrently with it.
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	defer log.Close()
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, addresses: map[string]string{}, done: make(chan struct{})}
	s.processes[name] = p
	lines := bufio.NewScanner(out)
	first := make(chan string, 1)
	go func() {
		defer close(p.done)
		for lines.Scan() {
			select {
			case first <- lines.Text():
			default:
			}
		}
		// The exit status is ignored: scripts kill processes.
		_ = cmd.Wait()
	}()
	select {
	case line := <-first:
		ts.Check(json.Unmarshal([]byte(line), &p.addresses))
	case <-p.done:
		ts.Fatalf("%s ended before it was ready: %s", name, ts.ReadFile(name+".log"))
	case <-time.After(scriptTimeout):
		ts.Fatalf("%s was not ready after %v", name, scriptTimeout)
	}
	for key, value := range p.addresses {
		ts.Setenv(name+"_"+key, value)
	}
}

func (s *session) process(ts *testscript.TestScript, name string) *process {
	p := s.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	return p
}

func (s *session) request(ts *testscript.TestScript, name string) *request {
	r := s.requests[name]
	if r == nil {
		ts.Fatalf("no request %q", name)
	}
	return r
}

// onToken counts a received token and wakes waitForTokens.
func (r *request) onToken(int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received++
	close(r.tokenArrived)
	r.tokenArrived = make(chan struct{})
}

// waitForTokens returns once n tokens have arrived. It returns an error if the
// request or the context ends before.
func (r *request) waitForTokens(ctx context.Context, n int) error {
	for {
		r.mu.Lock()
		received, arrived := r.received, r.tokenArrived
		r.mu.Unlock()
		if received >= n {
			return nil
		}
		select {
		case <-arrived:
		case <-r.done:
			return fmt.Errorf("the request ended after %d tokens: %w", received, errors.Join(r.err, errEnded))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var errEnded = errors.New("request ended")
