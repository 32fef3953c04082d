package claim_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/claim"
)

// faults selects the kinds of faults that a simulation injects.
type faults struct {
	loseStoreAnswers, delayWrites, refuse, partition, pause, kill, skewClocks, loseUpstreamReplies, upstreamUnreachable, sweep bool
}

type modelEntry struct {
	rec   claim.Record
	index uint64
}

// modelOp is a store operation in flight. It may take effect after its daemon has
// stopped waiting for the answer.
type modelOp struct {
	d         *modelDaemon
	call      *modelCall // nil for the release queue
	act       claim.Action
	applied   bool
	result    claim.Event
	delivered bool // the daemon has received a result
}

// modelRun is a request that was sent to an upstream.
type modelRun struct {
	call      *modelCall
	executed  bool
	delivered bool
}

type modelDaemon struct {
	id          int
	paused      bool
	partitioned bool
	dead        bool
	skew        time.Duration
	releases    *claim.ReleaseQueue
	calls       []*modelCall
}

// modelCall is one call and what happened to it.
type modelCall struct {
	id              int
	key, body       string
	d               *modelDaemon
	m               *claim.Claim
	runs            int
	executed        int
	refused         *claim.Refuse
	answered        *claim.Answer
	releaseRequests int
}

// simulation models several daemons, their calls, the store and the upstreams
// under random interleavings and faults.
type simulation struct {
	rnd     *rand.Rand
	f       faults
	now     time.Time
	index   uint64
	records map[string]modelEntry
	daemons []*modelDaemon
	calls   []*modelCall
	ops     []*modelOp
	runs    []*modelRun
	// executed holds the call that the upstream executed for each key.
	executed     map[string]*modelCall
	kills        int
	logging      bool
	problem      string
	actionCounts map[string]int
}

func newSimulation(seed uint64, f faults, actionCounts map[string]int) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), f: f, now: t0, records: map[string]modelEntry{},
		executed: map[string]*modelCall{}, actionCounts: actionCounts}
	for range 3 {
		s.addDaemon()
	}
	return s
}

func (s *simulation) addDaemon() {
	s.daemons = append(s.daemons, &modelDaemon{id: len(s.daemons), releases: claim.NewReleaseQueue(claim.ReleaseOptions{})})
}

func (s *simulation) logf(format string, args ...any) {
	if s.logging {
		GinkgoWriter.Printf(format+"\n", args...)
	}
}

func (s *simulation) failf(format string, args ...any) {
	if s.problem == "" {
		s.problem = fmt.Sprintf(format, args...)
	}
}

func (d *modelDaemon) now(s *simulation) time.Time { return s.now.Add(d.skew) }

func (d *modelDaemon) running() bool { return !d.dead && !d.paused }

func (s *simulation) newCall(d *modelDaemon, key, body string) *modelCall {
	c := &modelCall{id: len(s.calls), key: key, body: body, d: d}
	now := d.now(s)
	c.m = claim.New(now, claim.Request{Account: "a", Service: "s", Key: key, BodyHash: body,
		Nonce: fmt.Sprintf("n%d", c.id), Daemon: fmt.Sprint(d.id), Deadline: now.Add(2 * time.Second)}, claim.Options{RecordTimeout: 3 * time.Second})
	s.calls = append(s.calls, c)
	d.calls = append(d.calls, c)
	s.logf("call %d key %s body %s at daemon %d", c.id, key, body, d.id)
	s.stepCall(c, claim.Start{})
	return c
}

