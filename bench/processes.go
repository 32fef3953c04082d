package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/fleet"
)

// clockTicks is the number of clock ticks per second, the unit of processor time
// in /proc/PID/stat. It is 100 on Linux.
const clockTicks = 100

// daemonProcess is a daemon in a separate process, so that its processor time and
// memory can be distinguished from those of stand-ins and callers. The addresses
// are decoded from the line that the daemon prints when it has started.
type daemonProcess struct {
	cmd      *exec.Cmd
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
}

// daemonProcesses are the daemons of one experiment that run as processes.
type daemonProcesses struct {
	dir  string
	all  []*daemonProcess
	http *http.Client
}

// startProcesses starts n daemons as processes of this executable that use the
// stand-ins of a fleet.
func startProcesses(ctx context.Context, f *fleet.Fleet, n int) (*daemonProcesses, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, eris.Wrap(err, "create the directory for settings files")
	}
	p := &daemonProcesses{dir: dir, http: &http.Client{Timeout: 5 * time.Second}}
	for i := range n {
		if err := p.start(ctx, f, i); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

func (p *daemonProcesses) start(ctx context.Context, f *fleet.Fleet, n int) error {
	var seeds []string
	for _, d := range p.all[:min(len(p.all), 5)] {
		seeds = append(seeds, d.Peer)
	}
	path := filepath.Join(p.dir, fmt.Sprintf("d%02d.ini", n))
	if err := os.WriteFile(path, []byte(f.Settings(n, seeds)), 0o600); err != nil {
		return eris.Wrap(err, "write a settings file")
	}
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the path of this executable")
	}
	cmd := exec.CommandContext(ctx, self, "serve", "--config", path)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "start a daemon")
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start a daemon")
	}
	d := &daemonProcess{cmd: cmd}
	p.all = append(p.all, d)
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		return eris.Wrap(err, "read the addresses of a daemon")
	}
	return eris.Wrap(json.Unmarshal(line, d), "read the addresses of a daemon")
}

func (p *daemonProcesses) close() {
	for _, d := range p.all {
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, d := range p.all {
		_ = d.cmd.Wait()
	}
	p.http.CloseIdleConnections()
	_ = os.RemoveAll(p.dir)
}

func (p *daemonProcesses) callerAddresses(first int) []string {
	out := make([]string, len(p.all))
	for i := range p.all {
		out[i] = p.all[(first+i)%len(p.all)].Caller
	}
	return out
}

// usage is the mean resource usage of the daemons at one time.
type usage struct {
	at time.Time
	// cpu is the processor time since the daemon started.
	cpu           time.Duration
	residentBytes float64
	// peerBytes are the bytes received and sent on peer links since the start.
	peerBytes float64
}

func (p *daemonProcesses) usage(ctx context.Context) (usage, error) {
	u := usage{at: time.Now()}
	for _, d := range p.all {
		cpu, rss, err := readProcess(d.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.residentBytes += rss
		_, body, err := p.get(ctx, d, "/metrics")
		if err != nil {
			return u, err
		}
		u.peerBytes += metricSum(body, "gooseberryroad_peer_bytes_total")
	}
	n := len(p.all)
	u.cpu /= time.Duration(n)
	u.residentBytes /= float64(n)
	u.peerBytes /= float64(n)
	return u, nil
}

// minStreams is the minimum number of concurrent streams for which memory per
// stream is reported: with fewer, the growth of a process after its start
// dominates the figure.
const minStreams = 500

// daemonUsage returns the usage of the daemons, which is zero when they run in
// this process.
func (r *run) daemonUsage(ctx context.Context) (usage, error) {
	if r.processes == nil {
		return usage{}, nil
	}
	return r.processes.usage(ctx)
}

// summariseDaemonUsage adds the daemons' processor time per token and their rate of
// bytes on peer links to the report. It also adds their memory per stream, if there
// were enough streams: the growth of their memory from the start to its peak,
// divided by the largest number of concurrent streams.
func (r *run) summariseDaemonUsage(ctx context.Context, before usage) error {
	if r.processes == nil {
		return nil
	}
	after, err := r.processes.usage(ctx)
	if err != nil {
		return err
	}
	n := float64(len(r.processes.all))
	if t := r.report.TokensDelivered; t > 0 {
		r.extra["router_cpu_us_per_token"] = n * float64((after.cpu - before.cpu).Microseconds()) / float64(t)
	}
	r.report.ControlBytesPerSecond = (after.peerBytes - before.peerBytes) / after.at.Sub(before.at).Seconds()
	if streams := r.observed.peakStreams; streams >= minStreams && r.observed.peakResidentBytes > before.residentBytes {
		r.extra["router_bytes_per_stream"] = n * (r.observed.peakResidentBytes - before.residentBytes) / float64(streams)
		r.extra["router_streams_max"] = float64(streams)
	}
	return nil
}

// metricSum returns the sum of the values of a metric over all its labels.
func metricSum(body, name string) float64 {
	var sum float64
	for line := range strings.Lines(body) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok || rest == "" || rest[0] != '{' && rest[0] != ' ' {
			continue
		}
		fields := strings.Fields(line)
		if v, err := strconv.ParseFloat(fields[len(fields)-1], 64); err == nil {
			sum += v
		}
	}
	return sum
}

// readProcess returns the processor time and the resident memory in bytes of a
// process.
func readProcess(pid int) (time.Duration, float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, eris.Wrap(err, "read the statistics of a daemon process")
	}
	return parseStat(string(b))
}

