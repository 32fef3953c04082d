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
	// firstPort and lastPort are below the ports that the kernel gives to
	// outgoing connections, so that a daemon finds its port free again.
	firstPort = 20000
	lastPort  = 32000
	// exitSlack is what a stop may take beyond its grace before it is killed.
	exitSlack = time.Second
	// maxDaemonMB is the memory that a daemon may use: the target for control.
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
	// expected is set when the process was told to end.
	stopRequested bool
	// broken are exits that nobody asked for.
	violations []string
	peakMB     int
}

func newDaemon(binary, dir string, d platformtest.Daemon) (*daemon, error) {
	out, err := os.Create(filepath.Join(dir, d.Name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "make a log file")
	}
	return &daemon{Daemon: d, binary: binary, dir: dir, log: out}, nil
}

func (d *daemon) settings() string { return filepath.Join(d.dir, d.Name+".toml") }

func (d *daemon) writeSettings() error {
	return eris.Wrap(os.WriteFile(d.settings(), []byte(d.SettingsText()), 0o600), "write settings")
}

// start runs the daemon. It does nothing while the process runs.
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
	go d.wait(cmd, d.exited)
	return nil
}

func (d *daemon) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopRequested {
		d.violations = append(d.violations, fmt.Sprintf("daemon %s ended by itself: %v", d.Name, err))
	}
	d.cmd = nil
	close(exited)
}

// signal tells the running process something; ends is set for signals that end
// it. It returns the channel that is closed at the process's end, nil when there
// is no process.
func (d *daemon) signal(s syscall.Signal, ends bool) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return nil
	}
	if rss := residentMB(d.cmd.Process.Pid); rss > d.peakMB {
		d.peakMB = rss
	}
	d.stopRequested = d.stopRequested || ends
	// The process may have ended meanwhile; wait notes how.
	_ = d.cmd.Process.Signal(s)
	return d.exited
}

// kill ends the process at once.
func (d *daemon) kill() {
	if exited := d.signal(syscall.SIGKILL, true); exited != nil {
		<-exited
	}
}

// terminate asks the process to stop and waits for its end. A process that
// outlasts its grace is killed.
func (d *daemon) terminate() {
	exited := d.signal(syscall.SIGTERM, true)
	if exited == nil {
		return
	}
	timer := time.NewTimer(d.Grace + exitSlack)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		d.mu.Lock()
		d.violations = append(d.violations, fmt.Sprintf("daemon %s has not stopped within its grace", d.Name))
		d.mu.Unlock()
		d.kill()
	}
}

// reload changes the settings file, in some cases to one that cannot be read for
// a moment, and tells the process.
func (d *daemon) reload(torn bool) error {
	if torn {
		text := d.SettingsText()
		if err := os.WriteFile(d.settings(), []byte(text[:len(text)/2]), 0o600); err != nil {
			return eris.Wrap(err, "write half of the settings")
		}
		d.signal(syscall.SIGHUP, false)
	}
	d.mu.Lock()
	d.RepeatSlack++
	err := d.writeSettings()
	d.mu.Unlock()
	d.signal(syscall.SIGHUP, false)
	return err
}

// residentMB is a process's memory; 0 when it has ended.
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

// Ports hands out ports of the loopback interface that nobody listens on.
type Ports struct {
	mu   sync.Mutex
	next int
}

// NewPorts returns the ports from a number on that differs between processes.
func NewPorts() *Ports { return &Ports{next: firstPort + os.Getpid()%((lastPort-firstPort)/2)} }

func (p *Ports) address() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.next < lastPort {
		a := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		l, err := net.Listen("tcp4", a)
		if err != nil {
			continue // taken by another process
		}
		return a, eris.Wrap(l.Close(), "free a port")
	}
	p.next = firstPort
	return "", eris.New("no free port for a daemon")
}