// stepCall passes an event to a call and carries out the actions.
func (s *simulation) stepCall(c *modelCall, ev claim.Event) {
	acts := c.m.Step(c.d.now(s), ev)
	if s.logging {
		s.logf("  call %d: %T%+v -> %v", c.id, ev, ev, actionNames(acts))
	}
	for _, a := range acts {
		s.actionCounts[actionName(a)]++
		switch a := a.(type) {
		case claim.Run:
			c.runs++
			if c.runs > 1 || c.refused != nil || c.answered != nil {
				s.failf("call %d: run twice or after its end", c.id)
			}
			s.runs = append(s.runs, &modelRun{call: c})
		case claim.Answer:
			if c.refused != nil || c.answered != nil {
				s.failf("call %d: answered or refused twice", c.id)
			}
			c.answered = &a
			if e := s.executed[c.key]; e == nil || e.body != c.body || string(a.Outcome.Body) != fmt.Sprint("ran ", e.id) {
				s.failf("call %d: answer %q is not the outcome of its key", c.id, a.Outcome.Body)
			}
		case claim.Refuse:
			if c.refused != nil || c.answered != nil {
				s.failf("call %d: answered or refused twice", c.id)
			}
			c.refused = &a
		case claim.Release:
			c.releaseRequests++
			c.d.releases.Add(c.d.now(s), a.Pending)
		default:
			s.ops = append(s.ops, &modelOp{d: c.d, call: c, act: a})
		}
	}
}

func (s *simulation) stepReleases(d *modelDaemon, ev claim.Event) {
	acts := d.releases.Step(d.now(s), ev)
	if len(acts) > 0 && s.logging {
		s.logf("  releases of daemon %d: %T%+v -> %v", d.id, ev, ev, actionNames(acts))
	}
	for _, a := range acts {
		s.ops = append(s.ops, &modelOp{d: d, act: a})
	}
}

// apply executes an operation in the store.
func (s *simulation) apply(op *modelOp) {
	op.applied = true
	switch a := op.act.(type) {
	case claim.ReadRecord:
		e, ok := s.records[a.Key]
		r := claim.Read{Op: a.Op, Record: e.rec, Index: e.index}
		if !ok {
			r.Result = claim.ResultNotFound
		}
		op.result = r
	case claim.WriteRecord:
		if s.records[a.Key].index != a.Index {
			op.result = claim.Written{Op: a.Op, Result: claim.ResultConflict}
			return
		}
		s.index++
		rec, err := claim.Decode(a.Record.Encode())
		if err != nil {
			s.failf("record does not decode: %v", err)
		}
		s.records[a.Key] = modelEntry{rec: rec, index: s.index}
		s.logf("  store: %s = %s %s at %d", a.Key[len(a.Key)-4:], rec.State, rec.Nonce, s.index)
		op.result = claim.Written{Op: a.Op, Result: claim.ResultOK, Index: s.index}
	}
}

// deliver passes a result to the daemon that waits for it.
func (s *simulation) deliver(op *modelOp, ev claim.Event) {
	op.delivered = true
	if op.call != nil {
		s.stepCall(op.call, ev)
	} else {
		s.stepReleases(op.d, ev)
	}
}

// failedResult returns the result of a store operation that failed. Writes get the
// result r.
func failedResult(a claim.Action, r claim.Result) claim.Event {
	switch a := a.(type) {
	case claim.ReadRecord:
		return claim.Read{Op: a.Op, Result: claim.ResultUnavailable}
	case claim.WriteRecord:
		return claim.Written{Op: a.Op, Result: r}
	}
	return nil
}

// executeRun executes a request at the upstream.
func (s *simulation) executeRun(r *modelRun) {
	c := r.call
	r.executed = true
	c.executed++
	s.logf("  upstream runs call %d", c.id)
	if e := s.executed[c.key]; e != nil {
		s.failf("invariant: key %s ran twice, by call %d and call %d", c.key, e.id, c.id)
	}
	s.executed[c.key] = c
}

func (s *simulation) deliverRunResult(r *modelRun, ev claim.Event) {
	r.delivered = true
	s.stepCall(r.call, ev)
}

func (r *modelRun) reply() claim.Event {
	body := []byte(fmt.Sprint("ran ", r.call.id))
	return claim.Replied{Outcome: claim.Outcome{Status: 201, Body: body, BodyBytes: int64(len(body))}}
}

// checkInvariants checks that no call that was refused with not_run has run.
func (s *simulation) checkInvariants() {
	for _, c := range s.calls {
		if c.refused != nil && c.refused.RunStatus == claim.NotRun && c.executed > 0 {
			s.failf("invariant: call %d was refused with not_run (%s) but ran", c.id, c.refused.Code)
		}
	}
}

