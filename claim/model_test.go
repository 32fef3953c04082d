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

// faults selects what may go wrong in a world.
type faults struct {
	loseAnswers, delayWrites, refuse, partition, pause, kill, skewClocks, loseReplies, unreachable, sweep bool
}

type modelEntry struct {
	rec   claim.Record
	index uint64
}

// modelOp is a store operation in the network. It may take effect after its
// daemon has given up waiting for the answer.
type modelOp struct {
	d       *modelDaemon
	call    *modelCall // nil for the list of releases
	act     claim.Action
	applied bool
	result  claim.Event
	given   bool // the daemon has a result
}

// modelRun is a request on its way to an upstream.
type modelRun struct {
	call     *modelCall
	executed bool
	given    bool
}

type modelDaemon struct {
	id       int
	paused   bool
	cut      bool
	dead     bool
	skew     time.Duration
	releases *claim.ReleaseQueue
	calls    []*modelCall
}

type modelCall struct {
	id          int
	key, body   string
	d           *modelDaemon
	m           *claim.Claim
	runs        int
	executed    int
	refused     *claim.Refuse
	answered    *claim.Answer
	releaseAsks int
}

type world struct {
	rnd     *rand.Rand
	f       faults
	now     time.Time
	index   uint64
	records map[string]modelEntry
	daemons []*modelDaemon
	calls   []*modelCall
	ops     []*modelOp
	runs    []*modelRun
	// executed has the call that ran for each key.
	executed map[string]*modelCall
	kills    int
	logging  bool
	problem  string
	covered  map[string]int
}

func newWorld(seed uint64, f faults, covered map[string]int) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), f: f, now: t0, records: map[string]modelEntry{},
		executed: map[string]*modelCall{}, covered: covered}
	for range 3 {
		w.addDaemon()
	}
	return w
}

func (w *world) addDaemon() {
	w.daemons = append(w.daemons, &modelDaemon{id: len(w.daemons), releases: claim.NewReleaseQueue(claim.ReleaseOptions{})})
}

func (w *world) logf(format string, args ...any) {
	if w.logging {
		GinkgoWriter.Printf(format+"\n", args...)
	}
}

