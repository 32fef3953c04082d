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

// requestHash returns a hash over method, path, query, content type and body. Calls
// with the same idempotency key but different hashes are different calls.
func requestHash(c *call) string {
	d := sha256.New()
	// Writes to a hash.Hash never return an error.
	_, _ = fmt.Fprintf(d, "%s\n%s\n%s\n%d\n", c.method, c.path, c.header.Get("Content-Type"), len(c.body))
	_, _ = d.Write(c.body)
	return hex.EncodeToString(d.Sum(nil))
}

// serveNonIdempotent runs a non-idempotent call through its claim. The call
// continues when its caller disconnects, because bytes may have been sent and
// the outcome must be recorded.
func (h *Handler) serveNonIdempotent(ctx context.Context, w http.ResponseWriter, span trace.Span, c *call) {
	ctx = context.WithoutCancel(ctx)
	now := h.opts.Clock.Now()
	key := c.header.Get(HeaderIdempotencyKey)
	if key != "" && !h.opts.Snapshot().StoreReachable {
		h.refuseClaim(w, span, c, claim.Refuse{RunStatus: claim.NotRun, Code: claim.CodeStoreUnreachable, RetryAfter: time.Second})
		return
	}
	m := claim.New(now, claim.Request{
		Account: c.account.Name, Service: c.view.Doc.Name, Key: key, BodyHash: requestHash(c),
		Nonce: h.opts.Nonce(), Daemon: h.opts.Daemon, Deadline: c.deadline,
	}, h.opts.Claim)
	acts := m.Step(now, claim.Start{})
	var streamed, brokenOff bool
	for {
		var ev claim.Event
		for _, a := range acts {
			switch a := a.(type) {
			case claim.Run:
				ev, streamed, brokenOff = h.runClaimed(ctx, w, c)
			case claim.Answer:
				if !streamed {
					h.sendOutcome(w, c, a)
				}
				// What remains of the claim is to record its outcome.
				h.recorder.finish(m, storeActions(acts))
				return
			case claim.Refuse:
				if brokenOff {
					abort(w)
				}
				h.refuseClaim(w, span, c, a)
			case claim.Release:
				h.recorder.release(a.Pending)
			default:
				ev = h.storeOp(ctx, c.deadline, a)
			}
		}
		if m.Ended() {
			return
		}
		if ev == nil {
			at, _ := m.NextTimer()
			h.wait(ctx, at.Sub(h.opts.Clock.Now()))
			ev = claim.Tick{}
		}
		acts = m.Step(h.opts.Clock.Now(), ev)
	}
}

// storeActions returns the reads and writes of the store among acts.
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

// runClaimed sends a claimed call. It tries another upstream only while it is
// certain that no byte was sent. streamed is set if the reply has already been
// sent to the caller, and brokenOff if the upstream broke off in the middle of
// it.
func (h *Handler) runClaimed(ctx context.Context, w http.ResponseWriter, c *call) (ev claim.Event, streamed, brokenOff bool) {
	tried := map[string]bool{}
	for n := 1; n <= h.opts.MaxAttempts; n++ {
		u := h.pick(c, tried)
		if u == nil || !h.opts.Clock.Now().Before(c.deadline) {
			break
		}
		tried[u.Name] = true
		rep, aerr := h.attempt(ctx, c, u, n)
		if aerr != nil && aerr.notSent {
			continue
		}
		if aerr != nil {
			h.opts.Logger.Warn("reply to a non-idempotent call was lost", "service", c.view.Doc.Name, "upstream", u.Name, "error", aerr.err)
			return claim.ReplyLost{}, false, false
		}
		outcome := claim.Outcome{Status: rep.status, Headers: claimHeaders(rep.header), Body: rep.buffered, BodyBytes: int64(len(rep.buffered))}
		if rep.remaining == nil {
			return claim.Replied{Outcome: outcome}, false, false
		}
		total, complete := h.copyReply(w, c, rep)
		if !complete {
			return claim.ReplyLost{}, true, true
		}
		outcome.Body, outcome.BodyBytes = nil, total
		return claim.Replied{Outcome: outcome}, true, false
	}
	return claim.NotSent{}, false, false
}