// randomEvent performs one random event.
func (s *simulation) randomEvent() {
	chance := func(n int) bool { return s.rnd.IntN(100) < n }
	switch k := s.rnd.IntN(100); {
	case k < 45 && len(s.ops) > 0:
		i := s.rnd.IntN(len(s.ops))
		op := s.ops[i]
		alreadyDelivered := op.delivered
		s.storeOpEvent(op, chance)
		if op.delivered && op.applied && (alreadyDelivered || chance(50)) || op.act == nil {
			s.ops = append(s.ops[:i], s.ops[i+1:]...)
		}
	case k < 62 && len(s.runs) > 0:
		i := s.rnd.IntN(len(s.runs))
		r := s.runs[i]
		s.runEvent(r, chance)
		if r.delivered || r.call.d.dead && r.executed {
			s.runs = append(s.runs[:i], s.runs[i+1:]...)
		}
	case k < 75:
		s.now = s.now.Add(time.Duration(s.rnd.IntN(400)) * time.Millisecond)
		s.deliverTicks()
	case k < 84:
		s.resend(chance)
	default:
		s.daemonEvent(chance)
	}
	s.checkInvariants()
}

func (s *simulation) storeOpEvent(op *modelOp, chance func(int) bool) {
	waiting := !op.delivered && op.d.running()
	switch {
	case op.d.dead && !op.applied && chance(30), op.delivered && !op.applied && chance(20):
		op.act = nil // lost in the network
	case op.d.partitioned && !op.applied && waiting && chance(50):
		s.deliver(op, failedResult(op.act, claim.ResultUnknown))
		if chance(70) {
			op.act = nil
		}
	case !op.applied && waiting && s.f.refuse && chance(8):
		s.deliver(op, failedResult(op.act, claim.ResultUnavailable))
		op.act = nil
	case !op.applied && waiting && s.f.delayWrites && chance(15):
		// The daemon stops waiting; the operation may still take effect.
		s.deliver(op, failedResult(op.act, claim.ResultUnknown))
	case !op.applied:
		s.apply(op)
	case waiting && s.f.loseStoreAnswers && chance(25):
		s.deliver(op, failedResult(op.act, claim.ResultUnknown))
	case waiting:
		s.deliver(op, op.result)
	case op.d.dead:
		op.delivered = true
	case op.delivered && op.applied && op.d.running():
		// The real result arrives after the daemon stopped waiting for it.
		s.deliver(op, op.result)
	}
}

func (s *simulation) runEvent(r *modelRun, chance func(int) bool) {
	daemonRunning := r.call.d.running()
	switch {
	case !r.executed && r.call.d.dead && chance(50):
		r.delivered = true // the daemon died before it sent
	case !r.executed && daemonRunning && s.f.upstreamUnreachable && chance(25):
		s.deliverRunResult(r, claim.NotSent{})
	case !r.executed && daemonRunning && s.f.loseUpstreamReplies && chance(8):
		s.deliverRunResult(r, claim.ReplyLost{}) // sent, but never reached the upstream
	case !r.executed:
		s.executeRun(r)
	case daemonRunning && s.f.loseUpstreamReplies && chance(20):
		s.deliverRunResult(r, claim.ReplyLost{})
	case daemonRunning:
		s.deliverRunResult(r, r.reply())
	}
}

func (s *simulation) deliverTicks() {
	for _, d := range s.daemons {
		if !d.running() {
			continue
		}
		for _, c := range d.calls {
			if at, ok := c.m.NextTimer(); ok && !d.now(s).Before(at) {
				s.stepCall(c, claim.Tick{})
			}
		}
		if at, ok := d.releases.NextTimer(); ok && !d.now(s).Before(at) {
			s.stepReleases(d, claim.Tick{})
		}
	}
}

// resend sends a random key to a random daemon, mostly with the same body.
func (s *simulation) resend(chance func(int) bool) {
	d := s.daemons[s.rnd.IntN(len(s.daemons))]
	if !d.running() || len(s.calls) >= 14 {
		return
	}
	body := "b"
	if chance(8) {
		body = "other"
	}
	s.newCall(d, fmt.Sprintf("k%d", s.rnd.IntN(2)), body)
}

