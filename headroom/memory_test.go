package headroom_test

import (
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/headroom"
)

// fullEngine is the report of an engine of which four runs use 80,000 of 88,000 tokens.
func fullEngine(priority int) headroom.Report {
	r := headroom.Report{Listed: headroom.Load{Running: 4}, Slots: 16, UsedTokens: 80000, TotalTokens: 88000}
	for _, id := range []string{"a", "b", "c", "d"} {
		r.Runs = append(r.Runs, headroom.Run{ID: id, Tokens: 9000, Events: 10, Priority: priority})
	}
	return r
}

// knownTracker returns a tracker that has learnt a speed of 8 tokens a millisecond and the time
// for which runs generate output, and the time of its last sample.
func knownTracker(output time.Duration) (*headroom.Tracker, time.Time) {
	t, now := headroom.NewTracker(), time.Unix(1000, 0)
	for range 6 {
		t.Report("idle", "s", headroom.Report{Slots: 16, TotalTokens: 88000}, now)
		r := headroom.Request{ID: "x", Service: "s", Priority: 5, Tokens: 8000, OutputTokens: 650}
		ticket := t.Sent("idle", r, t.Estimate("idle", r, now), now)
		now = now.Add(time.Second)
		t.FirstEvent(ticket, now)
		now = now.Add(output)
		t.Ended(ticket, now)
	}
	return t, now
}

// Guards against requests that are sent to engines with free slots and no KV cache left: the
// engine preempts one of its runs, which is late then and is read again.
func TestEngineWithoutMemory(t *testing.T) {
	tracker, now := knownTracker(4 * time.Second)
	r := headroom.Request{ID: "y", Service: "s", Priority: 5, Tokens: 8000, OutputTokens: 650}
	tracker.Report("full", "s", fullEngine(5), now)
	tracker.Report("idle", "s", headroom.Report{Slots: 16, TotalTokens: 88000}, now)
	full, idle := tracker.Estimate("full", r, now), tracker.Estimate("idle", r, now)
	if full.MemoryWait <= 0 || full.Preempts || full.Idle || full.Time <= idle.Time {
		t.Errorf("the estimate at the full engine is %+v", full)
	}
	if idle.MemoryWait != 0 || !idle.Idle {
		t.Errorf("the estimate at the idle engine is %+v", idle)
	}
	// An engine makes room for a more urgent request, at the cost of another run.
	r.Priority = 1
	if est := tracker.Estimate("full", r, now); !est.Preempts || est.MemoryWait <= 0 {
		t.Errorf("the estimate of an urgent request is %+v", est)
	}
	// Engines that do not report their memory are judged by their slots.
	unknown := fullEngine(5)
	unknown.UsedTokens, unknown.TotalTokens = 0, 0
	tracker.Report("unknown", "s", unknown, now)
	if est := tracker.Estimate("unknown", r, now); est.MemoryWait != 0 || est.Preempts {
		t.Errorf("the estimate at an engine without a report of its memory is %+v", est)
	}
}

// Guards against two requests that are both sent to the last room of an engine before its next
// report.
func TestMemoryOfRequestsThatAreNotListedYet(t *testing.T) {
	tracker, now := knownTracker(40 * time.Second)
	report := fullEngine(5)
	report.UsedTokens = 78000
	tracker.Report("e", "s", report, now)
	r := headroom.Request{ID: "y", Service: "s", Priority: 5, Tokens: 8000, OutputTokens: 650}
	first := tracker.Estimate("e", r, now)
	if first.MemoryWait != 0 {
		t.Fatalf("the first estimate is %+v", first)
	}
	tracker.Sent("e", r, first, now)
	r.ID = "z"
	if second := tracker.Estimate("e", r, now.Add(time.Millisecond)); second.MemoryWait <= 0 {
		t.Errorf("the second estimate is %+v", second)
	}
}

// Guards against copies of runs that take the room of requests in an overload: with copies at
// each engine, half of the memory of the fleet held copies.
func TestRoomForCopies(t *testing.T) {
	tracker, now := knownTracker(4 * time.Second)
	r := headroom.Request{Service: "s", Tokens: 8000, OutputTokens: 650}
	half := headroom.Report{Slots: 16, UsedTokens: 30000, TotalTokens: 88000}
	tracker.Report("half", "s", half, now)
	tracker.Report("full", "s", fullEngine(5), now)
	if !tracker.RoomForCopy("half", r, now) {
		t.Error("an engine with a third of its memory in use has no room for a copy")
	}
	for engine, at := range map[string]time.Time{"full": now, "unknown": now, "half": now.Add(time.Minute)} {
		if tracker.RoomForCopy(engine, r, at) {
			t.Errorf("engine %s has room for a copy", engine)
		}
	}
}

// Guards against estimates that stay too low: engines that read more slowly than was learnt
// then get requests that are late, as many as their queue holds.
func TestEstimatesFollowRealTimes(t *testing.T) {
	tracker, now := knownTracker(4 * time.Second)
	busy := headroom.Report{Listed: headroom.Load{Running: 2}, Slots: 16, TotalTokens: 88000,
		Runs: []headroom.Run{{ID: "a", Tokens: 4000, Priority: 5}, {ID: "b", Tokens: 4000, Priority: 5}}}
	r := headroom.Request{ID: "y", Service: "s", Priority: 5, Tokens: 8000, OutputTokens: 650}
	tracker.Report("busy", "s", busy, now)
	before := tracker.Estimate("busy", r, now).Time
	for range 60 {
		tracker.Report("busy", "s", busy, now)
		est := tracker.Estimate("busy", r, now)
		ticket := tracker.Sent("busy", r, est, now)
		now = now.Add(2 * before)
		tracker.FirstEvent(ticket, now)
		tracker.Ended(ticket, now)
	}
	tracker.Report("busy", "s", busy, now)
	if after := tracker.Estimate("busy", r, now).Time; after < 3*before/2 {
		t.Errorf("the estimate is %v, and %v after 60 requests that took twice as long", before, after)
	}
}

// Guards against clients that are refused twice in an overload of some seconds: each is told to
// come back while as many are refused as before.
func TestRetryAfterGrowsWithTheShareOfRefusals(t *testing.T) {
	tracker, now := knownTracker(4 * time.Second)
	q := headroom.Question{
		Request:   headroom.Request{ID: "y", Service: "s", Priority: 5, Tokens: 8000, OutputTokens: 650},
		Objective: 4 * time.Second, Arrived: now, ClientDeadline: now.Add(25 * time.Second),
		Engines: []string{"full"}, Candidates: []headroom.Candidate{{Engine: "full"}}, Rounds: headroom.MaxRounds,
	}
	ask := func() time.Duration {
		report := fullEngine(5)
		report.Listed.Waiting = 3
		tracker.Report("full", "s", report, now)
		d := tracker.Decide(q, now, 0.5)
		if d.Verdict != headroom.Refuse {
			t.Fatalf("the decision is %+v", d)
		}
		return d.RetryAfter
	}
	first := ask()
	for range 100 {
		ask()
	}
	if last := ask(); last <= first || last > 25*time.Second/3 {
		t.Errorf("Retry-After is %v, and %v after a hundred refusals", first, last)
	}
}