// claimHeaders returns the headers in the form of a claim record, sorted by name.
func claimHeaders(in http.Header) []claim.Header {
	var out []claim.Header
	for name, values := range in {
		for _, v := range values {
			out = append(out, claim.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// sendOutcome sends an outcome to the caller. If the outcome does not hold the whole
// reply, it sends a JSON body that says so.
func (h *Handler) sendOutcome(w http.ResponseWriter, c *call, a claim.Answer) {
	header := http.Header{}
	for _, line := range a.Outcome.Headers {
		header[line.Name] = append(header[line.Name], line.Value)
	}
	if a.Recorded {
		header.Set(HeaderReplayed, "true")
		h.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_replayed_total{service=%q}`, c.view.Doc.Name)).Inc()
	}
	body := a.Outcome.Body
	if !a.Outcome.Complete() {
		// These headers describe the upstream's body, not the one sent here.
		for _, name := range []string{"Content-Encoding", "Content-Range", "Etag", "Digest", "Content-Digest", "Repr-Digest"} {
			header.Del(name)
		}
		header.Set("Content-Type", "application/json")
		body = fmt.Appendf(nil, `{"replayed":true,"body_stored":false,"body_bytes":%d,"message":`+
			`"the call ran once with this status; its reply was too large to be stored in full"}`, a.Outcome.BodyBytes)
	}
	header.Del("Content-Length")
	h.sendReply(w, c, &reply{status: a.Outcome.Status, header: header, buffered: body, cancel: func() {}})
}

// claimRefusals holds the status and the message for each code of a claim.
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
	if retryAfter, withdrawn := h.allWithdrawn(c); withdrawn && a.Code == claim.CodeUpstreamUnreachable {
		h.refuse(w, span, c, refusalWhileWithdrawn(retryAfter))
		return
	}
	text := claimRefusals[a.Code]
	message := text.message
	if a.Code == claim.CodeStoreUnreachable && a.RunStatus == claim.NotRun {
		message += "; this call did not run, and whether an earlier one with the same key did is not known"
	}
	h.refuse(w, span, c, refusal.Refusal{Status: text.status, Code: a.Code, Message: message,
		Outcome: refusal.Outcome(a.RunStatus), RetryAfter: a.RetryAfter})
}

// storeOp executes one read or write of the store, bounded by
// Options.StoreTimeout and the deadline, and returns its result. It returns nil
// for other actions.
func (h *Handler) storeOp(ctx context.Context, deadline time.Time, a claim.Action) claim.Event {
	opDeadline := h.opts.Clock.Now().Add(h.opts.StoreTimeout)
	if deadline.Before(opDeadline) {
		opDeadline = deadline
	}
	ctx, cancel := h.withDeadline(ctx, opDeadline)
	defer cancel()
	switch a := a.(type) {
	case claim.ReadRecord:
		ctx, span := h.tracer.Start(ctx, "plain.claim.read")
		defer span.End()
		e, err := h.opts.Store.Get(ctx, a.Key)
		ev := claim.Read{Op: a.Op, Index: e.Index}
		switch {
		case err == nil:
			if ev.Record, err = claim.Decode(e.Value); err != nil {
				h.opts.Logger.Error("claim record cannot be decoded", "key", a.Key, "error", err)
				ev.Result = claim.ResultUnreadable
			}
		case errors.Is(err, store.ErrNotFound):
			ev.Result = claim.ResultNotFound
		default:
			ev.Result = claim.ResultUnavailable
		}
		h.countStoreCall("read", ev.Result)
		return ev
	case claim.WriteRecord:
		ctx, span := h.tracer.Start(ctx, "plain.claim.write")
		defer span.End()
		span.SetAttributes(attribute.String("state", string(a.Record.State)))
		index, err := h.opts.Store.CompareAndSwap(ctx, a.Key, a.Record.Encode(), a.Index)
		ev := claim.Written{Op: a.Op, Index: index, Result: writeResult(err)}
		h.countStoreCall("write", ev.Result)
		return ev
	}
	return nil
}

// writeResult returns the result of a write. It is unknown unless the error says
// that the write had no effect.
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

// countStoreCall counts a store call with its operation and result.
func (h *Handler) countStoreCall(op string, r claim.Result) {
	h.opts.Metrics.GetOrCreateCounter("gooseberryroad_claim_store_calls_total{op=" + strconv.Quote(op) +
		",result=" + strconv.Quote(r.String()) + "}").Inc()
}
