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

// moverModel is a model of three daemons whose messages and store calls are
// carried out in any order, twice, late or never.
type moverModel struct {
	t       *rapid.T
	now     time.Time
	movers  []*rollout.Mover
	shares  []map[string]float64
	indexes []uint64
	// pending holds deliveries and store calls that were not carried out yet.
	pending []func()

	docs   []rollout.DocumentAccepted
	rec    rollout.Move
	index  uint64
	fences map[uint64]rollout.Move
}

func (m *moverModel) step(i int, ev rollout.Event) {
	for _, a := range m.movers[i].Step(m.now, ev) {
		switch a := a.(type) {
		case rollout.SetShare:
			m.shares[i][a.Version] = a.Share
		case rollout.AnnounceAlarm:
			for j := range m.movers {
				if j != i {
					m.pending = append(m.pending, func() { m.step(j, rollout.PeerAlarm(a)) })
				}
			}
		case rollout.SendWindow:
			for j := range m.movers {
				if daemonName(j) == a.To {
					m.pending = append(m.pending, func() { m.step(j, rollout.PeerWindow{Window: a.Window}) })
				}
			}
		case rollout.WriteMove:
			m.pending = append(m.pending, func() { m.write(i, a) })
		case rollout.ReadMove:
			m.pending = append(m.pending, func() { m.step(i, rollout.StoredRecord{Move: m.rec, Index: m.index}) })
		}
	}
	m.check(i)
}

func daemonName(i int) string { return fmt.Sprintf("d%d", i) }

func (m *moverModel) write(i int, a rollout.WriteMove) {
	if a.Index != m.index {
		m.step(i, rollout.StoredRecord{Err: errors.New("conflict")})
		return
	}
	if a.Move.Fence != m.rec.Fence+1 {
		m.t.Fatalf("fence %d follows %d", a.Move.Fence, m.rec.Fence)
	}
	if a.Move.Began == m.rec.Began {
		if m.rec.Phase == rollout.PhaseRolledBack {
			m.t.Fatalf("rolled-back move %d became %s", m.rec.Began, a.Move.Phase)
		}
		if a.Move.Phase < m.rec.Phase {
			m.t.Fatalf("%s follows %s", a.Move.Phase, m.rec.Phase)
		}
	} else if a.Move.Began != a.Move.Fence {
		m.t.Fatalf("move %d begins with fence %d", a.Move.Began, a.Move.Fence)
	}
	if a.Move.DocRevision < m.rec.DocRevision {
		m.t.Fatalf("document revision %d follows %d", a.Move.DocRevision, m.rec.DocRevision)
	}
	if _, ok := m.fences[a.Move.Fence]; ok {
		m.t.Fatalf("fence %d was written twice", a.Move.Fence)
	}
	m.index++
	m.rec, m.fences[a.Move.Fence] = a.Move, a.Move
	rec, index := m.rec, m.index
	for j := range m.movers {
		m.pending = append(m.pending, func() { m.step(j, rollout.StoredRecord{Move: rec, Index: index}) })
	}
	if rapid.Bool().Draw(m.t, "answer lost") {
		m.step(i, rollout.StoredRecord{Err: errors.New("lost")})
	} else {
		m.step(i, rollout.StoredRecord{Move: rec, Index: index})
	}
}

