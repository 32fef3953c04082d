package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

const (
	// stopGrace is the time that a daemon has to stop after SIGTERM. It is killed when
	// it runs longer by exitSlack.
	stopGrace = 5 * time.Second
	// maxRecoveryTime is the time after the last fault within which all daemons must
	// serve again. It is the time within which a change of the configuration must reach
	// every daemon.
	maxRecoveryTime = 9 * time.Second
	// pollInterval is the time between two checks of a state that the soak waits for.
	pollInterval = 50 * time.Millisecond
	// streamEvents and eventInterval make a stream that lasts 1.8 s.
	streamEvents  = 60
	eventInterval = 30 * time.Millisecond
	// plainProcessingTime is how long a plain replica takes for a request: long enough
	// for faults to begin while requests run.
	plainProcessingTime = 80 * time.Millisecond
	// engineSlots and plainSlots bound the requests that an engine and a plain replica
	// run at once.
	engineSlots = 8
	plainSlots  = 6
)

// dataCentres are the data centres of a soak. Components are assigned to them in
// turn.
var dataCentres = []string{"a", "b", "c"}

// Options are the parameters of a soak.
type Options struct {
	// Binary is the path of the program whose gateway command is run.
	Binary string
	// Length is the time in which faults begin.
	Length time.Duration
	// Rate is the number of faults per second, PlannedRate that of planned work.
	Rate, PlannedRate float64
	// Daemons, PlainReplicas and Callers are the numbers of these components; each of
	// the three data centres has EnginesPerDataCentre engines.
	Daemons, PlainReplicas, Callers, EnginesPerDataCentre int
	// Direct is the number of clients that reach the daemons without a proxy.
	Direct int
	// Restores is the number of restores of the store per second, while daemons restart. If
	// it is above 0, the operator changes routes and keys all the time, each daemon has
	// daemonSeeds seeds, and serializable reads of the store may be stale.
	Restores float64
}

func (o Options) engines() int { return o.EnginesPerDataCentre * len(dataCentres) }

// Check returns an error for options that cannot work.
func (o Options) Check() error {
	if o.Length <= warmUp || o.Rate <= 0 || o.Daemons < 1 || o.PlainReplicas < 1 || o.Callers < 1 || o.EnginesPerDataCentre < 1 {
		return eris.Errorf("soak: every number of components must be at least 1, the rate above 0 and the length above %s", warmUp)
	}
	if o.PlannedRate < 0 || o.Direct < 0 || o.Restores < 0 {
		return eris.New("soak: the rates of planned work and restores and the number of direct clients must be at least 0")
	}
	return nil
}

// Outcome is the result of one seed.
type Outcome struct {
	Seed uint64
	// Violations are the promises that were broken, one text for each case.
	Violations []string
	// Faults is the number of faults injected and Requests that of attempts made. Of
	// the attempts, Complete got a whole answer, Refused a refusal that states that the
	// request has not run, and Incomplete no answer or one without an end. Unaffected
	// attempts were sent to a daemon that no fault affected, so that all rules apply to
	// them.
	Faults, Requests, Unaffected, Complete, Refused, Incomplete int
	// Direct is the number of requests of direct clients that were sent whole and not
	// given up, and DirectJudged the number of those at daemons on which only planned work
	// acted. Of the latter, Crossed got no answer because the daemon closed the connection
	// within lossSlack.
	Direct, DirectJudged, Crossed int
	// Probes is the number of probes of the configuration that were answered, ProbesDue that of
	// those that were checked for a version that was due. ProbesLost is the number of the latter
	// for which it was one that the store had lost.
	Probes, ProbesDue, ProbesLost int
	// Moves is the number of moves between versions that were ordered, DutyCalls that of
	// the calls that the control service took.
	Moves, DutyCalls int
	// PeakMB is the largest resident memory of any daemon in MiB, sampled at each
	// signal to a daemon and during bursts of long bodies.
	PeakMB int
	// Stalls are times in which the soak or a daemon did not run although no fault was
	// injected, because the machine was busy or suspended. StallTime is their sum. They
	// count as faults.
	Stalls    int
	StallTime time.Duration
	// LogDirectory holds the daemons' logs; "" for a seed without violations.
	LogDirectory string
}

