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

type sessionKey struct{}

const (
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT
	sigTerm = syscall.SIGTERM
)

// readyTimeout bounds the start of a process on a busy machine. It is not a
// bound of any promise.
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
	addresses map[string]string // its first line: addresses by name
	done      chan struct{}
}

// request is one generation that runs beside the script.
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
		// A process that ended already cannot be killed again.
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// start runs the command and waits for its line of addresses.
func (s *session) start(ts *testscript.TestScript, name string, args ...string) {
	path, err := exec.LookPath("gooseberryroad")
	if p := ts.Getenv("PATH"); p != "" {
		path, err = lookPath(p)
	}
	ts.Check(err)
	cmd := exec.Command(path, args...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = s.env.Vars
	// A file, because the script's own buffer is not safe for processes that
	// run beside it.
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
		// The exit status of a killed process is not interesting.
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

// token notes one more token of the request.
func (r *request) onToken(int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received++
	close(r.tokenArrived)
	r.tokenArrived = make(chan struct{})
}

// waitFor returns once n tokens have arrived.
func (r *request) waitForTokens(ctx context.Context, n int) error {
	for {
		r.mu.Lock()
		seen, moved := r.received, r.tokenArrived
		r.mu.Unlock()
		if seen >= n {
			return nil
		}
		select {
		case <-moved:
		case <-r.done:
			return fmt.Errorf("the request ended after %d tokens: %w", seen, errors.Join(r.err, errEnded))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var errEnded = errors.New("request ended")
