package rollout_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

// world is a model of three daemons whose messages and store calls are carried
// out in any order, twice, late or never.
type world struct {
	t       *rapid.T
	now     time.Time
	movers  []*rollout.Mover
	shares  []map[string]float64
	indexes []uint64
	// pending deliveries and store calls.
	pending []func()

	docs   []rollout.DocumentAccepted
	rec    rollout.Move
	index  uint64
	fences map[uint64]rollout.Move
}

func (w *world) step(i int, ev rollout.Event) {
	for _, a := range w.movers[i].Step(w.now, ev) {
		switch a := a.(type) {
		case rollout.SetShare:
			w.shares[i][a.Version] = a.Share
		case rollout.AnnounceAlarm:
			for j := range w.movers {
				if j != i {
					w.pending = append(w.pending, func() { w.step(j, rollout.PeerAlarm(a)) })
				}
			}
		case rollout.SendWindow:
			for j := range w.movers {
				if name(j) == a.To {
					w.pending = append(w.pending, func() { w.step(j, rollout.PeerWindow{Window: a.Window}) })
				}
			}
		case rollout.WriteMove:
			w.pending = append(w.pending, func() { w.write(i, a) })
		case rollout.ReadMove:
			w.pending = append(w.pending, func() { w.step(i, rollout.StoredRecord{Move: w.rec, Index: w.index}) })
		}
	}
	w.check(i)
}

func name(i int) string { return fmt.Sprintf("d%d", i) }

func (w *world) write(i int, a rollout.WriteMove) {
	if a.Index != w.index {
		w.step(i, rollout.StoredRecord{Err: errors.New("conflict")})
		return
	}
	if a.Move.Fence != w.rec.Fence+1 {
		w.t.Fatalf("fence %d follows %d", a.Move.Fence, w.rec.Fence)
	}
	if a.Move.Began == w.rec.Began {
		if w.rec.Phase == rollout.PhaseRolledBack {
			w.t.Fatalf("rolled-back move %d became %s", w.rec.Began, a.Move.Phase)
		}
		if a.Move.Phase < w.rec.Phase {
			w.t.Fatalf("%s follows %s", a.Move.Phase, w.rec.Phase)
		}
	} else if a.Move.Began != a.Move.Fence {
		w.t.Fatalf("move %d begins with fence %d", a.Move.Began, a.Move.Fence)
	}
	if a.Move.DocRevision < w.rec.DocRevision {
		w.t.Fatalf("document revision %d follows %d", a.Move.DocRevision, w.rec.DocRevision)
	}
	if _, ok := w.fences[a.Move.Fence]; ok {
		w.t.Fatalf("fence %d was written twice", a.Move.Fence)
	}
	w.index++
	w.rec, w.fences[a.Move.Fence] = a.Move, a.Move
	rec, index := w.rec, w.index
	for j := range w.movers {
		w.pending = append(w.pending, func() { w.step(j, rollout.StoredRecord{Move: rec, Index: index}) })
	}
	if rapid.Bool().Draw(w.t, "answer lost") {
		w.step(i, rollout.StoredRecord{Err: errors.New("lost")})
	} else {
		w.step(i, rollout.StoredRecord{Move: rec, Index: index})
	}
}

