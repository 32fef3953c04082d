package bench

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

const (
	quietDaemons  = 6
	quietNights   = 40 // good and bad in turn
	quietReplicas = 8
	quietNight    = 8 * time.Hour
	quietRequests = time.Minute
	quietService  = "dedication"
)

// quietNightScenario moves versions with a request a minute in virtual time.
// One daemon, the owner, dies every two hours and comes back without its state.
func quietNightScenario() Scenario {
	return Scenario{
		Name: "quiet-night", Help: "40 moves, good and bad in turn, with a request a minute over 8 h of virtual time while owners die (package rollout).",
		RunVirtual: quietNightRun,
	}
}

func quietNightRun(o Options) (*Report, error) {
	r := &Report{Scenario: o.Scenario, Seed: o.Seed, DurationSeconds: (quietNights * quietNight).Seconds(), Extra: map[string]float64{}}
	x := r.Extra
	for _, key := range []string{"good_moves", "good_moves_in_time", "bad_moves", "bad_moves_taken_back", "bad_share_max", "bad_requests_after_shown", "store_writes_max"} {
		x[key] = 0
	}
	for n := range quietNights {
		bad := n%2 == 1
		q, err := newQuiet(rand.New(rand.NewPCG(o.Seed, uint64(n))), bad)
		if err != nil {
			return nil, err
		}
		q.run()
		r.Requests += q.all
		x["store_writes_max"] = max(x["store_writes_max"], float64(q.writes))
		phase, at := q.rec.PhaseAt(q.now), q.rec.DoneAt()
		fmt.Fprintf(o.Progress, "night %d: bad=%t, %s, %d of %d requests at the new version, verdict after %d\n", n, bad, phase, q.next, q.all, q.shownAll)
		switch {
		case bad:
			x["bad_moves"]++
			if phase == rollout.PhaseRolledBack {
				x["bad_moves_taken_back"]++
			}
			x["bad_share_max"] = max(x["bad_share_max"], ratio(int64(q.next), int64(q.shownAll)))
			x["bad_requests_after_shown"] += float64(q.late)
		default:
			x["good_moves"]++
			if phase == rollout.PhaseDone && !at.After(q.deadline) {
				x["good_moves_in_time"]++
			}
		}
	}
	return r, nil
}

// quiet is one night: Movers of all daemons, the record in the store, and calls
// that arrive a little later.
type quiet struct {
	rnd      *rand.Rand
	now      time.Time
	deadline time.Time
	bad      bool
	doc      *document.Service
	movers   []*rollout.Mover
	shares   []map[string]float64
	owner    int
	rec      rollout.Move
	index    uint64
	queue    []quietCall
	writes   int
	// all requests, and those that the new version got.
	all, next int
	// shownAt is when the first daemon found the version bad, shownAll the
	// requests until then; late are requests of the version 2 s after it.
	shownAt        time.Time
	shownAll, late int
}

// quietCall is an event that reaches a daemon at a time.
type quietCall struct {
	at time.Time
	to int
	ev rollout.Event
}

func newQuiet(rnd *rand.Rand, bad bool) (*quiet, error) {
	q := &quiet{rnd: rnd, now: time.Date(2026, 1, 1, 22, 0, 0, 0, time.UTC), bad: bad}
	q.deadline = q.now.Add(quietNight)
	text := fmt.Sprintf("[service]\nname = %s\nteam = t\nkind = model\nmodel = m\n[versions]\nserving = v1\nnext = v2\ndeadline = %s\nwarm = 1h\n",
		quietService, q.deadline.Format(time.RFC3339))
	for i := range quietReplicas {
		for _, v := range []string{"v1", "v2"} {
			text += fmt.Sprintf("[upstream.%s-%d]\naddress = 127.0.0.1:%d\ndatacentre = dc0\nregion = r\nversion = %s\n", v, i, 1000+i, v)
		}
	}
	text += "[account.a]\nkey_sha256 = " + document.HashKey("key") + "\n"
	doc, problems := document.Parse(quietService, []byte(text))
	if len(problems) > 0 {
		return nil, eris.Wrap(problems, "the document of a quiet night")
	}
	q.doc = doc
	q.movers, q.shares = make([]*rollout.Mover, quietDaemons), make([]map[string]float64, quietDaemons)
	for i := range quietDaemons {
		q.boot(i)
	}
	return q, nil
}

// boot starts a daemon without state.
func (q *quiet) boot(i int) {
	q.movers[i] = rollout.New(fmt.Sprint("d", i), rollout.Options{Service: quietService}, rand.New(rand.NewPCG(q.rnd.Uint64(), 1)))
	q.shares[i] = map[string]float64{}
	q.step(i, rollout.DocumentAccepted{Service: q.doc, Revision: 1})
	q.step(i, rollout.OwnerElected{Owner: fmt.Sprint("d", q.owner), Daemons: quietDaemons})
	q.step(i, rollout.StoredRecord{Move: q.rec, Index: q.index})
}