func (w *world) failf(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

func (d *modelDaemon) now(w *world) time.Time { return w.now.Add(d.skew) }

func (d *modelDaemon) running() bool { return !d.dead && !d.paused }

func (w *world) newCall(d *modelDaemon, key, body string) *modelCall {
	c := &modelCall{id: len(w.calls), key: key, body: body, d: d}
	now := d.now(w)
	c.m = claim.New(now, claim.Request{Account: "a", Service: "s", Key: key, BodyHash: body,
		Nonce: fmt.Sprintf("n%d", c.id), Daemon: fmt.Sprint(d.id), Deadline: now.Add(2 * time.Second)}, claim.Options{RecordTimeout: 3 * time.Second})
	w.calls = append(w.calls, c)
	d.calls = append(d.calls, c)
	w.logf("call %d key %s body %s at daemon %d", c.id, key, body, d.id)
	w.step(c, claim.Start{})
	return c
}

// step gives a call an event and carries out its actions.
func (w *world) step(c *modelCall, ev claim.Event) {
	acts := c.m.Step(c.d.now(w), ev)
	if w.logging {
		w.logf("  call %d: %T%+v -> %v", c.id, ev, ev, names(acts))
	}
	for _, a := range acts {
		w.covered[name(a)]++
		switch a := a.(type) {
		case claim.Run:
			c.runs++
			if c.runs > 1 || c.refused != nil || c.answered != nil {
				w.failf("call %d: run after its end or twice", c.id)
			}
			w.runs = append(w.runs, &modelRun{call: c})
		case claim.Answer:
			if c.refused != nil || c.answered != nil {
				w.failf("call %d: second end", c.id)
			}
			c.answered = &a
			if e := w.executed[c.key]; e == nil || e.body != c.body || string(a.Outcome.Body) != fmt.Sprint("ran ", e.id) {
				w.failf("call %d: answer %q is not that of its key", c.id, a.Outcome.Body)
			}
		case claim.Refuse:
			if c.refused != nil || c.answered != nil {
				w.failf("call %d: second end", c.id)
			}
			c.refused = &a
		case claim.Release:
			c.releaseAsks++
			c.d.releases.Add(c.d.now(w), a.Pending)
		default:
			w.ops = append(w.ops, &modelOp{d: c.d, call: c, act: a})
		}
	}
}

func (w *world) stepReleases(d *modelDaemon, ev claim.Event) {
	acts := d.releases.Step(d.now(w), ev)
	if len(acts) > 0 && w.logging {
		w.logf("  releases of daemon %d: %T%+v -> %v", d.id, ev, ev, names(acts))
	}
	for _, a := range acts {
		w.ops = append(w.ops, &modelOp{d: d, act: a})
	}
}

// apply lets an operation take effect in the store.
func (w *world) apply(op *modelOp) {
	op.applied = true
	switch a := op.act.(type) {
	case claim.ReadRecord:
		e, ok := w.records[a.Key]
		r := claim.Read{Op: a.Op, Record: e.rec, Index: e.index}
		if !ok {
			r.Result = claim.ResultNotFound
		}
		op.result = r
	case claim.WriteRecord:
		if w.records[a.Key].index != a.Index {
			op.result = claim.Written{Op: a.Op, Result: claim.ResultConflict}
			return
		}
		w.index++
		rec, err := claim.Decode(a.Record.Encode())
		if err != nil {
			w.failf("record does not decode: %v", err)
		}
		w.records[a.Key] = modelEntry{rec: rec, index: w.index}
		w.logf("  store: %s = %s %s at %d", a.Key[len(a.Key)-4:], rec.State, rec.Nonce, w.index)
		op.result = claim.Written{Op: a.Op, Result: claim.ResultOK, Index: w.index}
	}
}

// give hands a result to the daemon that waits for it.
func (w *world) give(op *modelOp, ev claim.Event) {
	op.given = true
	if op.call != nil {
		w.step(op.call, ev)
	} else {
		w.stepReleases(op.d, ev)
	}
}

func failed(a claim.Action, r claim.Result) claim.Event {
	switch a := a.(type) {
	case claim.ReadRecord:
		return claim.Read{Op: a.Op, Result: claim.ResultUnavailable}
	case claim.WriteRecord:
		return claim.Written{Op: a.Op, Result: r}
	}
	return nil
}

func (w *world) execute(r *modelRun) {
	c := r.call
	r.executed = true
	c.executed++
	w.logf("  upstream runs call %d", c.id)
	if e := w.executed[c.key]; e != nil {
		w.failf("invariant: key %s ran twice, by call %d and call %d", c.key, e.id, c.id)
	}
	w.executed[c.key] = c
}

func (w *world) giveRun(r *modelRun, ev claim.Event) {
	r.given = true
	w.step(r.call, ev)
}

func (r *modelRun) reply() claim.Event {
	body := []byte(fmt.Sprint("ran ", r.call.id))
	return claim.Replied{Outcome: claim.Outcome{Status: 201, Body: body, BodyBytes: int64(len(body))}}
}

// check holds the invariants against the world.
func (w *world) check() {
	for _, c := range w.calls {
		if c.refused != nil && c.refused.RunStatus == claim.NotRun && c.executed > 0 {
			w.failf("invariant: call %d was refused with not_run (%s) and ran", c.id, c.refused.Code)
		}
	}
}

// event makes one random thing happen.
func (w *world) event() {
	p := func(n int) bool { return w.rnd.IntN(100) < n }
	switch k := w.rnd.IntN(100); {
	case k < 45 && len(w.ops) > 0:
		i := w.rnd.IntN(len(w.ops))
		op := w.ops[i]
		late := op.given
		w.opEvent(op, p)
		if op.given && op.applied && (late || p(50)) || op.act == nil {
			w.ops = append(w.ops[:i], w.ops[i+1:]...)
		}
	case k < 62 && len(w.runs) > 0:
		i := w.rnd.IntN(len(w.runs))
		r := w.runs[i]
		w.runEvent(r, p)
		if r.given || r.call.d.dead && r.executed {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
		}
	case k < 75:
		w.now = w.now.Add(time.Duration(w.rnd.IntN(400)) * time.Millisecond)
		w.ticks()
	case k < 84:
		w.resend(p)
	default:
		w.fleetEvent(p)
	}
	w.check()
}

func (w *world) opEvent(op *modelOp, p func(int) bool) {
	waits := !op.given && op.d.running()
	switch {
	case op.d.dead && !op.applied && p(30), op.given && !op.applied && p(20):
		op.act = nil // lost in the network for good
	case op.d.cut && !op.applied && waits && p(50):
		w.give(op, failed(op.act, claim.ResultUnknown))
		if p(70) {
			op.act = nil
		}
	case !op.applied && waits && w.f.refuse && p(8):
		w.give(op, failed(op.act, claim.ResultUnavailable))
		op.act = nil
	case !op.applied && waits && w.f.delayWrites && p(15):
		// The daemon gives up; the operation may still take effect.
		w.give(op, failed(op.act, claim.ResultUnknown))
	case !op.applied:
		w.apply(op)
	case waits && w.f.loseAnswers && p(25):
		w.give(op, failed(op.act, claim.ResultUnknown))
	case waits:
		w.give(op, op.result)
	case op.d.dead:
		op.given = true
	case op.given && op.applied && op.d.running():
		// The true result arrives after the daemon gave up waiting for it.
		w.give(op, op.result)
	}
}

func (w *world) runEvent(r *modelRun, p func(int) bool) {
	up := r.call.d.running()
	switch {
	case !r.executed && r.call.d.dead && p(50):
		r.given = true // the daemon died before it sent
	case !r.executed && up && w.f.unreachable && p(25):
		w.giveRun(r, claim.NotSent{})
	case !r.executed && up && w.f.loseReplies && p(8):
		w.giveRun(r, claim.ReplyLost{}) // sent, never reached the upstream
	case !r.executed:
		w.execute(r)
	case up && w.f.loseReplies && p(20):
		w.giveRun(r, claim.ReplyLost{})
	case up:
		w.giveRun(r, r.reply())
	}
}

func (w *world) ticks() {
	for _, d := range w.daemons {
		if !d.running() {
			continue
		}
		for _, c := range d.calls {
			if at, ok := c.m.NextTimer(); ok && !d.now(w).Before(at) {
				w.step(c, claim.Tick{})
			}
		}
		if at, ok := d.releases.NextTimer(); ok && !d.now(w).Before(at) {
			w.stepReleases(d, claim.Tick{})
		}
	}
}

// resend sends a key to any daemon, mostly with the same body.
func (w *world) resend(p func(int) bool) {
	d := w.daemons[w.rnd.IntN(len(w.daemons))]
	if !d.running() || len(w.calls) >= 14 {
		return
	}
	body := "b"
	if p(8) {
		body = "other"
	}
	w.newCall(d, fmt.Sprintf("k%d", w.rnd.IntN(2)), body)
}

func (w *world) fleetEvent(p func(int) bool) {
	d := w.daemons[w.rnd.IntN(len(w.daemons))]
	switch w.rnd.IntN(5) {
	case 0:
		if w.f.pause && !d.dead {
			d.paused = !d.paused
			w.logf("daemon %d paused=%v", d.id, d.paused)
		}
	case 1:
		if w.f.kill && !d.dead && p(25) && w.kills < 4 {
			d.dead = true
			w.kills++
			w.logf("daemon %d dies", d.id)
			w.addDaemon()
		}
	case 2:
		if w.f.partition {
			d.cut = !d.cut
			w.logf("daemon %d cut=%v", d.id, d.cut)
		}
	case 3:
		if w.f.skewClocks {
			d.skew = time.Duration(w.rnd.IntN(20)-10) * time.Second
			w.logf("daemon %d clock is off by %s", d.id, d.skew)
		}
	case 4:
		if w.f.sweep && p(30) {
			for _, k := range []string{"k0", "k1"} {
				key := claim.StoreKey("s", "a", k)
				if e, ok := w.records[key]; ok && e.rec.State == claim.StateReleased {
					delete(w.records, key)
					w.logf("  sweeper deletes %s", k)
				}
			}
		}
	}
}

// heal ends all faults and lets the world run until nothing is under way. The
// oldest operations of calls that gave up take effect last.
func (w *world) heal() {
	w.f = faults{}
	for _, d := range w.daemons {
		d.paused, d.cut = false, false
	}
	for range 4000 {
		moved := false
		for i, op := range w.ops {
			if !op.given && !op.d.dead {
				if !op.applied {
					w.apply(op)
				}
				w.ops = append(w.ops[:i:i], w.ops[i+1:]...)
				w.give(op, op.result)
				moved = true
				break
			}
		}
		if moved {
			continue
		}
		if len(w.runs) > 0 {
			r := w.runs[0]
			w.runs = w.runs[1:]
			if !r.executed {
				w.execute(r)
			}
			if !r.call.d.dead {
				w.giveRun(r, r.reply())
			}
			continue
		}
		idle := true
		for _, c := range w.calls {
			idle = idle && (c.d.dead || c.m.Ended())
		}
		for _, d := range w.daemons {
			idle = idle && (d.dead || d.releases.Len() == 0)
		}
		if idle {
			break
		}
		w.now = w.now.Add(100 * time.Millisecond)
		w.ticks()
	}
	for _, op := range w.ops {
		if !op.applied {
			w.apply(op)
		}
	}
	w.ops = nil
	w.check()
	for _, c := range w.calls {
		if !c.d.dead && (!c.m.Ended() || c.refused == nil && c.answered == nil) {
			w.failf("call %d has no end after the faults", c.id)
		}
	}
}

// afterwards sends each key once more in a world without faults.
func (w *world) afterwards(swept bool) {
	for _, k := range []string{"k0", "k1"} {
		before := w.executed[k]
		d := w.daemons[len(w.daemons)-1]
		d.skew = 0
		c := w.newCall(d, k, "b")
		w.heal()
		switch {
		case before == nil && w.kills == 0 && !swept && c.answered == nil && w.lostSends(k) == 0:
			w.failf("call %d: key %s never ran, and now it is refused: %+v", c.id, k, c.refused)
		case before != nil && before.body == "b" && c.refused != nil && c.refused.RunStatus != claim.MayHaveRun:
			w.failf("call %d: key %s ran, and now it is refused: %+v", c.id, k, c.refused)
		}
	}
}

// lostSends counts calls of the key that were sent and never arrived: their
// records rightly stay claimed.
func (w *world) lostSends(key string) int {
	n := 0
	for _, c := range w.calls {
		if c.key == key && c.refused != nil && c.refused.Code == claim.CodeReplyLost {
			n++
		}
	}
	return n
}

// baseSeed is fixed, so that the verdict does not vary between runs. The
// environment variable explores other worlds.
func baseSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GOOSEBERRYROAD_SEED"), 10, 40); err == nil {
		return n
	}
	return 1
}

