package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// firstPort and lastPort lie below the ports that the kernel assigns to outgoing
	// connections, so that a port is still free when its process starts again.
	firstPort = 20000
	lastPort  = 32000
	// blockSize is the number of ports of one soak. The daemons and upstreams of all seeds that
	// run at the same time need fewer.
	blockSize = 2000
	// exitSlack is how long a process that was asked to stop may run beyond its
	// grace before it is killed.
	exitSlack = time.Second
	// maxDaemonMB is the resident memory in MiB that each daemon may use: the target
	// for control, which is all that a daemon does except forwarding requests and
	// answers (membership, configuration, status, decisions).
	maxDaemonMB = 128
)

// daemon is a gateway in a process of its own.
type daemon struct {
	platformtest.Daemon
	binary, dir string
	log         *os.File
	// mu orders signals, starts and exits.
	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed at the end of the running process.
	exited chan struct{}
	// stopRequested is set when the process was sent a signal that ends it.
	stopRequested bool
	// violations describe exits that were not requested.
	violations []string
	// lateStops are the stops that outlasted their grace, from SIGTERM to SIGKILL.
	lateStops []interval
	// starts are the starts of the process, disturbances its starts, its ends and the signals
	// other than SIGHUP that it was sent.
	starts, disturbances []time.Time
	// peakMB is the largest resident memory in MiB, sampled at each signal and during
	// bursts of long bodies.
	peakMB int
}

func newDaemon(binary, dir string, d platformtest.Daemon) (*daemon, error) {
	out, err := os.Create(filepath.Join(dir, d.Name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create the log file of a daemon")
	}
	return &daemon{Daemon: d, binary: binary, dir: dir, log: out}, nil
}

func (d *daemon) settings() string { return filepath.Join(d.dir, d.Name+".toml") }

func (d *daemon) writeSettings() error {
	return eris.Wrap(os.WriteFile(d.settings(), []byte(d.SettingsText()), 0o600), "write the settings of a daemon")
}

// start starts the process. It does nothing while the process runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return nil
	}
	if err := d.writeSettings(); err != nil {
		return err
	}
	cmd := exec.Command(d.binary, "gateway", "--config", d.settings())
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start a daemon")
	}
	d.cmd, d.stopRequested, d.exited = cmd, false, make(chan struct{})
	d.starts, d.disturbances = append(d.starts, time.Now()), append(d.disturbances, time.Now())
	go d.wait(cmd, d.exited)
	return nil
}

// wait waits for the end of the process and records an exit that was not requested.
func (d *daemon) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopRequested {
		d.violations = append(d.violations, fmt.Sprintf("daemon %s ended by itself: %v", d.Name, err))
	}
	d.cmd = nil
	d.disturbances = append(d.disturbances, time.Now())
	close(exited)
}

// signal sends a signal to the running process, directly after the signals in before;
// terminates is set for signals that end it. It returns the channel that is closed when the process ends, or nil when no
// process runs.
func (d *daemon) signal(s syscall.Signal, terminates bool, before ...syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return nil
	}
	d.peakMB = max(d.peakMB, residentMB(d.cmd.Process.Pid))
	d.stopRequested = d.stopRequested || terminates
	if s != syscall.SIGHUP {
		d.disturbances = append(d.disturbances, time.Now())
	}
	for _, s := range append(before, s) {
		// The error is ignored: the process may have ended, and wait records how.
		_ = d.cmd.Process.Signal(s)
	}
	return d.exited
}

// sampleMemory records the resident memory of the running process.
func (d *daemon) sampleMemory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.peakMB = max(d.peakMB, residentMB(d.cmd.Process.Pid))
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (d *daemon) kill() {
	if exited := d.signal(syscall.SIGKILL, true); exited != nil {
		<-exited
	}
}

// terminate sends SIGTERM, directly after the signals in before, and waits for the end
// of the process. A process that runs longer than its grace and exitSlack is killed.
func (d *daemon) terminate(before ...syscall.Signal) {
	exited := d.signal(syscall.SIGTERM, true, before...)
	if exited == nil {
		return
	}
	began := time.Now()
	timer := time.NewTimer(d.StopGrace + exitSlack)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		d.mu.Lock()
		d.lateStops = append(d.lateStops, interval{began, time.Now()})
		d.mu.Unlock()
		d.kill()
	}
}

// reload changes the settings file and sends SIGHUP. If truncated is set, it first
// writes half of the file, which is invalid, and sends SIGHUP for that too.
func (d *daemon) reload(truncated bool) error {
	if truncated {
		text := d.SettingsText()
		if err := os.WriteFile(d.settings(), []byte(text[:len(text)/2]), 0o600); err != nil {
			return eris.Wrap(err, "write truncated settings of a daemon")
		}
		d.signal(syscall.SIGHUP, false)
	}
	d.mu.Lock()
	d.RetrySlack++
	err := d.writeSettings()
	d.mu.Unlock()
	d.signal(syscall.SIGHUP, false)
	return err
}

// residentMB returns the resident memory of a process in MiB; 0 when it has ended.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// Ports assigns free TCP ports of the loopback interface from a block that no other Ports
// uses, also in another process: the port of a daemon that is down looks free, and a daemon
// that took it would serve the callers of another soak.
type Ports struct {
	mu sync.Mutex
	// first is the first port of the block and next the one that is tried next.
	first, next int
	// guard listens at the first port for as long as the block is used.
	guard net.Listener
}

// NewPorts returns Ports with a block of their own. The first block that it tries depends
// on the process ID.
func NewPorts() (*Ports, error) {
	const blocks = (lastPort - firstPort) / blockSize
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*blockSize
		if guard, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return &Ports{first: first, next: first + 1, guard: guard}, nil
		}
	}
	return nil, eris.Errorf("all %d blocks of ports are in use by other soaks", blocks)
}

// Close frees the block.
func (p *Ports) Close() error { return eris.Wrap(p.guard.Close(), "free a block of ports") }

// address returns the next HOST:PORT that can be listened on.
func (p *Ports) address() (string, error) {
	l, err := p.listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), eris.Wrap(l.Close(), "close the listener of a free port")
}

// listen listens at the next free port. After the last one of the block it goes on with the
// first. A port on which a listener was closed a moment ago may still be in use: a process
// that is being started holds the listeners of this one until it runs its program.
func (p *Ports) listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range blockSize {
		a := fmt.Sprintf("127.0.0.1:%d", p.next)
		if p.next++; p.next == p.first+blockSize {
			p.next = p.first + 1
		}
		if l, err := net.Listen("tcp4", a); err == nil {
			return l, nil
		}
	}
	return nil, eris.New("no free port for a daemon or an upstream")
}