func (r Outcome) String() string {
	s := fmt.Sprintf("seed %d: %d faults, %d moves, %d requests (%d judged), %d whole, %d refused, %d cut, %d direct (%d judged, %d crossed), %d duty calls, %d MB, %d stalls (%.1f s), %d broken",
		r.Seed, r.Faults, r.Moves, r.Requests, r.Unaffected, r.Complete, r.Refused, r.Incomplete,
		r.Direct, r.DirectJudged, r.Crossed, r.DutyCalls, r.PeakMB, r.Stalls, r.StallTime.Seconds(), len(r.Violations))
	if r.Probes > 0 {
		s += fmt.Sprintf(", %d probes (%d judged, %d by lost versions)", r.Probes, r.ProbesDue, r.ProbesLost)
	}
	for _, v := range r.Violations {
		s += "\n  " + v
	}
	if r.LogDirectory != "" {
		s += "\n  logs: " + r.LogDirectory
	}
	return s
}

// upstream is a replica behind a proxy.
type upstream struct {
	*platformtest.Replica
	// processMu is held while a crash or drain of the process lasts.
	processMu sync.Mutex
	link      *link
	// number is the upstream's number; starts counts the starts of its process after
	// the first one.
	number, starts int
	service, zone  string
}

// Soak is the run of one seed.
type Soak struct {
	options Options
	seed    uint64
	store   *platformtest.Store
	control *platformtest.Control
	// storeLinks, clientLinks, peerLinks and controlLinks hold the proxies of each daemon,
	// by the daemon's number.
	storeLinks, clientLinks, peerLinks, controlLinks []*link
	upstreams                                        []*upstream
	// moveTargets are the upstreams of the version to which plain requests are moved.
	// No other fault acts on them, and direct clients' requests take no longer than others
	// there: a version that is slow is reverted. laterTargets are those of a version to which the
	// requests are moved while the version of moveTargets is still registered.
	moveTargets, laterTargets []*upstream
	// probeTargets are the upstreams of probeService. No fault acts on them.
	probeTargets []*upstream
	daemons      []*daemon
	// daemonMu holds, by the daemon's number, a lock that is held while a fault acts
	// on the daemon.
	daemonMu []sync.Mutex
	logDir   string

	// moveMu is held while the operator moves a service; moves counts the moves.
	moveMu sync.Mutex
	moves  int
	// rotation follows the readiness of the daemons; busyClients counts the clients of
	// stops during answers.
	rotation    *rotation
	busyClients atomic.Int64
	// poisonMu is held while a poison request is sent; poisonRequests counts them.
	poisonMu       sync.Mutex
	poisonRequests int

	// bursts counts the bursts of long bodies.
	bursts atomic.Int64

	// restoreMu is held from the copy of the store until all that was lost was written again,
	// configLost is set while the newest configuration is lost.
	restoreMu  sync.Mutex
	configLost atomic.Bool

	mu             sync.Mutex
	faultErr       error
	observed       observations
	faultsInjected int
	// configVersion is the newest version of the configuration, previousVersion the one before.
	configVersion, previousVersion int
	operator                       *operator
}

// Run runs the soak of a seed. The daemons and upstreams listen on ports from p. The error is for a
// run that could not be completed; broken promises are in the Outcome.
func Run(ctx context.Context, seed uint64, o Options, p *Ports) (Outcome, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Outcome{}, eris.Wrap(err, "create the directory for logs")
	}
	s := &Soak{options: o, seed: seed, logDir: dir, store: platformtest.NewStore(), control: platformtest.NewControl(), daemonMu: make([]sync.Mutex, o.Daemons), operator: newOperator(seed)}
	s.observed = observations{faults: faultIntervals{}, plannedStops: faultIntervals{}, bursts: faultIntervals{}, daemonStalls: map[int][]interval{}, pauses: map[int][]interval{}, configObservations: configObservations{starts: map[int][]time.Time{}, disturbances: map[int][]time.Time{}}, engines: o.engines(), plainReplicas: o.PlainReplicas, daemons: o.Daemons, grace: stopGrace}
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