// play runs one world to its end.
func (w *world) play(events int) {
	swept := w.f.sweep
	for i := 0; i < events && w.problem == ""; i++ {
		w.event()
	}
	if w.problem == "" {
		w.heal()
	}
	if w.problem == "" {
		w.afterwards(swept)
	}
}

func runWorlds(worlds, events int, f faults, covered map[string]int) {
	GinkgoHelper()
	base := baseSeed()
	for i := range uint64(worlds) {
		seed := base<<20 + i
		w := newWorld(seed, f, covered)
		w.play(events)
		if w.problem == "" {
			continue
		}
		// The same world again, with its trace.
		again := newWorld(seed, f, map[string]int{})
		again.logging = true
		again.play(events)
		Fail(fmt.Sprintf("world seed %d (GOOSEBERRYROAD_SEED=%d, world %d): %s", seed, base, i, w.problem))
	}
}

var _ = Describe("claims of several daemons", func() {
	all := faults{loseAnswers: true, delayWrites: true, refuse: true, partition: true, pause: true, kill: true,
		skewClocks: true, loseReplies: true, unreachable: true, sweep: true}

	// Guards P6 (at most one run for a key), P5 (not_run is true) and answers
	// that belong to another call, after every event of random interleavings.
	DescribeTable("run at most once, refuse truthfully and end", func(worlds int, f faults) {
		covered := map[string]int{}
		runWorlds(worlds, 250, f, covered)
		AddReportEntry("actions", fmt.Sprint(covered))
		for _, want := range []string{"run", "answer", "answer recorded"} {
			Expect(covered[want]).To(BeNumerically(">", 0), want)
		}
	},
		Entry("without faults", 300, faults{}),
		Entry("lost store answers and late writes", 800, faults{loseAnswers: true, delayWrites: true}),
		Entry("late writes and unreachable upstreams", 800, faults{delayWrites: true, unreachable: true}),
		Entry("pauses and wrong clocks", 800, faults{pause: true, skewClocks: true, loseReplies: true}),
		Entry("pauses and lost store answers", 800, faults{pause: true, loseAnswers: true, unreachable: true}),
		Entry("daemon deaths and partitions", 800, faults{kill: true, partition: true, unreachable: true}),
		Entry("everything but deaths and the sweeper", 2000, faults{loseAnswers: true, delayWrites: true, refuse: true,
			partition: true, pause: true, skewClocks: true, loseReplies: true, unreachable: true}),
		Entry("everything", 2000, all),
	)

	// Guards the coverage of the worlds: every refusal of the machine occurs.
	It("reaches every end", func() {
		covered := map[string]int{}
		runWorlds(1000, 250, all, covered)
		for _, want := range []string{
			"release", "read", "write claimed", "write done",
			"refuse not_run " + claim.CodeStoreUnreachable, "refuse may_have_run " + claim.CodeStoreUnreachable,
			"refuse not_run " + claim.CodeClaimUnresolved, "refuse may_have_run " + claim.CodeClaimRunning,
			"refuse may_have_run " + claim.CodeReplyLost, "refuse not_run " + claim.CodeUpstreamUnreachable,
			"refuse not_run " + claim.CodeKeyReused, "refuse not_run " + claim.CodeDeadline,
		} {
			Expect(covered[want]).To(BeNumerically(">", 0), want)
		}
	})
})