// check fails the test when daemon i breaks an invariant.
func (m *moverModel) check(i int) {
	sum := 0.0
	for _, s := range m.shares[i] {
		sum += s
	}
	if len(m.shares[i]) > 0 && math.Abs(sum-1) > 1e-9 {
		m.t.Fatalf("shares %v of %s do not sum to 1", m.shares[i], daemonName(i))
	}
	rec, index := m.movers[i].Record()
	if index < m.indexes[i] {
		m.t.Fatalf("%s went from index %d to %d", daemonName(i), m.indexes[i], index)
	}
	m.indexes[i] = index
	if rec.Fence > 0 && rec != m.fences[rec.Fence] {
		m.t.Fatalf("%s applies a record that was not written", daemonName(i))
	}
	r := m.movers[i].Status()
	if r.Phase == rollout.PhaseRolledBack && r.Share != 0 {
		m.t.Fatalf("%s gives a rolled-back version the share %g", daemonName(i), r.Share)
	}
	if r.Phase == rollout.PhaseProbing && r.Share > 0.5 {
		m.t.Fatalf("%s gives the new version the share %g while probing", daemonName(i), r.Share)
	}
	if r.To != "" && r.Share != m.shares[i][r.To] {
		m.t.Fatalf("%s reports the share %g but has set %g", daemonName(i), r.Share, m.shares[i][r.To])
	}
	// The phase in force may be ahead of the record's, by the schedule or an alarm,
	// but never behind it.
	if rec.Fence > 0 && r.Fence == rec.Fence && r.Phase != rollout.PhaseNone && r.Phase < rec.Phase {
		m.t.Fatalf("%s reports %s at fence %d, which is %s", daemonName(i), r.Phase, rec.Fence, rec.Phase)
	}
}

// Guards against sequences of messages, lost answers, elections and documents
// that break the record, continue a rolled-back move, or make a daemon apply a
// record that was not written with its fence.
func TestRecordInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &moverModel{t: t, now: moveStart, fences: map[uint64]rollout.Move{}}
		for i := range 3 {
			m.movers = append(m.movers, rollout.New(daemonName(i), rollout.Options{Service: "svc"}, rand.New(rand.NewPCG(uint64(i), 7))))
			m.shares = append(m.shares, map[string]float64{})
			m.indexes = append(m.indexes, 0)
		}
		addDocument := func(v document.Versions) {
			m.docs = append(m.docs, rollout.DocumentAccepted{Service: makeDoc(4, 4, v), Revision: uint64(10 + len(m.docs))})
		}
		addDocument(versions("v1", "v2", time.Hour))
		for i := range m.movers {
			m.step(i, rollout.OwnerElected{Owner: "d0", Daemons: 3})
			m.step(i, m.docs[0])
		}
		anyDaemon := func() int { return rapid.IntRange(0, 2).Draw(t, "daemon") }
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				if len(m.pending) == 0 {
					t.Skip()
				}
				k := rapid.IntRange(0, len(m.pending)-1).Draw(t, "message")
				f := m.pending[k]
				// A third of the messages may be delivered again later.
				if rapid.IntRange(0, 2).Draw(t, "again") > 0 {
					m.pending = append(m.pending[:k], m.pending[k+1:]...)
				}
				f()
			},
			"drop": func(t *rapid.T) {
				if len(m.pending) == 0 {
					t.Skip()
				}
				k := rapid.IntRange(0, len(m.pending)-1).Draw(t, "message")
				m.pending = append(m.pending[:k], m.pending[k+1:]...)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
				for i := range m.movers {
					if rapid.Bool().Draw(t, "awake") {
						m.step(i, rollout.Tick{})
					}
				}
			},
			"elect": func(t *rapid.T) {
				m.step(anyDaemon(), rollout.OwnerElected{Owner: daemonName(anyDaemon()), Daemons: 3})
			},
			"document": func(t *rapid.T) {
				deadline := m.now.Sub(moveStart) + time.Duration(rapid.IntRange(-10, 120).Draw(t, "minutes"))*time.Minute
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0:
					addDocument(versions("v1", "v2", deadline))
				case 1:
					addDocument(versions("v1", "", 0))
				case 2:
					addDocument(versions("v2", "", 0))
				case 3:
					addDocument(versions("v1", "v3", deadline))
				}
			},
			"accept": func(t *rapid.T) {
				m.step(anyDaemon(), m.docs[rapid.IntRange(0, len(m.docs)-1).Draw(t, "revision")])
			},
			"bad answers": func(t *rapid.T) {
				i := anyDaemon()
				// A due timer fires before the answers arrive.
				m.step(i, rollout.Tick{})
				for range 12 {
					for _, v := range []string{"v1", "v1", "v1", "v2"} {
						m.step(i, rollout.LocalSample{Sample: rollout.Sample{Service: "svc", Version: v, Upstream: v, At: m.now, Failed: v == "v2"}})
					}
				}
			},
		})
	})
}