func (s *simulation) daemonEvent(chance func(int) bool) {
	d := s.daemons[s.rnd.IntN(len(s.daemons))]
	switch s.rnd.IntN(5) {
	case 0:
		if s.f.pause && !d.dead {
			d.paused = !d.paused
			s.logf("daemon %d paused=%v", d.id, d.paused)
		}
	case 1:
		if s.f.kill && !d.dead && chance(25) && s.kills < 4 {
			d.dead = true
			s.kills++
			s.logf("daemon %d dies", d.id)
			s.addDaemon()
		}
	case 2:
		if s.f.partition {
			d.partitioned = !d.partitioned
			s.logf("daemon %d partitioned=%v", d.id, d.partitioned)
		}
	case 3:
		if s.f.skewClocks {
			d.skew = time.Duration(s.rnd.IntN(20)-10) * time.Second
			s.logf("daemon %d clock is off by %s", d.id, d.skew)
		}
	case 4:
		if s.f.sweep && chance(30) {
			for _, k := range []string{"k0", "k1"} {
				key := claim.StoreKey("s", "a", k)
				if e, ok := s.records[key]; ok && e.rec.State == claim.StateReleased {
					delete(s.records, key)
					s.logf("  sweeper deletes %s", k)
				}
			}
		}
	}
}

// endFaults ends all faults and runs the simulation until nothing is in flight.
// The remaining operations of calls that stopped waiting take effect last.
func (s *simulation) endFaults() {
	s.f = faults{}
	for _, d := range s.daemons {
		d.paused, d.partitioned = false, false
	}
	for range 4000 {
		delivered := false
		for i, op := range s.ops {
			if !op.delivered && !op.d.dead {
				if !op.applied {
					s.apply(op)
				}
				s.ops = append(s.ops[:i:i], s.ops[i+1:]...)
				s.deliver(op, op.result)
				delivered = true
				break
			}
		}
		if delivered {
			continue
		}
		if len(s.runs) > 0 {
			r := s.runs[0]
			s.runs = s.runs[1:]
			if !r.executed {
				s.executeRun(r)
			}
			if !r.call.d.dead {
				s.deliverRunResult(r, r.reply())
			}
			continue
		}
		idle := true
		for _, c := range s.calls {
			idle = idle && (c.d.dead || c.m.Ended())
		}
		for _, d := range s.daemons {
			idle = idle && (d.dead || d.releases.Len() == 0)
		}
		if idle {
			break
		}
		s.now = s.now.Add(100 * time.Millisecond)
		s.deliverTicks()
	}
	for _, op := range s.ops {
		if !op.applied {
			s.apply(op)
		}
	}
	s.ops = nil
	s.checkInvariants()
	for _, c := range s.calls {
		if !c.d.dead && (!c.m.Ended() || c.refused == nil && c.answered == nil) {
			s.failf("call %d has not ended after the faults ended", c.id)
		}
	}
}

// resendAllKeys sends each key once more without faults and checks the answer.
func (s *simulation) resendAllKeys(hadSweeper bool) {
	for _, k := range []string{"k0", "k1"} {
		before := s.executed[k]
		d := s.daemons[len(s.daemons)-1]
		d.skew = 0
		c := s.newCall(d, k, "b")
		s.endFaults()
		switch {
		case before == nil && s.kills == 0 && !hadSweeper && c.answered == nil && s.countLostReplies(k) == 0:
			s.failf("call %d: key %s never ran, but the call is refused: %+v", c.id, k, c.refused)
		case before != nil && before.body == "b" && c.refused != nil && c.refused.RunStatus != claim.MayHaveRun:
			s.failf("call %d: key %s ran, but the call is refused: %+v", c.id, k, c.refused)
		}
	}
}

// countLostReplies counts the calls of a key whose reply was lost. If no call of
// the key ran, these were sent and never arrived, and their records rightly stay
// claimed.
func (s *simulation) countLostReplies(key string) int {
	n := 0
	for _, c := range s.calls {
		if c.key == key && c.refused != nil && c.refused.Code == claim.CodeReplyLost {
			n++
		}
	}
	return n
}

