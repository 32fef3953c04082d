package plain

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/refusal"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// bodyHash identifies what a call asks for: another body under the same key is
// another call.
func bodyHash(c *call) string {
	d := sha256.New()
	// hash.Hash never returns an error.
	_, _ = fmt.Fprintf(d, "%s\n%s\n%s\n%d\n", c.method, c.path, c.header.Get("Content-Type"), len(c.body))
	_, _ = d.Write(c.body)
	return hex.EncodeToString(d.Sum(nil))
}

// once runs a non-idempotent call through its claim. Once bytes may have been
// sent, the call goes on without its caller, so that its outcome is recorded.
func (h *Handler) once(ctx context.Context, w http.ResponseWriter, span trace.Span, c *call) {
	ctx = context.WithoutCancel(ctx)
	now := h.o.Clock.Now()
	key := c.header.Get(HeaderIdempotencyKey)
	if key != "" && !h.o.Snapshot().StoreReachable {
		h.refuseClaim(w, span, c, claim.Refuse{RunStatus: claim.NotRun, Code: claim.CodeStoreUnreachable, RetryAfter: time.Second})
		return
	}
	m := claim.New(now, claim.Request{
		Account: c.account.Name, Service: c.view.Doc.Name, Key: key, BodyHash: bodyHash(c),
		Nonce: h.o.Nonce(), Daemon: h.o.Daemon, Deadline: c.deadline,
	}, h.o.Claim)
	acts := m.Step(now, claim.Start{})
	var streamed, broken bool
	for {
		var ev claim.Event
		for _, a := range acts {
			switch a := a.(type) {
			case claim.Run:
				ev, streamed, broken = h.run(ctx, w, c)
			case claim.Answer:
				if !streamed {
					h.answer(w, c, a)
				}
				// Whatever follows is the recording of the outcome.
				h.settler.settle(m, storeActions(acts))
				return
			case claim.Refuse:
				if broken {
					abort(w)
				}
				h.refuseClaim(w, span, c, a)
			case claim.Release:
				h.settler.release(a.Pending)
			default:
				ev = h.storeOp(ctx, c.deadline, a)
			}
		}
		if m.Ended() {
			return
		}
		if ev == nil {
			at, _ := m.NextTimer()
			h.wait(ctx, at.Sub(h.o.Clock.Now()))
			ev = claim.Tick{}
		}
		acts = m.Step(h.o.Clock.Now(), ev)
	}
}

func storeActions(acts []claim.Action) []claim.Action {
	var out []claim.Action
	for _, a := range acts {
		switch a.(type) {
		case claim.ReadRecord, claim.WriteRecord:
			out = append(out, a)
		}
	}
	return out
}

// run sends a claimed call. Another upstream is tried only while certainly no
// byte was sent. streamed is set when the reply went to the caller already,
// broken when it broke off on the way.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, c *call) (ev claim.Event, streamed, broken bool) {
	tried := map[string]bool{}
	for n := 1; n <= h.o.MaxAttempts; n++ {
		u := h.pick(c, tried)
		if u == nil || !h.o.Clock.Now().Before(c.deadline) {
			break
		}
		tried[u.Name] = true
		rep, aerr := h.attempt(ctx, c, u, n)
		if aerr != nil && aerr.notSent {
			continue
		}
		if aerr != nil {
			h.o.Logger.Warn("reply to a non-idempotent call was lost", "service", c.view.Doc.Name, "upstream", u.Name, "error", aerr.err)
			return claim.ReplyLost{}, false, false
		}
		o := claim.Outcome{Status: rep.status, Headers: headers(rep.header), Body: rep.head, BodyBytes: int64(len(rep.head))}
		if rep.rest == nil {
			return claim.Replied{Outcome: o}, false, false
		}
		total, complete := h.copyReply(w, c, rep)
		if !complete {
			return claim.ReplyLost{}, true, true
		}
		o.Body, o.BodyBytes = nil, total
		return claim.Replied{Outcome: o}, true, false
	}
	return claim.NotSent{}, false, false
}

