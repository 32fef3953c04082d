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
	quietDaemons         = 6
	quietMoves           = 40 // alternately good and bad
	quietReplicas        = 8
	quietMoveTime        = 8 * time.Hour
	quietRequestInterval = time.Minute
	quietService         = "dedication"
)

// quietNightScenario runs version moves in virtual time with one request per
// minute. Every two hours the daemon that owns the move dies, and it restarts five
// minutes later without its state.
func quietNightScenario() Scenario {
	return Scenario{
		Name: "quiet-night", Help: "40 moves, alternately good and bad, with one request per minute over 8 h of virtual time while owners die (package rollout).",
		RunVirtual: runQuietNight,
	}
}

func runQuietNight(o Options) (*Report, error) {
	r := &Report{Scenario: o.Scenario, Seed: o.Seed, DurationSeconds: (quietMoves * quietMoveTime).Seconds(), Extra: map[string]float64{}}
	x := r.Extra
	for _, key := range []string{"good_moves", "good_moves_in_time", "bad_moves", "bad_moves_taken_back", "bad_share_max", "bad_requests_after_shown", "store_writes_max"} {
		x[key] = 0
	}
	for n := range quietMoves {
		bad := n%2 == 1
		q, err := newMoveSimulation(rand.New(rand.NewPCG(o.Seed, uint64(n))), bad)
		if err != nil {
			return nil, err
		}
		q.run()
		r.Requests += q.requests
		x["store_writes_max"] = max(x["store_writes_max"], float64(q.writes))
		phase, at := q.record.PhaseAt(q.now), q.record.DoneAt()
		fmt.Fprintf(o.Progress, "move %d: bad=%t, %s, %d of %d requests at the new version, verdict after %d requests\n", n, bad, phase, q.nextRequests, q.requests, q.requestsAtVerdict)
		switch {
		case bad:
			x["bad_moves"]++
			if phase == rollout.PhaseRolledBack {
				x["bad_moves_taken_back"]++
			}
			x["bad_share_max"] = max(x["bad_share_max"], ratio(int64(q.nextRequests), int64(q.requestsAtVerdict)))
			x["bad_requests_after_shown"] += float64(q.nextAfterGrace)
		default:
			x["good_moves"]++
			if phase == rollout.PhaseDone && !at.After(q.deadline) {
				x["good_moves_in_time"]++
			}
		}
	}
	return r, nil
}

// moveSimulation simulates one move: the Movers of all daemons, the move's record
// in the store, and the events that reach daemons after a delay.
type moveSimulation struct {
	rnd      *rand.Rand
	now      time.Time
	deadline time.Time
	bad      bool
	doc      *document.Service
	movers   []*rollout.Mover
	shares   []map[string]float64
	owner    int
	record   rollout.Move
	index    uint64
	queue    []delayedEvent
	writes   int
	// requests counts all requests, nextRequests those to the new version.
	requests, nextRequests int
	// verdictAt is when the first daemon judged the version bad, requestsAtVerdict
	// the number of requests until then, and nextAfterGrace the number of requests
	// to the version later than verdictGrace after the verdict.
	verdictAt                         time.Time
	requestsAtVerdict, nextAfterGrace int
}

// delayedEvent is an event and when it reaches a daemon.
type delayedEvent struct {
	at time.Time
	to int
	ev rollout.Event
}

func newMoveSimulation(rnd *rand.Rand, bad bool) (*moveSimulation, error) {
	q := &moveSimulation{rnd: rnd, now: time.Date(2026, 1, 1, 22, 0, 0, 0, time.UTC), bad: bad}
	q.deadline = q.now.Add(quietMoveTime)
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
		return nil, eris.Wrap(problems, "parse the document of the scenario quiet-night")
	}
	q.doc = doc
	q.movers, q.shares = make([]*rollout.Mover, quietDaemons), make([]map[string]float64, quietDaemons)
	for i := range quietDaemons {
		q.startDaemon(i)
	}
	return q, nil
}

// startDaemon starts a daemon without state. It learns the document, the owner and
// the stored record of the move.
func (q *moveSimulation) startDaemon(i int) {
	q.movers[i] = rollout.New(fmt.Sprint("d", i), rollout.Options{Service: quietService}, rand.New(rand.NewPCG(q.rnd.Uint64(), 1)))
	q.shares[i] = map[string]float64{}
	q.step(i, rollout.DocumentAccepted{Service: q.doc, Revision: 1})
	q.step(i, rollout.OwnerElected{Owner: fmt.Sprint("d", q.owner), Daemons: quietDaemons})
	q.step(i, rollout.StoredRecord{Move: q.record, Index: q.index})
}

// quietTimeStep is the step by which virtual time advances, and so the most by
// which a timer can run late. It is far below the minute between requests.
const quietTimeStep = time.Second

