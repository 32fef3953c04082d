package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 5 * time.Second
	// recoverWithin is when everything works again after the last fault: the time
	// in which a change of the configuration is everywhere.
	maxRecoveryTime = 9 * time.Second
	// pollEvery is how often states are asked for.
	pollInterval = 50 * time.Millisecond
	// streamEvents and eventPause make a stream of 1.8 s.
	streamEvents  = 60
	eventInterval = 30 * time.Millisecond
	// workTime is long enough for faults to meet small requests at work.
	plainProcessingTime = 80 * time.Millisecond
	// enginePlaces and taggerPlaces bound the requests that an upstream runs.
	engineSlots = 8
	plainSlots  = 6
)

// dataCentres are those of the soak; parts take turns in them.
var dataCentres = []string{"a", "b", "c"}

// Options are the size of a soak.
type Options struct {
	// Binary is the program whose gateway command is run.
	Binary string
	// Length is the time in which faults begin.
	Length time.Duration
	// Rate is the number of faults in a second.
	Rate float64
	// Daemons, Taggers and Callers are numbers of parts; there are EnginesEach
	// engines in each of the three data centres.
	Daemons, PlainReplicas, Callers, EnginesPerDataCentre int
}

func (o Options) engines() int { return o.EnginesPerDataCentre * len(dataCentres) }

// Check reports options that cannot work.
func (o Options) Check() error {
	if o.Length <= warmUp || o.Rate <= 0 || o.Daemons < 1 || o.PlainReplicas < 1 || o.Callers < 1 || o.EnginesPerDataCentre < 1 {
		return eris.Errorf("soak: at least one part of each sort, some faults and more than %s are needed", warmUp)
	}
	return nil
}

// Outcome is what became of one seed.
type Outcome struct {
	Seed uint64
	// Broken are the promises that did not hold.
	Violations []string
	// Faults is the number of faults played, Requests of attempts made; Whole of
	// them got their whole answer, Refused a refusal that says not run, Cut no end.
	// Judged of them were at a daemon in no trouble, so that all rules hold for them.
	Faults, Requests, Judged, Complete, Refused, Cut int
	// Moves is the number of moves between versions that were ordered.
	Moves int
	// PeakMB is the most memory that a daemon had when it was looked at.
	PeakMB int
	// Directory has the daemons' logs of a seed with broken promises.
	LogDirectory string
}

func (r Outcome) String() string {
	s := fmt.Sprintf("seed %d: %d faults, %d moves, %d requests (%d judged), %d whole, %d refused, %d cut, %d MB, %d broken",
		r.Seed, r.Faults, r.Moves, r.Requests, r.Judged, r.Complete, r.Refused, r.Cut, r.PeakMB, len(r.Violations))
	for _, b := range r.Violations {
		s += "\n  " + b
	}
	if r.LogDirectory != "" {
		s += "\n  logs: " + r.LogDirectory
	}
	return s
}

// upstream is a replica behind a proxy.
type upstream struct {
	*platformtest.Replica
	// busy is held while a fault acts on the process.
	processMu      sync.Mutex
	link           *link
	number, starts int
	service, zone  string
}

// Soak is the run of one seed.
type Soak struct {
	options Options
	seed    uint64
	store   *platformtest.Store
	// storeLinks, clients and peers are the proxies of the daemons of the same
	// number.
	storeLinks, clientLinks, peerLinks []*link
	upstreams                          []*upstream
	// next are the upstreams of the version to which plain requests are moved. No
	// other fault acts on them.
	moveTargets []*upstream
	daemons     []*daemon
	// busy is held while a fault acts on the daemon of the same number.
	daemonMu []sync.Mutex
	logDir   string

	// moving is held while the operator moves a service; moves counts the orders.
	moveMu sync.Mutex
	moves  int
	// crashing is held while a request that crashes upstreams is sent; crashers
	// counts them.
	poisonMu       sync.Mutex
	poisonRequests int

	mu             sync.Mutex
	faultErr       error
	observed       observations
	faultsInjected int
	configVersion  int
}

// Run plays a seed. Ports are taken from p.
func Run(ctx context.Context, seed uint64, o Options, p *Ports) (Outcome, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Outcome{}, eris.Wrap(err, "make a directory for logs")
	}
	s := &Soak{options: o, seed: seed, logDir: dir, store: platformtest.NewStore(), daemonMu: make([]sync.Mutex, o.Daemons)}
	s.observed = observations{faults: faultIntervals{}, plannedStops: faultIntervals{}, engines: o.engines(), plainReplicas: o.PlainReplicas, daemons: o.Daemons, grace: stopGrace}
	defer s.close()
	if err := s.build(p); err != nil {
		return Outcome{}, err
	}
	r, err := s.run(ctx)
	if err == nil && len(r.Violations) == 0 {
		return r, eris.Wrap(os.RemoveAll(dir), "remove the logs")
	}
	r.LogDirectory = dir
	return r, err
}