func headers(in http.Header) []claim.Header {
	var out []claim.Header
	for name, values := range in {
		for _, v := range values {
			out = append(out, claim.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// answer sends an outcome that is held whole, or says that it is not.
func (h *Handler) answer(w http.ResponseWriter, c *call, a claim.Answer) {
	header := http.Header{}
	for _, l := range a.Outcome.Headers {
		header[l.Name] = append(header[l.Name], l.Value)
	}
	if a.Recorded {
		header.Set(HeaderReplayed, "true")
		h.o.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_replayed_total{service=%q}`, c.view.Doc.Name)).Inc()
	}
	body := a.Outcome.Body
	if !a.Outcome.Complete() {
		// The caller must not take this body for the upstream's.
		for _, name := range []string{"Content-Encoding", "Content-Range", "Etag", "Digest", "Content-Digest", "Repr-Digest"} {
			header.Del(name)
		}
		header.Set("Content-Type", "application/json")
		body = fmt.Appendf(nil, `{"replayed":true,"body_stored":false,"body_bytes":%d,"message":`+
			`"the call ran once with this status; its reply was too large to be stored in full"}`, a.Outcome.BodyBytes)
	}
	header.Del("Content-Length")
	h.pass(w, c, &reply{status: a.Outcome.Status, header: header, head: body, cancel: func() {}})
}

var claimRefusals = map[string]struct {
	status  int
	message string
}{
	claim.CodeKeyRequired: {http.StatusBadRequest, "calls on this route must not be repeated; send the header " +
		HeaderIdempotencyKey + " with a value that is unique to the order, and the same value when the call is sent again"},
	claim.CodeKeyReused:           {http.StatusUnprocessableEntity, "this idempotency key belongs to a call with another method, path or body; this call did not run"},
	claim.CodeStoreUnreachable:    {http.StatusServiceUnavailable, "the store of claims is out of reach"},
	claim.CodeClaimUnresolved:     {http.StatusServiceUnavailable, "the store did not say in time whether the call may run, so it did not run"},
	claim.CodeClaimRunning:        {http.StatusConflict, "an earlier call with this idempotency key has no known outcome; it may be running, or its daemon or its reply was lost"},
	claim.CodeClaimUnreadable:     {http.StatusInternalServerError, "the record of this idempotency key cannot be read"},
	claim.CodeReplyLost:           {http.StatusBadGateway, "the call was sent and its reply was lost; ask the service before sending it under another key"},
	claim.CodeUpstreamUnreachable: {http.StatusServiceUnavailable, "no upstream could be reached; nothing was sent"},
	claim.CodeDeadline:            {http.StatusGatewayTimeout, "the deadline passed before the call was sent"},
}

func (h *Handler) refuseClaim(w http.ResponseWriter, span trace.Span, c *call, a claim.Refuse) {
	known := claimRefusals[a.Code]
	message := known.message
	if a.Code == claim.CodeStoreUnreachable && a.RunStatus == claim.NotRun {
		message += "; this call did not run, and whether an earlier one with the same key did is not known"
	}
	h.refuse(w, span, c, refusal.Refusal{Status: known.status, Code: a.Code, Message: message,
		Outcome: refusal.Outcome(a.RunStatus), RetryAfter: a.RetryAfter})
}

// storeOp carries out one action on the store.
func (h *Handler) storeOp(ctx context.Context, deadline time.Time, a claim.Action) claim.Event {
	by := h.o.Clock.Now().Add(h.o.StoreTimeout)
	if deadline.Before(by) {
		by = deadline
	}
	ctx, cancel := h.withDeadline(ctx, by)
	defer cancel()
	switch a := a.(type) {
	case claim.ReadRecord:
		ctx, span := h.tracer.Start(ctx, "plain.claim.read")
		defer span.End()
		e, err := h.o.Store.Get(ctx, a.Key)
		ev := claim.Read{Op: a.Op, Index: e.Index}
		switch {
		case err == nil:
			if ev.Record, err = claim.Decode(e.Value); err != nil {
				h.o.Logger.Error("claim record cannot be read", "key", a.Key, "error", err)
				ev.Result = claim.ResultUnreadable
			}
		case errors.Is(err, store.ErrNotFound):
			ev.Result = claim.ResultNotFound
		default:
			ev.Result = claim.ResultUnavailable
		}
		h.countStore("read", ev.Result)
		return ev
	case claim.WriteRecord:
		ctx, span := h.tracer.Start(ctx, "plain.claim.write")
		defer span.End()
		span.SetAttributes(attribute.String("state", string(a.Record.State)))
		index, err := h.o.Store.CompareAndSwap(ctx, a.Key, a.Record.Encode(), a.Index)
		ev := claim.Written{Op: a.Op, Index: index, Result: writeResult(err)}
		h.countStore("write", ev.Result)
		return ev
	}
	return nil
}

// writeResult classifies a write. An error that is not known to mean that the
// write had no effect is unknown.
func writeResult(err error) claim.Result {
	switch {
	case err == nil:
		return claim.ResultOK
	case errors.Is(err, store.ErrConflict):
		return claim.ResultConflict
	case errors.Is(err, store.ErrUnavailable):
		return claim.ResultUnavailable
	}
	return claim.ResultUnknown
}

func (h *Handler) countStore(op string, r claim.Result) {
	h.o.Metrics.GetOrCreateCounter("gooseberryroad_claim_store_calls_total{op=" + strconv.Quote(op) +
		",result=" + strconv.Quote(r.String()) + "}").Inc()
}
