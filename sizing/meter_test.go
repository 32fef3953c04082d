package sizing_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// Guards against counts in the wrong interval, and against samples that grow with the number
// of streams.
func TestMeter(t *testing.T) {
	start := time.UnixMilli(1000)
	m := sizing.NewMeter("a", start)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond / 2)
		m.Arrived(service, promptTokens, now)
		m.Sent(service, now)
		m.FirstEvent(service, promptTokens, prefill, i%2 == 0, now)
		if i%4 == 0 {
			m.Ended(service, output, now)
		}
	}
	m.ReadAgain(service, 100, start.Add(900*time.Millisecond))
	if got := m.Message(start.Add(900 * time.Millisecond)); len(got.Intervals) > 0 {
		t.Errorf("an interval is sent before its end: %+v", got)
	}
	got := m.Message(start.Add(1300 * time.Millisecond))
	if len(got.Intervals) != 1 || got.Intervals[0].AgeMs != 300 || got.Intervals[0].Seq != 0 || got.DataCentre != "a" || got.Process != 1000 {
		t.Fatalf("message is %+v", got)
	}
	s := got.Intervals[0].Services[service]
	if s.Arrived != 1000 || s.Tokens != 1000*promptTokens+100 || s.First != 1000 || s.Ended != 250 || s.Running != 750 || s.OutputMs != 250*output.Milliseconds() {
		t.Errorf("sample is %+v", s)
	}
	if len(s.Pace) != 1 {
		t.Errorf("paces are %v", s.Pace)
	}
	b, err := json.Marshal(got)
	if err != nil || len(b) > 300 {
		t.Errorf("%d bytes: %s, %v", len(b), b, err)
	}
}

// Guards against runs that are forgotten in intervals without an event, and against a long
// pause of the process that makes an interval for each second of it.
func TestMeterWithoutEvents(t *testing.T) {
	start := time.UnixMilli(1000)
	m := sizing.NewMeter("a", start)
	m.Sent(service, start)
	got := m.Message(start.Add(time.Hour))
	if len(got.Intervals) != 3 {
		t.Fatalf("%d intervals", len(got.Intervals))
	}
	for _, in := range got.Intervals {
		if in.Services[service].Running != 1 {
			t.Errorf("interval %+v", in)
		}
	}
	if last := got.Intervals[2]; last.Seq != 3599 || last.AgeMs != 0 {
		t.Errorf("last interval %+v", last)
	}
}

// Guards against values of clients, a clock that goes back and ends without a beginning, which
// must not lead to samples that the planner rejects.
func TestMeterWithOddValues(t *testing.T) {
	start := time.UnixMilli(1000)
	m, p := sizing.NewMeter("a", start), sizing.NewPlanner(start)
	for _, tokens := range []int{math.MinInt, -1, 0, 1, math.MaxInt} {
		for _, took := range []time.Duration{-time.Second, 0, 1, time.Hour} {
			m.Arrived(service, tokens, start.Add(-time.Minute))
			m.FirstEvent(service, tokens, took, true, start)
			m.Ended(service, took, start)
		}
	}
	if err := p.Merge("d", m.Message(start.Add(2*time.Second)), start.Add(2*time.Second)); err != nil {
		t.Error(err)
	}
}