// parseStat returns the processor time and the resident memory in bytes from the
// fields utime, stime and rss of /proc/PID/stat. The program's name may contain
// spaces and parentheses; it ends at the last closing parenthesis.
func parseStat(s string) (time.Duration, float64, error) {
	fields := strings.Fields(s[strings.LastIndexByte(s, ')')+1:])
	const utime, stime, rss = 11, 12, 21 // indexes after the PID and the name
	if len(fields) <= rss {
		return 0, 0, eris.New("/proc/PID/stat has too few fields")
	}
	var v [3]float64
	for i, f := range []int{utime, stime, rss} {
		x, err := strconv.ParseFloat(fields[f], 64)
		if err != nil {
			return 0, 0, eris.Wrap(err, "parse /proc/PID/stat")
		}
		v[i] = x
	}
	return time.Duration((v[0] + v[1]) * float64(time.Second) / clockTicks), v[2] * float64(os.Getpagesize()), nil
}

func (p *daemonProcesses) get(ctx context.Context, d *daemonProcess, path string) (int, string, error) {
	return p.do(ctx, http.MethodGet, d, path, "", nil)
}

func (p *daemonProcesses) do(ctx context.Context, method string, d *daemonProcess, path, body string, header map[string]string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Operator+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.TeamKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := p.http.Do(req)
	if err != nil {
		return 0, "", eris.Wrap(err, "call the operator API of a daemon")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// apply writes a document through the first daemon's operator API and returns how
// long it took until all daemons had it in force. It waits at most 20 s.
func (p *daemonProcesses) apply(ctx context.Context, f *fleet.Fleet, name, text string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	_, current := f.Store.Value("config/" + name)
	began := time.Now()
	status, body, err := p.do(ctx, http.MethodPut, p.all[0], "/v1/services/"+name, text, map[string]string{"If-Match": fmt.Sprint(current)})
	if err != nil {
		return 0, err
	}
	if status/100 != 2 {
		return 0, eris.Errorf("apply %s: status %d: %s", name, status, body)
	}
	_, revision := f.Store.Value("config/" + name)
	var failed error
	err = f.WaitFor(ctx, func() bool {
		for _, d := range p.all {
			status, body, err := p.get(ctx, d, "/v1/services")
			if err != nil {
				failed = err
				return false
			}
			if status != http.StatusOK || !listsRevision(body, name, revision) {
				return false
			}
		}
		return true
	})
	if err != nil && failed != nil {
		err = failed
	}
	return time.Since(began), err
}

// listsRevision reports whether body, a JSON list of services, contains the named
// service at the given revision or a later one.
func listsRevision(body, name string, revision uint64) bool {
	var list struct {
		Services []struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"services"`
	}
	if json.Unmarshal([]byte(body), &list) != nil {
		return false
	}
	for _, s := range list.Services {
		if s.Name == name {
			return s.Revision >= revision
		}
	}
	return false
}

// smallDocument returns the document of a small service whose changes are cheap:
// it has one upstream, at which nothing listens. Each n gives another document.
func smallDocument(name string, n int) string {
	return fmt.Sprintf("[service]\nname = %s\nteam = %s\nkind = model\nmodel = small-%d\n[versions]\nserving = v1\n[upstream.u]\naddress = 127.0.0.1:1\ndatacentre = dc0\nregion = %s\nversion = v1\n[account.a]\nkey_sha256 = %s\n",
		name, fleet.Team, n, fleet.Region, document.HashKey(fmt.Sprintf("key-%s-%d", name, n)))
}