// build starts the upstreams, the proxies and the daemons.
func (s *Soak) build(p *Ports) error {
	for i := range s.options.engines() + s.options.PlainReplicas {
		service := "llm"
		if i >= s.options.engines() {
			service = "tags"
		}
		u, err := newUpstream(p, i, service)
		if err != nil {
			return err
		}
		u.Set(func(b *platformtest.Behaviour) { b.Work = directWork })
		s.upstreams = append(s.upstreams, u)
		s.register(u, "ready")
	}
	for _, targets := range []*[]*upstream{&s.moveTargets, &s.laterTargets} {
		for range s.options.PlainReplicas {
			u, err := newUpstream(p, len(s.upstreams)+len(s.moveTargets)+len(s.laterTargets), "tags")
			if err != nil {
				return err
			}
			*targets = append(*targets, u)
		}
	}
	if s.options.Restores > 0 {
		s.store.SetStaleness(maxStaleness)
		for range probeReplicas {
			u, err := newUpstream(p, len(s.allUpstreams()), probeService)
			if err != nil {
				return err
			}
			s.probeTargets = append(s.probeTargets, u)
			s.register(u, "ready")
		}
	}
	s.rotateKey()
	seeds := rand.New(rand.NewPCG(s.seed, seedSequence))
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
		control, err := newLink(s.control.Address)
		if err != nil {
			return err
		}
		s.controlLinks = append(s.controlLinks, control)
		d, err := newDaemon(s.options.Binary, s.logDir, platformtest.Daemon{
			Name: daemonName(i), DataCentre: dataCentres[i%len(dataCentres)],
			ClientAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2], StoreAddress: store.address(),
			StopGrace: stopGrace, MemoryMB: maxDaemonMB, RetrySlack: 100,
			ControlAddress: control.address(), Lease: dutyLease, ReportWindow: usageWindow,
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
	if s.options.Restores == 0 {
		s.store.Rewrite = s.rewritePeerAddresses
	}
	s.store.SendEra()
	for i, d := range s.daemons {
		for _, j := range seeds.Perm(len(s.peerLinks)) {
			if i != j && (s.options.Restores == 0 || len(d.Seeds) < daemonSeeds) {
				d.Seeds = append(d.Seeds, s.peerAddress(j))
			}
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// peerAddress returns the address at which other daemons reach a daemon: that of its proxy, but
// its own one in soaks with restores, in which a daemon that starts asks few others. With the
// proxies it would take itself for another daemon: its registration holds another address than
// the one that it knows.
func (s *Soak) peerAddress(daemon int) string {
	if s.options.Restores > 0 {
		return s.daemons[daemon].PeerAddress
	}
	return s.peerLinks[daemon].address()
}

// rewritePeerAddresses replaces the peer addresses in a daemon's registration with
// those of the proxies, so that other daemons reach it through its proxy.
func (s *Soak) rewritePeerAddresses(value []byte) []byte {
	for i, d := range s.daemons {
		value = bytes.ReplaceAll(value, []byte(strconv.Quote(d.PeerAddress)), []byte(strconv.Quote(s.peerLinks[i].address())))
	}
	return value
}

// newUpstream starts an upstream on a port of its own, which is still free when it starts
// again after a crash.
func newUpstream(p *Ports, number int, service string) (*upstream, error) {
	u := &upstream{number: number, zone: dataCentres[number%len(dataCentres)], service: service}
	l, err := p.listen()
	if err != nil {
		return nil, err
	}
	r := platformtest.NewReplicaOn(u.id(), l)
	u.Replica = r
	r.Set(func(b *platformtest.Behaviour) {
		b.Events, b.Pause, b.EventText, b.Model, b.Slots = streamEvents, eventInterval, eventText, "m", engineSlots
		if service == "tags" {
			b.Slots, b.ProcessingTime, b.WithoutSlot = plainSlots, plainProcessingTime, isDirect
		}
	})
	u.link, err = newLink(r.Address)
	return u, err
}

func (u *upstream) id() string { return fmt.Sprintf("u%d-%d", u.number, u.starts) }

// eventText returns the text of an event. It identifies the request by its body.
func eventText(body string, event int) string { return fmt.Sprintf("%s, piece %d", body, event) }

func (s *Soak) register(u *upstream, state string) {
	s.store.Register(u.Replica, u.link.address(), u.service, u.zone, state)
}

// rotateKey replaces the account key that is not permanentKey. The configuration has
// one account, which has both keys.
func (s *Soak) rotateKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousVersion = s.configVersion
	s.configVersion++
	if s.options.Restores > 0 {
		s.changeConfiguration()
		return
	}
	s.store.ConfigureBodies(burstBodyBytes, s.configVersion, permanentKey, s.accountKey(0))
}

// accountKey returns the rotated key of the newest configuration, or of the one before it
// if versionsAgo is 1.
func (s *Soak) accountKey(versionsAgo int) string {
	return rotatedKey([]int{s.configVersion, s.previousVersion}[versionsAgo])
}

func rotatedKey(version int) string { return fmt.Sprintf("v%d", version) }

// allUpstreams returns the upstreams in the order of their numbers.
func (s *Soak) allUpstreams() []*upstream {
	return slices.Concat(s.upstreams, s.moveTargets, s.laterTargets, s.probeTargets)
}

// upstreamRunning returns the number of an upstream that runs an attempt; -1 for none.
func (s *Soak) upstreamRunning(id string) int {
	for i, u := range s.allUpstreams() {
		if u.IsRunning(id) {
			return i
		}
	}
	return -1
}

// run lets callers send requests while it injects the faults of the plan, stops the
// daemons and checks the observations.
func (s *Soak) run(ctx context.Context) (Outcome, error) {
	for _, d := range s.daemons {
		if !s.awaitReady(ctx, d) {
			return Outcome{}, eris.Errorf("daemon %s did not become ready; see %s", d.Name, s.logDir)
		}
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	// It watches until the daemons have stopped, also if the callers end before.
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go telemetry.WatchStalls(watching, s.recordStall)
	callers := make([]*caller, s.options.Callers)
	var callersDone, faultsDone sync.WaitGroup
	for i := range callers {
		callers[i] = newCaller(s, i)
		callersDone.Go(func() { callers[i].sendRequests(sending) })
	}
	s.rotation = watchRotation(watching, s.daemons)
	for i := range s.options.Direct {
		c := newDirectClient(s, i, directStyles[i%len(directStyles)])
		callersDone.Go(func() { c.sendRequests(sending) })
	}
	operating, stopOperating := context.WithCancel(ctx)
	defer stopOperating()
	var operatorDone sync.WaitGroup
	if s.options.Restores > 0 {
		operatorDone.Go(func() { s.operate(operating) })
		for i := range s.daemons {
			callersDone.Go(func() { s.probe(sending, i) })
		}
	}
	began := time.Now()
	for _, f := range DrawPlan(s.seed, s.options) {
		if !pause.For(ctx, time.Until(began.Add(f.At))) {
			break
		}
		faultsDone.Go(func() { s.injectFault(ctx, f) })
	}
	faultsDone.Wait()
	stopOperating()
	operatorDone.Wait()
	recoveryBegan := time.Now()
	unrecovered := s.checkRecovery(ctx)
	unreported := s.checkReportsGoOn(ctx, recoveryBegan)
	recovery := interval{recoveryBegan, time.Now()}
	stop()
	callersDone.Wait()
	var stopping sync.WaitGroup
	for _, d := range s.daemons {
		stopping.Go(func() { d.terminate() })
	}
	stopping.Wait()
	stopWatching()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := errors.Join(ctx.Err(), s.faultErr); err != nil {
		return Outcome{}, eris.Wrap(err, "soak")
	}
	return s.report(callers, unrecovered, unreported, recovery)
}

// report checks the observations and returns the outcome. unrecovered says of each daemon
// what it did not serve in the time of recovery, unreported that no usage was reported in
// it; "" for nothing. The daemons must have ended.
func (s *Soak) report(callers []*caller, unrecovered []string, unreported string, recovery interval) (Outcome, error) {
	r := Outcome{Seed: s.seed, Faults: s.faultsInjected, Moves: len(s.observed.moves)}
	for _, c := range callers {
		s.observed.attempts = append(s.observed.attempts, c.attempts...)
	}
	recoveryOrders := map[string]int{}
	for i, u := range s.allUpstreams() {
		for _, received := range u.ReceivedRequests() {
			// The other IDs are those of the recovery check and of poison requests.
			switch ran := (run{id: received.ID(), upstream: i, at: received.At, ended: received.Ended}); ran.id[0] {
			case 'c':
				s.observed.runs = append(s.observed.runs, ran)
			case directPrefix:
				s.observed.directRuns = append(s.observed.directRuns, ran)
			case 'r':
				if strings.Contains(ran.id, string(platformtest.Order)) {
					recoveryOrders[ran.id]++
				}
			}
		}
	}
	s.recordPoisonCrashes()
	s.recordTurnedAway()
	stalls, err := s.addDaemonStalls()
	if err != nil {
		return Outcome{}, err
	}
	s.observed.addStalls()
	for _, iv := range slices.Concat(stalls, s.observed.stalls) {
		r.Stalls++
		r.StallTime += iv.to.Sub(iv.from)
	}
	for i, d := range s.daemons {
		s.observed.starts[i], s.observed.disturbances[i] = d.starts, d.disturbances
	}
	r.Violations = append(r.Violations, s.observed.check()...)
	for id, runs := range recoveryOrders {
		if runs > 1 {
			r.Violations = append(r.Violations, fmt.Sprintf("twice: %d runs: %s", runs, id))
		}
	}
	r.Probes, r.ProbesDue, r.ProbesLost = len(s.observed.probes), s.observed.probesDue, s.observed.probesLost
	calls := s.control.Calls()
	r.DutyCalls = len(calls)
	r.Violations = append(r.Violations, s.observed.checkDuties(calls)...)
	if unreported != "" && !s.observed.anyStalled(recovery) {
		r.Violations = append(r.Violations, unreported)
	}
	direct := s.observed.checkDirect()
	r.Violations = append(r.Violations, direct.violations...)
	r.Direct, r.DirectJudged, r.Crossed = direct.sent, direct.judged, direct.crossed
	for i, d := range s.daemons {
		r.Violations = append(r.Violations, d.violations...)
		for _, stop := range d.lateStops {
			if !s.observed.stalled(i, stop) {
				r.Violations = append(r.Violations, fmt.Sprintf("daemon %s has not stopped within its grace", d.Name))
			}
		}
		if unrecovered[i] != "" && !s.observed.stalled(i, recovery) {
			r.Violations = append(r.Violations, unrecovered[i])
		}
		r.PeakMB = max(r.PeakMB, d.peakMB)
	}
	if r.PeakMB > maxDaemonMB {
		r.Violations = append(r.Violations, fmt.Sprintf("memory: a daemon had %d MB", r.PeakMB))
	}
	for _, a := range s.observed.attempts {
		r.Requests++
		if s.observed.daemonUnaffected(a, a.ended) {
			r.Unaffected++
		}
		switch {
		case a.cut:
			r.Incomplete++
		case notRun(a.status):
			r.Refused++
		case a.status == http.StatusOK && !a.abandoned:
			r.Complete++
		}
	}
	return r, nil
}

// awaitReady waits until a daemon reports that it is ready. It returns false if it
// doesn't within twice maxRecoveryTime or the context ends.
func (s *Soak) awaitReady(ctx context.Context, d *daemon) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(2 * maxRecoveryTime); time.Now().Before(end); {
		if isReady(client, d.ReadyURL()) {
			return true
		}
		if !pause.For(ctx, pollInterval) {
			return false
		}
	}
	return false
}

// checkRecovery returns, for each daemon, which kind of request it does not serve with the
// newest configuration within maxRecoveryTime after the last fault; "" for none.
func (s *Soak) checkRecovery(ctx context.Context) []string {
	end := time.Now().Add(maxRecoveryTime)
	violations := make([]string, len(s.daemons))
	var checks sync.WaitGroup
	for i := range s.daemons {
		checks.Go(func() {
			for n := 0; ; n++ {
				err := s.checkDaemonServes(ctx, i, n)
				if err == nil {
					violations[i] = ""
					return
				}
				violations[i] = fmt.Sprintf("recover: daemon %d: %v", i, err)
				if time.Now().After(end) || !pause.For(ctx, pollInterval) {
					return
				}
			}
		})
	}
	checks.Wait()
	return violations
}

// checkDaemonServes sends a daemon one request of each kind with the newest key, and
// one with the key before it, which must be refused.
func (s *Soak) checkDaemonServes(ctx context.Context, daemon, n int) error {
	ctx, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(kind platformtest.Kind, key string, want int) error {
		call := platformtest.Call{ID: fmt.Sprintf("r%d-%d-%s-%s", daemon, n, kind, key), Kind: kind, Key: key, Timeout: maxRecoveryTime}
		if kind == platformtest.Stream {
			call.LastEventID = streamEvents - 1 // requests only the last event
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

// close kills the daemons and stops everything else.
func (s *Soak) close() {
	for _, d := range s.daemons {
		d.kill()
		// The process has ended, so the log is complete.
		_ = d.log.Close()
	}
	for _, u := range s.allUpstreams() {
		u.Crash()
		u.link.close()
	}
	for _, l := range slices.Concat(s.storeLinks, s.clientLinks, s.peerLinks, s.controlLinks) {
		l.close()
	}
	s.store.Stop()
	s.control.Stop()
}