func (s *Soak) build(p *Ports) error {
	for i := range s.options.engines() + s.options.PlainReplicas {
		service := "llm"
		if i >= s.options.engines() {
			service = "tags"
		}
		u, err := newUpstream(i, service)
		if err != nil {
			return err
		}
		s.upstreams = append(s.upstreams, u)
		s.register(u, "ready")
	}
	for i := range s.options.PlainReplicas {
		u, err := newUpstream(len(s.upstreams)+i, "tags")
		if err != nil {
			return err
		}
		s.moveTargets = append(s.moveTargets, u)
	}
	s.rotateKey()
	for i := range s.options.Daemons {
		var addresses [3]string
		for j := range addresses {
			var err error
			if addresses[j], err = p.address(); err != nil {
				return err
			}
		}
		store, err := newLink(s.store.Address)
		if err != nil {
			return err
		}
		s.storeLinks = append(s.storeLinks, store)
		d, err := newDaemon(s.options.Binary, s.logDir, platformtest.Daemon{
			Name: fmt.Sprintf("d%d", i), DataCentre: dataCentres[i%len(dataCentres)],
			Clients: addresses[0], Readiness: addresses[1], Peers: addresses[2], Store: store.address(),
			Grace: stopGrace, MemoryMB: maxDaemonMB, RepeatSlack: 100,
		})
		if err != nil {
			return err
		}
		clients, err := newLink(func() string { return addresses[0] })
		if err != nil {
			return err
		}
		peers, err := newLink(func() string { return addresses[2] })
		if err != nil {
			return err
		}
		s.clientLinks, s.daemons, s.peerLinks = append(s.clientLinks, clients), append(s.daemons, d), append(s.peerLinks, peers)
	}
	s.store.Rewrite = s.rewritePeerAddresses
	for i, d := range s.daemons {
		for j, p := range s.peerLinks {
			if i != j {
				d.Seeds = append(d.Seeds, p.address())
			}
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// behindProxy puts the proxies' addresses into the registration of a daemon, so
// that the others reach it through its proxy.
func (s *Soak) rewritePeerAddresses(value []byte) []byte {
	for i, d := range s.daemons {
		value = bytes.ReplaceAll(value, []byte(strconv.Quote(d.Peers)), []byte(strconv.Quote(s.peerLinks[i].address())))
	}
	return value
}

func newUpstream(number int, service string) (*upstream, error) {
	u := &upstream{number: number, zone: dataCentres[number%len(dataCentres)], service: service}
	r, err := platformtest.NewReplica(u.id())
	if err != nil {
		return nil, err
	}
	u.Replica = r
	r.Set(func(b *platformtest.Behaviour) {
		b.Events, b.Pause, b.Piece, b.Model, b.Places = streamEvents, eventInterval, eventText, "m", engineSlots
		if service == "tags" {
			b.Places, b.Work = plainSlots, plainProcessingTime
		}
	})
	u.link, err = newLink(r.Address)
	return u, err
}

func (u *upstream) id() string { return fmt.Sprintf("u%d-%d", u.number, u.starts) }

// piece is the text of an event; it shows which request it belongs to.
func eventText(body string, event int) string { return fmt.Sprintf("%s, piece %d", body, event) }

func (s *Soak) register(u *upstream, state string) {
	s.store.Register(u.Replica, u.link.address(), u.service, u.zone, state)
}

// configure replaces the key of the account that is not the steady one.
func (s *Soak) rotateKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	s.store.Configure(s.configVersion, permanentKey, s.accountKey(0))
}

// key is the key of the newest configuration, or of one that many versions
// before.
func (s *Soak) accountKey(before int) string { return fmt.Sprintf("v%d", s.configVersion-before) }

// worker is the number of the upstream that works on an attempt; -1 for none.
func (s *Soak) upstreamRunning(id string) int {
	for i, u := range slices.Concat(s.upstreams, s.moveTargets) {
		if u.Runs(id) {
			return i
		}
	}
	return -1
}

// play lets callers work while the faults of the plan act, and checks.
func (s *Soak) run(ctx context.Context) (Outcome, error) {
	for _, d := range s.daemons {
		if !s.awaitReady(ctx, d) {
			return Outcome{}, eris.Errorf("daemon %s did not become ready; see %s", d.Name, s.logDir)
		}
	}
	work, stop := context.WithCancel(ctx)
	defer stop()
	callers := make([]*caller, s.options.Callers)
	var working, acting sync.WaitGroup
	for i := range callers {
		callers[i] = newCaller(s, i)
		working.Go(func() { callers[i].sendRequests(work) })
	}
	began := time.Now()
	for _, f := range DrawPlan(s.seed, s.options) {
		if !pause.For(ctx, time.Until(began.Add(f.At))) {
			break
		}
		acting.Go(func() { s.injectFault(ctx, f) })
	}
	acting.Wait()
	broken := s.checkRecovery(ctx)
	stop()
	working.Wait()
	var stopping sync.WaitGroup
	for _, d := range s.daemons {
		stopping.Go(d.terminate)
	}
	stopping.Wait()
	if err := errors.Join(ctx.Err(), s.faultErr); err != nil {
		return Outcome{}, eris.Wrap(err, "soak")
	}
	return s.report(callers, broken), nil
}

func (s *Soak) report(callers []*caller, broken []string) Outcome {
	r := Outcome{Seed: s.seed, Violations: broken, Faults: s.faultsInjected, Moves: len(s.observed.moves)}
	for _, c := range callers {
		s.observed.attempts = append(s.observed.attempts, c.attempts...)
	}
	for i, u := range slices.Concat(s.upstreams, s.moveTargets) {
		for _, seen := range u.Requests() {
			if id := seen.ID(); id[0] == 'c' { // not those of the final check
				s.observed.runs = append(s.observed.runs, run{id: id, upstream: i, at: seen.At})
			}
		}
	}
	s.recordPoisonCrashes()
	r.Violations = append(r.Violations, s.observed.check()...)
	for _, d := range s.daemons {
		r.Violations = append(r.Violations, d.violations...)
		r.PeakMB = max(r.PeakMB, d.peakMB)
	}
	if r.PeakMB > maxDaemonMB {
		r.Violations = append(r.Violations, fmt.Sprintf("memory: a daemon had %d MB", r.PeakMB))
	}
	for _, a := range s.observed.attempts {
		r.Requests++
		if s.observed.daemonUnaffected(a) {
			r.Judged++
		}
		switch {
		case a.cut:
			r.Cut++
		case notRun(a.status):
			r.Refused++
		case a.status == http.StatusOK && !a.abandoned:
			r.Complete++
		}
	}
	return r
}

// awaitReady waits until a daemon says that it is ready.
func (s *Soak) awaitReady(ctx context.Context, d *daemon) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(2 * maxRecoveryTime); time.Now().Before(end); {
		res, err := client.Get(d.ReadyURL())
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
		if !pause.For(ctx, pollInterval) {
			return false
		}
	}
	return false
}

// recovered checks that all daemons serve every kind of request and follow the
// newest configuration soon after the last fault.
func (s *Soak) checkRecovery(ctx context.Context) []string {
	end := time.Now().Add(maxRecoveryTime)
	broken := make([]string, len(s.daemons))
	var checks sync.WaitGroup
	for i := range s.daemons {
		checks.Go(func() {
			for n := 0; ; n++ {
				err := s.checkDaemonServes(ctx, i, n)
				if err == nil {
					broken[i] = ""
					return
				}
				broken[i] = fmt.Sprintf("recover: daemon %d: %v", i, err)
				if time.Now().After(end) || !pause.For(ctx, pollInterval) {
					return
				}
			}
		})
	}
	checks.Wait()
	var out []string
	for _, b := range broken {
		if b != "" {
			out = append(out, b)
		}
	}
	return out
}

// serves asks a daemon for one answer of each kind with the newest key, and for
// a refusal with the key before.
func (s *Soak) checkDaemonServes(ctx context.Context, daemon, n int) error {
	ctx, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(kind platformtest.Kind, key string, want int) error {
		call := platformtest.Call{ID: fmt.Sprintf("r%d-%d-%s-%s", daemon, n, kind, key), Kind: kind, Key: key, Wait: maxRecoveryTime}
		if kind == platformtest.Stream {
			call.After = streamEvents - 1 // the last event is enough
		}
		r, err := call.Request(ctx, s.clientLinks[daemon].address())
		if err != nil {
			return err
		}
		res, err := client.Do(r)
		if err != nil {
			return eris.Wrapf(err, "%s with %s", kind, key)
		}
		_, err = io.Copy(io.Discard, res.Body)
		if err = errors.Join(err, res.Body.Close()); err != nil {
			return eris.Wrapf(err, "%s with %s", kind, key)
		}
		if res.StatusCode != want {
			return eris.Errorf("%s with %s got %d instead of %d", kind, key, res.StatusCode, want)
		}
		return nil
	}
	return errors.Join(
		ask(platformtest.Stream, s.accountKey(0), http.StatusOK), ask(platformtest.Order, s.accountKey(0), http.StatusOK),
		ask(platformtest.LookUp, s.accountKey(0), http.StatusOK), ask(platformtest.LookUp, s.accountKey(1), http.StatusUnauthorized))
}

func (s *Soak) close() {
	for _, d := range s.daemons {
		d.kill()
		// The log is complete.
		_ = d.log.Close()
	}
	for _, u := range slices.Concat(s.upstreams, s.moveTargets) {
		u.Crash()
		u.link.close()
	}
	for _, l := range slices.Concat(s.storeLinks, s.clientLinks, s.peerLinks) {
		l.close()
	}
	s.store.Stop()
}