// baseSeed is the base of the seeds. It is fixed by default, so that results do
// not vary between runs; GOOSEBERRYROAD_SEED selects other simulations.
func baseSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GOOSEBERRYROAD_SEED"), 10, 40); err == nil {
		return n
	}
	return 1
}

// run runs the simulation to its end.
func (s *simulation) run(events int) {
	hadSweeper := s.f.sweep
	for i := 0; i < events && s.problem == ""; i++ {
		s.randomEvent()
	}
	if s.problem == "" {
		s.endFaults()
	}
	if s.problem == "" {
		s.resendAllKeys(hadSweeper)
	}
}

func runSimulations(count, events int, f faults, actionCounts map[string]int) {
	GinkgoHelper()
	base := baseSeed()
	for i := range uint64(count) {
		seed := base<<20 + i
		s := newSimulation(seed, f, actionCounts)
		s.run(events)
		if s.problem == "" {
			continue
		}
		// Runs the same simulation again with logging.
		replay := newSimulation(seed, f, map[string]int{})
		replay.logging = true
		replay.run(events)
		Fail(fmt.Sprintf("simulation seed %d (GOOSEBERRYROAD_SEED=%d, simulation %d): %s", seed, base, i, s.problem))
	}
}

var _ = Describe("claims of several daemons", func() {
	all := faults{loseStoreAnswers: true, delayWrites: true, refuse: true, partition: true, pause: true, kill: true,
		skewClocks: true, loseUpstreamReplies: true, upstreamUnreachable: true, sweep: true}

	// Guards promises P6 (at most one run per key) and P5 (not_run is true) of
	// docs/proof.md, and guards against answers that belong to another key, after
	// every event of random interleavings.
	DescribeTable("run at most once per key, refuse with true outcomes and always end", func(simulations int, f faults) {
		actionCounts := map[string]int{}
		runSimulations(simulations, 250, f, actionCounts)
		AddReportEntry("actions", fmt.Sprint(actionCounts))
		for _, want := range []string{"run", "answer", "answer recorded"} {
			Expect(actionCounts[want]).To(BeNumerically(">", 0), want)
		}
	},
		Entry("without faults", 300, faults{}),
		Entry("lost store answers and late writes", 800, faults{loseStoreAnswers: true, delayWrites: true}),
		Entry("late writes and unreachable upstreams", 800, faults{delayWrites: true, upstreamUnreachable: true}),
		Entry("pauses and wrong clocks", 800, faults{pause: true, skewClocks: true, loseUpstreamReplies: true}),
		Entry("pauses and lost store answers", 800, faults{pause: true, loseStoreAnswers: true, upstreamUnreachable: true}),
		Entry("daemon deaths and partitions", 800, faults{kill: true, partition: true, upstreamUnreachable: true}),
		Entry("all faults except daemon deaths and the sweeper", 2000, faults{loseStoreAnswers: true, delayWrites: true, refuse: true,
			partition: true, pause: true, skewClocks: true, loseUpstreamReplies: true, upstreamUnreachable: true}),
		Entry("all faults", 2000, all),
	)

	// Guards the coverage of the simulations: every listed action and refusal
	// occurs in them.
	It("reaches every listed action and refusal", func() {
		actionCounts := map[string]int{}
		runSimulations(1000, 250, all, actionCounts)
		for _, want := range []string{
			"release", "read", "write claimed", "write done",
			"refuse not_run " + claim.CodeStoreUnreachable, "refuse may_have_run " + claim.CodeStoreUnreachable,
			"refuse not_run " + claim.CodeClaimUnresolved, "refuse may_have_run " + claim.CodeClaimRunning,
			"refuse may_have_run " + claim.CodeReplyLost, "refuse not_run " + claim.CodeUpstreamUnreachable,
			"refuse not_run " + claim.CodeKeyReused, "refuse not_run " + claim.CodeDeadline,
		} {
			Expect(actionCounts[want]).To(BeNumerically(">", 0), want)
		}
	})
})