// quietGap is the longest time between two looks at timers. It is far below the
// minute between requests.
const quietGap = time.Second

func (q *quiet) run() {
	nextRequest, nextDeath := q.now.Add(quietRequests), q.now.Add(time.Hour)
	var back time.Time
	dead := -1
	for end := q.deadline.Add(time.Minute); q.now.Before(end); q.now = q.now.Add(quietGap) {
		q.deliver(dead)
		for i, m := range q.movers {
			if at, ok := m.NextTimer(); i != dead && ok && !q.now.Before(at) {
				q.step(i, rollout.Tick{})
			}
		}
		if !q.now.Before(nextRequest) {
			nextRequest = nextRequest.Add(quietRequests)
			q.request(dead)
		}
		if !q.now.Before(nextDeath) {
			nextDeath = nextDeath.Add(2 * time.Hour)
			dead, back = q.owner, q.now.Add(5*time.Minute)
			q.owner = (q.owner + 1) % quietDaemons
			for i := range q.movers {
				if i != dead {
					q.step(i, rollout.OwnerElected{Owner: fmt.Sprint("d", q.owner), Daemons: quietDaemons - 1})
				}
			}
		}
		if dead >= 0 && !q.now.Before(back) {
			q.boot(dead)
			dead = -1
		}
	}
}

func (q *quiet) deliver(dead int) {
	sort.SliceStable(q.queue, func(i, j int) bool { return q.queue[i].at.Before(q.queue[j].at) })
	for len(q.queue) > 0 && !q.queue[0].at.After(q.now) {
		c := q.queue[0]
		q.queue = q.queue[1:]
		if c.to != dead {
			q.step(c.to, c.ev)
		}
	}
}

func (q *quiet) send(to int, ev rollout.Event) {
	delay := time.Duration(q.rnd.Int64N(int64(500 * time.Millisecond)))
	q.queue = append(q.queue, quietCall{at: q.now.Add(delay), to: to, ev: ev})
}

// request sends one request through a live daemon.
func (q *quiet) request(dead int) {
	i := q.rnd.IntN(quietDaemons)
	if i == dead {
		i = (i + 1) % quietDaemons
	}
	version := "v1"
	if q.rnd.Float64() < q.shares[i]["v2"] {
		version = "v2"
		q.next++
		if !q.shownAt.IsZero() && q.now.Sub(q.shownAt) > afterShown {
			q.late++
		}
	}
	q.all++
	q.step(i, rollout.LocalSample{Sample: rollout.Sample{
		Service: quietService, Version: version, Route: "completions", Upstream: fmt.Sprintf("%s-%d", version, q.rnd.IntN(quietReplicas)), At: q.now,
		Failed: q.bad && version == "v2", FirstToken: 200*time.Millisecond + time.Duration(q.rnd.Int64N(int64(50*time.Millisecond))),
		BetweenTokens: 20*time.Millisecond + time.Duration(q.rnd.Int64N(int64(5*time.Millisecond))), Load: 0.05,
	}})
}

func (q *quiet) step(i int, ev rollout.Event) {
	for _, a := range q.movers[i].Step(q.now, ev) {
		switch a := a.(type) {
		case rollout.WriteMove:
			q.write(i, a)
		case rollout.ReadMove:
			q.send(i, rollout.StoredRecord{Move: q.rec, Index: q.index})
		case rollout.SetShare:
			q.shares[i][a.Version] = a.Share
		case rollout.AnnounceAlarm:
			if q.shownAt.IsZero() {
				q.shownAt, q.shownAll = q.now, q.all
			}
			q.others(i, func(to int) { q.send(to, rollout.PeerAlarm(a)) })
		case rollout.SendWindow:
			for to := range q.movers {
				if fmt.Sprint("d", to) == a.To {
					q.send(to, rollout.PeerWindow{Window: a.Window})
				}
			}
		}
	}
}

// write is a compare-and-swap; the watchers pass a new record to all daemons.
func (q *quiet) write(i int, w rollout.WriteMove) {
	if w.Index != q.index {
		q.send(i, rollout.StoredRecord{Move: q.rec, Index: q.index})
		return
	}
	q.writes++
	q.rec, q.index = w.Move, q.index+1
	for to := range q.movers {
		q.send(to, rollout.StoredRecord{Move: q.rec, Index: q.index})
	}
}

func (q *quiet) others(i int, do func(to int)) {
	for to := range q.movers {
		if to != i {
			do(to)
		}
	}
}