func (q *moveSimulation) run() {
	nextRequest, nextCrash := q.now.Add(quietRequestInterval), q.now.Add(time.Hour)
	var restartAt time.Time
	dead := -1
	for end := q.deadline.Add(time.Minute); q.now.Before(end); q.now = q.now.Add(quietTimeStep) {
		q.deliver(dead)
		for i, m := range q.movers {
			if at, ok := m.NextTimer(); i != dead && ok && !q.now.Before(at) {
				q.step(i, rollout.Tick{})
			}
		}
		if !q.now.Before(nextRequest) {
			nextRequest = nextRequest.Add(quietRequestInterval)
			q.sendRequest(dead)
		}
		if !q.now.Before(nextCrash) {
			nextCrash = nextCrash.Add(2 * time.Hour)
			dead, restartAt = q.owner, q.now.Add(5*time.Minute)
			q.owner = (q.owner + 1) % quietDaemons
			for i := range q.movers {
				if i != dead {
					q.step(i, rollout.OwnerElected{Owner: fmt.Sprint("d", q.owner), Daemons: quietDaemons - 1})
				}
			}
		}
		if dead >= 0 && !q.now.Before(restartAt) {
			q.startDaemon(dead)
			dead = -1
		}
	}
}

// deliver gives the due events to their daemons. Events for the dead daemon are
// lost; dead is -1 if all are alive.
func (q *moveSimulation) deliver(dead int) {
	sort.SliceStable(q.queue, func(i, j int) bool { return q.queue[i].at.Before(q.queue[j].at) })
	for len(q.queue) > 0 && !q.queue[0].at.After(q.now) {
		c := q.queue[0]
		q.queue = q.queue[1:]
		if c.to != dead {
			q.step(c.to, c.ev)
		}
	}
}

// sendDelayed sends an event that arrives after a random delay below 500 ms.
func (q *moveSimulation) sendDelayed(to int, ev rollout.Event) {
	delay := time.Duration(q.rnd.Int64N(int64(500 * time.Millisecond)))
	q.queue = append(q.queue, delayedEvent{at: q.now.Add(delay), to: to, ev: ev})
}

// sendRequest sends one request through a random live daemon.
func (q *moveSimulation) sendRequest(dead int) {
	i := q.rnd.IntN(quietDaemons)
	if i == dead {
		i = (i + 1) % quietDaemons
	}
	version := "v1"
	if q.rnd.Float64() < q.shares[i]["v2"] {
		version = "v2"
		q.nextRequests++
		if !q.verdictAt.IsZero() && q.now.Sub(q.verdictAt) > verdictGrace {
			q.nextAfterGrace++
		}
	}
	q.requests++
	q.step(i, rollout.LocalSample{Sample: rollout.Sample{
		Service: quietService, Version: version, Route: "completions", Upstream: fmt.Sprintf("%s-%d", version, q.rnd.IntN(quietReplicas)), At: q.now,
		Failed: q.bad && version == "v2", FirstToken: 200*time.Millisecond + time.Duration(q.rnd.Int64N(int64(50*time.Millisecond))),
		BetweenTokens: 20*time.Millisecond + time.Duration(q.rnd.Int64N(int64(5*time.Millisecond))), Load: 0.05,
	}})
}

// step gives an event to a daemon's Mover and executes the resulting actions.
func (q *moveSimulation) step(i int, ev rollout.Event) {
	for _, a := range q.movers[i].Step(q.now, ev) {
		switch a := a.(type) {
		case rollout.WriteMove:
			q.writeRecord(i, a)
		case rollout.ReadMove:
			q.sendDelayed(i, rollout.StoredRecord{Move: q.record, Index: q.index})
		case rollout.SetShare:
			q.shares[i][a.Version] = a.Share
		case rollout.AnnounceAlarm:
			if q.verdictAt.IsZero() {
				q.verdictAt, q.requestsAtVerdict = q.now, q.requests
			}
			q.forOthers(i, func(to int) { q.sendDelayed(to, rollout.PeerAlarm(a)) })
		case rollout.SendWindow:
			for to := range q.movers {
				if fmt.Sprint("d", to) == a.To {
					q.sendDelayed(to, rollout.PeerWindow{Window: a.Window})
				}
			}
		}
	}
}

// writeRecord executes a compare-and-swap on the stored record. On success all
// daemons receive the new record, as from their watches of the store; otherwise
// the writer receives the current one.
func (q *moveSimulation) writeRecord(i int, w rollout.WriteMove) {
	if w.Index != q.index {
		q.sendDelayed(i, rollout.StoredRecord{Move: q.record, Index: q.index})
		return
	}
	q.writes++
	q.record, q.index = w.Move, q.index+1
	for to := range q.movers {
		q.sendDelayed(to, rollout.StoredRecord{Move: q.record, Index: q.index})
	}
}

func (q *moveSimulation) forOthers(i int, do func(to int)) {
	for to := range q.movers {
		if to != i {
			do(to)
		}
	}
}
