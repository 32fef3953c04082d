package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

var (
	rec     *recorder
	daemons []*daemon
	tempDir string
)

func openRecord(path string) {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec = &recorder{f: f, start: time.Now()}
}

func logf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.f, "%8.3f  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the run because the case could not run.
func fail(format string, args ...any) {
	logf("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanup()
	os.Exit(2)
}

func cleanup() {
	for _, d := range daemons {
		d.kill()
	}
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
}

// daemon is one process of the project, started with the command of the deploy file.
type daemon struct {
	name, zone, front, ready, control string
	metrics                           int
	settings                          string
	cmd                               *exec.Cmd
	done                              chan struct{}
}

var takenPorts = map[int]bool{}

// freePort returns a port below those that the system gives to outgoing channels, so that none of
// these takes it before the daemon listens.
func freePort() int {
	for range 1000 {
		port := 15000 + rand.IntN(15000)
		if takenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		takenPorts[port] = true
		return port
	}
	fail("no free port")
	return 0
}

func freeAddr() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }

func newDaemon(name, zone string) *daemon {
	return &daemon{name: name, zone: zone, front: freeAddr(), ready: freeAddr(), control: freeAddr(), metrics: freePort()}
}

// writeSettings writes the settings file of a small deployment.
func (d *daemon) writeSettings(zones []string, seeds []string, store string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "node = %q\nrole = \"gateway\"\nmachine-class = \"front\"\nserves = [\"front\",\"control\"]\nip = \"127.0.0.1\"\nzone = %q\nregion = \"r\"\n", d.name, d.zone)
	fmt.Fprintf(&b, "internal-ports = [%d,%d]\nseeds = [\"%s\"]\nfirst-start = true\nloss-counts = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat-interval-ms = 1200\n", d.metrics, d.metrics, strings.Join(seeds, `","`))
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"rollout\",\"pressure\",\"platform\"]\n[zones]\n")
	listed := map[string]bool{}
	for _, z := range zones {
		if !listed[z] {
			fmt.Fprintf(&b, "%s = \"r\"\n", z)
		}
		listed[z] = true
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nready = %q\ncontrol = %q\n", d.front, d.ready, d.control)
	b.WriteString("[limits]\ncpu-share = 0.4\ncores = 1\nmemory-mb = 134\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n[tolerate]\nmachines = 2\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-ms = 2000\nrollback-slack-ms = 250\nstretch-ms = 5000\nrevoke-strict = false\nrevoke-ms = 5000\nretry-budget-ratio = 0.8\nbudget-window-s = 10\nretry-budget-slack = 150\nexposure-share = 0.1\nexposure-slack = 50\nrollback-ms = 5000\nrecover-s = 12\npass-ms = 120\nreuse-window-s = 10\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n", store)
	d.settings = filepath.Join(tempDir, d.name+".toml")
	if err := os.WriteFile(d.settings, b.Bytes(), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

func (d *daemon) start() {
	out, err := os.OpenFile(filepath.Join(tempDir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	d.cmd = exec.Command("target/gooseberryroad", "gateway")
	d.cmd.Env = append(os.Environ(), "GOOSEBERRYROAD_SETTINGS="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		fail("start %s: %v", d.name, err)
	}
	logf("daemon %s started, process %d, front %s", d.name, d.cmd.Process.Pid, d.front)
	done := make(chan struct{})
	d.done = done
	cmd := d.cmd
	go func() {
		err := cmd.Wait()
		logf("daemon %s ended: %v", d.name, err)
		close(done)
	}()
}

func (d *daemon) signal(s syscall.Signal) {
	logf("signal %v to daemon %s", s, d.name)
	_ = d.cmd.Process.Signal(s)
}

func (d *daemon) alive() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil && d.alive() {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.done
	}
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

func (d *daemon) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			logf("daemon %s is ready", d.name)
			return
		}
	}
	fail("daemon %s is not ready", d.name)
}

// startDaemons starts one daemon for each entry of zones, which may be repeated.
func startDaemons(zones []string, store string) []*daemon {
	var seeds []string
	for i, z := range zones {
		d := newDaemon(fmt.Sprintf("front-%s-%d", z, i+1), z)
		daemons = append(daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for _, d := range daemons {
		d.writeSettings(zones, seeds, store)
		d.start()
	}
	for _, d := range daemons {
		d.awaitReady(15 * time.Second)
	}
	return daemons
}