func (w *world) check(i int) {
	sum := 0.0
	for _, s := range w.shares[i] {
		sum += s
	}
	if len(w.shares[i]) > 0 && math.Abs(sum-1) > 1e-9 {
		w.t.Fatalf("shares %v of %s do not sum to 1", w.shares[i], name(i))
	}
	rec, index := w.movers[i].Record()
	if index < w.indexes[i] {
		w.t.Fatalf("%s went from index %d to %d", name(i), w.indexes[i], index)
	}
	w.indexes[i] = index
	if rec.Fence > 0 && rec != w.fences[rec.Fence] {
		w.t.Fatalf("%s applies a record that was not written", name(i))
	}
	r := w.movers[i].Status()
	if r.Phase == rollout.PhaseRolledBack && r.Share != 0 {
		w.t.Fatalf("%s gives a rolled-back version %g", name(i), r.Share)
	}
	if r.Phase == rollout.PhaseProbing && r.Share > 0.5 {
		w.t.Fatalf("%s gives an unproven version %g", name(i), r.Share)
	}
	if r.To != "" && r.Share != w.shares[i][r.To] {
		w.t.Fatalf("%s reports share %g and has set %g", name(i), r.Share, w.shares[i][r.To])
	}
	// A record's phase may only advance on the schedule or by an alarm.
	if rec.Fence > 0 && r.Fence == rec.Fence && r.Phase != rollout.PhaseNone && r.Phase < rec.Phase {
		w.t.Fatalf("%s reports %s at fence %d, which is %s", name(i), r.Phase, rec.Fence, rec.Phase)
	}
}

// Guards against orders of messages, lost answers, owners and documents that
// break the record, revive a rolled-back move, or let the daemons contradict a
// fence.
func TestRecordInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch, fences: map[uint64]rollout.Move{}}
		for i := range 3 {
			w.movers = append(w.movers, rollout.New(name(i), rollout.Options{Service: "svc"}, rand.New(rand.NewPCG(uint64(i), 7))))
			w.shares = append(w.shares, map[string]float64{})
			w.indexes = append(w.indexes, 0)
		}
		document0 := func(v document.Versions) {
			w.docs = append(w.docs, rollout.DocumentAccepted{Service: makeDoc(4, 4, v), Revision: uint64(10 + len(w.docs))})
		}
		document0(versions("v1", "v2", time.Hour))
		for i := range w.movers {
			w.step(i, rollout.OwnerElected{Owner: "d0", Daemons: 3})
			w.step(i, w.docs[0])
		}
		any := func() int { return rapid.IntRange(0, 2).Draw(t, "daemon") }
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				if len(w.pending) == 0 {
					t.Skip()
				}
				k := rapid.IntRange(0, len(w.pending)-1).Draw(t, "message")
				f := w.pending[k]
				// A third are delivered again later.
				if rapid.IntRange(0, 2).Draw(t, "again") > 0 {
					w.pending = append(w.pending[:k], w.pending[k+1:]...)
				}
				f()
			},
			"drop": func(t *rapid.T) {
				if len(w.pending) == 0 {
					t.Skip()
				}
				k := rapid.IntRange(0, len(w.pending)-1).Draw(t, "message")
				w.pending = append(w.pending[:k], w.pending[k+1:]...)
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
				for i := range w.movers {
					if rapid.Bool().Draw(t, "awake") {
						w.step(i, rollout.Tick{})
					}
				}
			},
			"elect": func(t *rapid.T) { w.step(any(), rollout.OwnerElected{Owner: name(any()), Daemons: 3}) },
			"document": func(t *rapid.T) {
				deadline := w.now.Sub(epoch) + time.Duration(rapid.IntRange(-10, 120).Draw(t, "minutes"))*time.Minute
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0:
					document0(versions("v1", "v2", deadline))
				case 1:
					document0(versions("v1", "", 0))
				case 2:
					document0(versions("v2", "", 0))
				case 3:
					document0(versions("v1", "v3", deadline))
				}
			},
			"accept": func(t *rapid.T) {
				w.step(any(), w.docs[rapid.IntRange(0, len(w.docs)-1).Draw(t, "revision")])
			},
			"bad answers": func(t *rapid.T) {
				i := any()
				// A timer that is due fires first.
				w.step(i, rollout.Tick{})
				for range 12 {
					for _, v := range []string{"v1", "v1", "v1", "v2"} {
						w.step(i, rollout.LocalSample{Sample: rollout.Sample{Service: "svc", Version: v, Upstream: v, At: w.now, Failed: v == "v2"}})
					}
				}
			},
		})
	})
}
