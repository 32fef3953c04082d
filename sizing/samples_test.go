package sizing_test

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// steady is a planner that is told of one stream of 1,000 tokens each 100 ms by each of some
// daemons, and asked for its order each second. A prompt takes 100 ms, so that each daemon
// keeps one engine busy.
type steady struct {
	t       *testing.T
	now     time.Time
	planner *sizing.Planner
	meters  []*sizing.Meter
	silent  []bool
	// idle says that no more streams arrive.
	idle bool
	// clocks hold how much each daemon's clock lags.
	clocks []time.Duration
	// suspended daemons do nothing, and their clocks stand still.
	suspended []bool
}

func newSteady(t *testing.T, daemons int) *steady {
	s := &steady{t: t, now: time.UnixMilli(5_000_000), silent: make([]bool, daemons), clocks: make([]time.Duration, daemons), suspended: make([]bool, daemons)}
	s.planner = sizing.NewPlanner(s.now)
	for range daemons {
		s.meters = append(s.meters, sizing.NewMeter("a", s.now))
	}
	return s
}

// run runs for a time and returns the last recent demand in engines.
func (s *steady) run(length time.Duration) (recent float64) {
	service := sizing.Service{Name: service, Scaling: routes.Scaling{Min: 1, Max: 99, StartTime: startTime}, Objective: objective}
	for range 30 {
		service.Instances = append(service.Instances, registry.Instance{ID: string(rune('A' + len(service.Instances))), DataCentre: "a", Slots: 12})
	}
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for i, m := range s.meters {
			if s.suspended[i] {
				s.clocks[i] += 100 * time.Millisecond
				continue
			}
			at := s.now.Add(-s.clocks[i])
			if !s.idle {
				m.Arrived(service.Name, 1000, at)
				m.FirstEvent(service.Name, 1000, 100*time.Millisecond, true, at)
			}
			if s.now.UnixMilli()%500 == 0 && !s.silent[i] {
				if err := s.planner.Merge(string(rune('a'+i)), m.Message(at), s.now); err != nil {
					s.t.Fatal(err)
				}
			}
		}
		if s.now.UnixMilli()%1000 == 0 {
			s.planner.SetServices([]sizing.Service{service}, s.now)
			recent = s.recent()
		}
	}
	return recent
}

// recent returns the recent demand that an order states now.
func (s *steady) recent() (recent float64) {
	s.planner.Failed(sizing.Order{Service: service, DataCentre: "a"})
	for _, o := range s.planner.Order(s.now) {
		recent = o.Reasons.Recent
	}
	return recent
}

func (s *steady) check(when string, got, want float64) {
	s.t.Helper()
	if math.Abs(got-want) > 0.08*want {
		s.t.Errorf("%s: demand of %.2f engines, want %.2f", when, got, want)
	}
}

// Guards against a daemon that fell silent and counts as one without streams at once, and
// against one that counts for ever.
func TestSilentDaemonIsScaled(t *testing.T) {
	s := newSteady(t, 4)
	s.check("all heard", s.run(20*time.Second), 4)
	s.silent[0] = true
	for second := range 6 {
		s.check("silent for "+time.Duration(second).String(), s.run(time.Second), 4)
	}
	s.check("silent for long", s.run(15*time.Second), 3)
	s.silent[0] = false
	s.check("heard again", s.run(6*time.Second), 4)
}

// Guards against an old message that arrives several times and moves the samples of its
// daemon to another time.
func TestOldMessageAgainAndAgain(t *testing.T) {
	s := newSteady(t, 1)
	s.run(20 * time.Second)
	old := s.meters[0].Message(s.now)
	s.idle = true
	s.run(5 * time.Second)
	for range 20 {
		s.check("old messages", s.run(time.Second), 0)
		for range 5 {
			if err := s.planner.Merge("a", old, s.now); err != nil {
				t.Fatal(err)
			}
		}
		s.check("after old messages", s.recent(), 0)
	}
}

// Guards against a daemon whose samples count no more after its VM was suspended, because
// its clock stood still.
func TestSuspendedDaemonCountsAgain(t *testing.T) {
	s := newSteady(t, 2)
	s.check("before", s.run(20*time.Second), 2)
	s.suspended[0] = true
	s.check("suspended", s.run(15*time.Second), 1)
	s.suspended[0] = false
	s.check("resumed", s.run(8*time.Second), 2)
	s.silent[0] = true
	s.run(8 * time.Second)
	s.silent[0], s.clocks[0] = false, time.Hour
	s.meters[0] = sizing.NewMeter("a", s.now.Add(-s.clocks[0]))
	s.check("restarted with its clock set back", s.run(20*time.Second), 2)
}

// Guards against the past demand that is lost when all daemons restart one after the other,
// so that the number would be lowered.
func TestRestartsKeepThePast(t *testing.T) {
	s := newSteady(t, 4)
	s.run(20 * time.Second)
	for i := range s.meters {
		s.meters[i] = sizing.NewMeter("a", s.now)
		s.check("restarted", s.run(2*time.Second), 4)
	}
	s.check("afterwards", s.run(5*time.Second), 4)
}
