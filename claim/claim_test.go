package claim_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/claim"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func request(key, body, nonce string) claim.Request {
	return claim.Request{Account: "apiary", Service: "shop", Key: key, BodyHash: body, Nonce: nonce, Daemon: "d1", Deadline: t0.Add(5 * time.Second)}
}

func claimed(nonce, body string) claim.Record {
	return claim.Record{State: claim.StateClaimed, Nonce: nonce, BodyHash: body, Daemon: "d1"}
}

// step is one event and the actions that must follow, by name.
type step struct {
	after time.Duration
	ev    claim.Event
	want  []string
}

func name(a claim.Action) string {
	switch a := a.(type) {
	case claim.ReadRecord:
		return "read"
	case claim.WriteRecord:
		return "write " + string(a.Record.State)
	case claim.Run:
		return "run"
	case claim.Answer:
		if a.Recorded {
			return "answer recorded"
		}
		return "answer"
	case claim.Refuse:
		return "refuse " + string(a.RunStatus) + " " + a.Code
	case claim.Release:
		return "release"
	}
	return "?"
}

func names(acts []claim.Action) []string {
	out := []string{}
	for _, a := range acts {
		out = append(out, name(a))
	}
	return out
}

var _ = Describe("Claim", func() {
	done := claim.Record{State: claim.StateDone, Nonce: "other", BodyHash: "b", Outcome: &claim.Outcome{Status: 201, Body: []byte("ok"), BodyBytes: 2}}
	reply := claim.Replied{Outcome: claim.Outcome{Status: 201, Body: []byte("ok"), BodyBytes: 2}}

	// Guards against a transition that runs a call twice or refuses with an
	// untrue outcome. Each row is one path through the state machine.
	DescribeTable("paths", func(key string, steps ...step) {
		c := claim.New(t0, request(key, "b", "mine"), claim.Options{})
		now := t0
		for i, s := range steps {
			now = now.Add(s.after)
			Expect(names(c.Step(now, s.ev))).To(Equal(s.want), "step %d", i)
		}
		Expect(c.Ended()).To(BeTrue())
		Expect(c.Step(now, claim.Tick{})).To(BeEmpty(), "an ended claim acts no more")
	},
		Entry("first call: one write before the run and one after it", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultOK, Index: 7}, []string{"run"}},
			step{0, reply, []string{"answer", "write done"}},
			step{0, claim.Written{Op: 2, Result: claim.ResultOK, Index: 8}, []string{}}),
		Entry("no key", "",
			step{0, claim.Start{}, []string{"refuse not_run idempotency_key_required"}}),
		Entry("repeat gets the recorded outcome", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Record: done, Index: 9}, []string{"answer recorded"}}),
		Entry("repeat waits for the running call", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Record: claimed("other", "b"), Index: 9}, []string{}},
			step{50 * time.Millisecond, claim.Tick{}, []string{"read"}},
			step{0, claim.Read{Op: 3, Record: done, Index: 10}, []string{"answer recorded"}}),
		Entry("repeat of a call whose daemon died: may_have_run at the deadline, never a take-over", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Record: claimed("other", "b"), Index: 9}, []string{}},
			step{time.Second, claim.Tick{}, []string{"read"}},
			step{0, claim.Read{Op: 3, Record: claimed("other", "b"), Index: 9}, []string{}},
			step{4 * time.Second, claim.Tick{}, []string{"refuse may_have_run claim_running"}}),
		Entry("another body under the key", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Record: claimed("other", "c"), Index: 9}, []string{"refuse not_run idempotency_key_reused"}}),
		Entry("a released claim runs, whatever its body was", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Record: claim.Record{State: claim.StateReleased, BodyHash: "c"}, Index: 9}, []string{"write claimed"}},
			step{0, claim.Written{Op: 3, Result: claim.ResultOK, Index: 10}, []string{"run"}},
			step{0, claim.ReplyLost{}, []string{"refuse may_have_run reply_lost"}}),
		Entry("store out of reach", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultUnavailable}, []string{"refuse not_run store_unreachable"}}),
		Entry("store out of reach after a conflict: the key is another call's", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Result: claim.ResultUnavailable}, []string{"refuse may_have_run store_unreachable"}}),
		Entry("lost answer, our nonce in the record", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultUnknown}, []string{"read"}},
			step{0, claim.Read{Op: 2, Result: claim.ResultUnavailable}, []string{}},
			step{50 * time.Millisecond, claim.Tick{}, []string{"read"}},
			step{0, claim.Read{Op: 3, Record: claimed("mine", "b"), Index: 4}, []string{"run"}},
			step{0, claim.ReplyLost{}, []string{"refuse may_have_run reply_lost"}}),
		Entry("lost answer, no record: the same write again", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultUnknown}, []string{"read"}},
			step{0, claim.Read{Op: 2, Result: claim.ResultNotFound}, []string{"write claimed"}},
			step{0, claim.Written{Op: 3, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 4, Record: claimed("mine", "b"), Index: 4}, []string{"run"}},
			step{0, claim.ReplyLost{}, []string{"refuse may_have_run reply_lost"}}),
		Entry("lost answer that stays unknown", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultUnknown}, []string{"read"}},
			step{0, claim.Read{Op: 2, Result: claim.ResultUnavailable}, []string{}},
			step{5 * time.Second, claim.Tick{}, []string{"release", "refuse not_run claim_unresolved"}},
			step{0, claim.Read{Op: 3, Record: claimed("mine", "b"), Index: 4}, []string{}}),
		Entry("store silent until the deadline", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{5 * time.Second, claim.Tick{}, []string{"release", "refuse not_run claim_unresolved"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultOK, Index: 4}, []string{}}),
		Entry("daemon paused past the deadline before it hears of its claim", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{time.Minute, claim.Written{Op: 1, Result: claim.ResultOK, Index: 4}, []string{"release", "refuse not_run deadline_exceeded"}}),
		// Guards the store against a call that writes and reads without pause.
		Entry("stale reads that contradict the writes", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Result: claim.ResultNotFound}, []string{"write claimed"}},
			step{0, claim.Written{Op: 3, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 4, Result: claim.ResultNotFound}, []string{"write claimed"}},
			step{0, claim.Written{Op: 5, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 6, Result: claim.ResultNotFound}, []string{}},
			step{50 * time.Millisecond, claim.Tick{}, []string{"read"}},
			step{0, claim.Read{Op: 7, Result: claim.ResultNotFound}, []string{"write claimed"}},
			step{0, claim.Written{Op: 8, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 9, Result: claim.ResultNotFound}, []string{}},
			step{5 * time.Second, claim.Tick{}, []string{"refuse not_run deadline_exceeded"}}),
		Entry("upstream unreachable", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultOK, Index: 7}, []string{"run"}},
			step{0, claim.NotSent{}, []string{"release", "refuse not_run upstream_unreachable"}}),
		Entry("record that cannot be read", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultConflict}, []string{"read"}},
			step{0, claim.Read{Op: 2, Result: claim.ResultUnreadable}, []string{"refuse may_have_run claim_unreadable"}}),
		Entry("outcome whose first write took effect and whose answer was lost", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultOK, Index: 7}, []string{"run"}},
			step{0, reply, []string{"answer", "write done"}},
			step{0, claim.Written{Op: 2, Result: claim.ResultUnknown}, []string{}},
			step{50 * time.Millisecond, claim.Tick{}, []string{"write done"}},
			step{0, claim.Written{Op: 3, Result: claim.ResultConflict}, []string{}}),
		Entry("late result of the claim's write does not pass for that of the outcome's", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultUnknown}, []string{"read"}},
			step{0, claim.Read{Op: 2, Record: claimed("mine", "b"), Index: 4}, []string{"run"}},
			step{0, reply, []string{"answer", "write done"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultOK, Index: 4}, []string{}},
			step{0, claim.Written{Op: 3, Result: claim.ResultUnknown}, []string{}},
			step{50 * time.Millisecond, claim.Tick{}, []string{"write done"}},
			step{0, claim.Written{Op: 4, Result: claim.ResultOK, Index: 5}, []string{}}),
		Entry("outcome that cannot be recorded: the record stays claimed", "k",
			step{0, claim.Start{}, []string{"write claimed"}},
			step{0, claim.Written{Op: 1, Result: claim.ResultOK, Index: 7}, []string{"run"}},
			step{0, reply, []string{"answer", "write done"}},
			step{0, claim.Written{Op: 2, Result: claim.ResultUnknown}, []string{}},
			step{50 * time.Millisecond, claim.Tick{}, []string{"write done"}},
			step{10 * time.Second, claim.Tick{}, []string{}}),
	)

	// Guards against a record above the store's bound, and against a cut body
	// that passes for the whole one.
	It("stores status and headers of a reply that is too large, and says so", func() {
		c := claim.New(t0, request("k", "b", "mine"), claim.Options{MaxRecordBody: 4})
		c.Step(t0, claim.Start{})
		c.Step(t0, claim.Written{Op: 1, Result: claim.ResultOK, Index: 1})
		acts := c.Step(t0, claim.Replied{Outcome: claim.Outcome{Status: 200, Headers: []claim.Header{{Name: "Location", Value: "/o/1"}}, Body: []byte("12345"), BodyBytes: 5}})
		r, err := claim.Decode(acts[1].(claim.WriteRecord).Record.Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Outcome.Complete()).To(BeFalse())
		Expect(r.Outcome.Body).To(BeEmpty())
		Expect(r.Outcome.BodyBytes).To(Equal(int64(5)))
		Expect(r.Outcome.Headers).To(HaveLen(1))
		Expect(acts[0].(claim.Answer).Outcome.Body).To(HaveLen(5), "the caller itself gets all of it")
	})

	DescribeTable("refuses a value that is no record", func(value string) {
		_, err := claim.Decode([]byte(value))
		Expect(err).To(HaveOccurred())
	},
		Entry("no JSON", "x"), Entry("unknown state", `{"state":"open"}`), Entry("done without outcome", `{"state":"done"}`),
	)
})
