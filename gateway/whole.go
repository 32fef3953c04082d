package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

const (
	// nonFinalAttemptShare is the part of the remaining time that an upstream of an
	// idempotent request gets while the request may still run on another one.
	nonFinalAttemptShare = 0.4
	// minNonFinalAttemptTime is the least time that such an upstream gets, so that
	// responses of ordinary duration are not abandoned.
	minNonFinalAttemptTime = 450 * time.Millisecond
	// searchShare is the part of the latency objective for which a request searches
	// for an upstream while all of them refuse. A later refusal costs the client
	// more time than the search can gain.
	searchShare = 0.5
)

// verdict is the result of an attempt at one upstream.
type verdict int

const (
	verdictAnswered  verdict = iota // a complete response that does not report a failure of the upstream
	verdictErred                    // a complete response that reports a failure of the upstream; for streams, any status but 200
	verdictNotRun                   // the upstream said that it did not run the request
	verdictGone                     // another upstream responded at the address; the request did not run
	verdictUnreached                // no connection could be opened in time; the request was not sent
	verdictNotSent                  // nothing was sent, for example because the port is closed
	verdictBroken                   // the request was sent, and its outcome is unknown
	verdictCanceled                 // the client left before the upstream responded
)

func (v verdict) String() string {
	return [...]string{"answered", "erred", "not_run", "gone", "unreached", "not_sent", "broken", "canceled"}[v]
}

// maybeReceived reports whether the upstream may have received the request or a
// part of it.
func (v verdict) maybeReceived() bool { return v != verdictNotSent && v != verdictUnreached }

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// serveBuffered serves a request whose response has one body. The response is
// buffered until it is complete, so that one that breaks off never reaches the
// client.
func (g *Gateway) serveBuffered(ctx context.Context, w http.ResponseWriter, r *request) {
	t := &upstreamSearch{g: g, r: r, excluded: map[string]bool{}, pause: initialRetryPause}
	for {
		in, ok := t.next(ctx)
		if !ok {
			break
		}
		began := time.Now()
		g.recordSent(r, in, began)
		resp, v, err := g.exchange(ctx, r, in, t.timeout())
		t.recordAttempt(in, v, err, began)
		switch v {
		case verdictBroken:
			if !errors.Is(err, errPauseAsked) {
				g.recordCrash(ctx, r, in, began)
			}
		case verdictAnswered:
			g.recordCompletion(r)
			g.reportBegan(r, began)
			g.deliver(w, r, in, resp)
			return
		case verdictErred:
			t.failedResponse, t.failedUpstream, t.failedSentAt = resp, in, began
		}
	}
	switch {
	case t.forwardedResponse != nil:
		g.deliverForwarded(w, r, t.forwardedResponse)
	case ctx.Err() != nil && t.failedResponse == nil && errors.Is(context.Cause(ctx), context.Canceled):
		countRequestEnd(r, outcomeClientLeft)
		g.o.Logger.Info("client left", "id", r.ID, "route", r.route.Name, "took", time.Since(r.arrivedAt), "runs", t.runs)
		panic(http.ErrAbortHandler)
	case t.failedResponse != nil:
		g.reportBegan(r, t.failedSentAt)
		g.deliver(w, r, t.failedUpstream, t.failedResponse)
	default:
		f := t.refusal()
		g.refuse(w, r.Call, f)
		g.logRefusal(r.Call, r, f)
	}
}

// upstreamSearch is the state of one request's search for an upstream.
type upstreamSearch struct {
	g              *Gateway
	r              *request
	excluded       map[string]bool
	attemptTracker retrybudget.AttemptTracker
	// runs counts the upstreams on which the request ran or may have run.
	runs           int
	outcomeUnknown bool
	// turnedAway is set once a full upstream turned the request away.
	turnedAway bool
	stopReason string
	// retryAfter is when the client may come back; 0 is not known.
	retryAfter time.Duration
	pause      time.Duration
	// failedResponse is a response by which failedUpstream reported its own
	// failure. It is delivered if no other upstream gives a better one.
	failedResponse *bufferedResponse
	failedUpstream registry.Instance
	// failedSentAt is when the request was sent to failedUpstream.
	failedSentAt time.Time
	// forwardedResponse is the response of another daemon that took the request.
	forwardedResponse *forwardedResponse
}

// next returns the upstream for the next attempt, or false if the request must
// be answered without another attempt; stopReason then says why.
func (t *upstreamSearch) next(ctx context.Context) (registry.Instance, bool) {
	if t.runs > 0 && (!t.r.route.Repeatable() || t.runs >= max(t.r.route.MaxAttempts, 1)) {
		t.stopReason = "attempts_used"
		return registry.Instance{}, false
	}
	if t.runs > 0 && t.g.mustStop(t.r) {
		t.stopReason = codeQuarantined
		return registry.Instance{}, false
	}
	for {
		now := time.Now()
		if ctx.Err() != nil || t.r.timeLeft(now) < minAttemptTime {
			t.stopReason = "deadline"
			return registry.Instance{}, false
		}
		if t.runs == 0 && !t.turnedAway && t.forwardOrRefuse(ctx, false) {
			return registry.Instance{}, false
		}
		t.g.begin(t.r)
		ranked := t.g.rank(t.r, t.excluded)
		if t.runs == 0 {
			var giveUp bool
			if ranked, giveUp = t.g.withoutFull(t.r, ranked, t.turnedAway); giveUp {
				t.stopReason, t.retryAfter = codeOverloaded, t.g.shedFull(t.r)
				return registry.Instance{}, false
			}
		}
		mayAwaitPermit := len(ranked) == 0 && t.runs == 0 && t.g.permitExpected(t.r, t.giveUpAt())
		if len(ranked) > 0 || mayAwaitPermit {
			if t.attemptTracker.TakePause() {
				pause.For(ctx, initialRetryPause)
				continue
			}
			if t.attemptTracker.NeedsBudget() {
				if !t.g.allowRetry(t.r.service, retrybudget.PurposeSearch) {
					t.stopReason = "retry_budget"
					return registry.Instance{}, false
				}
				t.attemptTracker.BudgetGranted()
			}
			if in, ok := t.g.takeFirstPermit(ranked); ok {
				return in, true
			}
			if !mayAwaitPermit {
				continue
			}
			if in, ok := t.g.awaitPermit(ctx, t.r, t.giveUpAt()); ok {
				return in, true
			}
		}
		if t.runs == 0 {
			if t.stopReason, t.retryAfter = t.g.refuseIfAllWithdrawn(t.r, now.Add(t.pause), t.giveUpAt()); t.stopReason != "" {
				return registry.Instance{}, false
			}
			if !t.turnedAway && t.forwardOrRefuse(ctx, true) {
				return registry.Instance{}, false
			}
		}
		if t.runs > 0 || !now.Add(t.pause).Before(t.giveUpAt()) {
			t.stopReason = "no_upstream"
			if t.turnedAway && t.g.sheds(t.r) {
				t.stopReason, t.retryAfter = codeOverloaded, t.g.shedFull(t.r)
			}
			return registry.Instance{}, false
		}
		pause.For(ctx, t.pause)
		t.pause = min(2*t.pause, maxRetryPause)
		clear(t.excluded)
	}
}

// giveUpAt is until when the request searches for an upstream while none takes it.
func (t *upstreamSearch) giveUpAt() time.Time {
	return earlier(t.r.arrivedAt.Add(time.Duration(searchShare*float64(t.r.route.TargetLatency))), t.r.lastSend())
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// timeout bounds one attempt. Only a request that may be repeated abandons an
// upstream before the request's own deadline.
func (t *upstreamSearch) timeout() time.Duration {
	left := t.r.timeLeft(time.Now())
	if t.r.route.Kind != routes.Idempotent || t.runs+1 >= t.r.route.MaxAttempts {
		return left
	}
	return min(left, max(minNonFinalAttemptTime, time.Duration(nonFinalAttemptShare*float64(left))))
}

// recordAttempt records the verdict of an attempt in the search, the placement
// tracker, the attempt tracker, the cutover and the metrics.
func (t *upstreamSearch) recordAttempt(in registry.Instance, v verdict, err error, began time.Time) {
	now := time.Now()
	countAttempt(v)
	t.attemptTracker.Attempted(v.maybeReceived())
	paused := errors.Is(err, errPauseAsked)
	if !paused && (v == verdictAnswered || v == verdictErred || v == verdictBroken) {
		t.g.recordOutcome(t.r, in, v != verdictAnswered, began)
	}
	t.g.recordSettled(t.r, in, began)
	if v != verdictAnswered {
		t.g.leaveTrial(t.r, in)
	}
	t.excluded[in.ID] = true
	t.g.withTracker(func(b *placement.Tracker) {
		if paused {
			return
		}
		switch v {
		case verdictErred:
			b.AnsweredError(in.ID)
		case verdictNotRun:
			b.Refused(in.ID, now)
		case verdictGone:
			b.Replaced(in.ID, now)
		case verdictUnreached:
			b.ConnectTimedOut(in, now)
		case verdictNotSent:
			b.ConnectRefused(in, now)
		case verdictBroken:
			b.Failed(in, now)
		}
	})
	switch v {
	case verdictNotRun:
		t.turnedAway = true
	case verdictErred:
		t.runs++
	case verdictBroken, verdictCanceled:
		if errors.Is(err, upstream.ErrNotSent) {
			// The request was cancelled while the connection was being opened.
			break
		}
		t.runs++
		t.outcomeUnknown = true
	}
	if v != verdictAnswered {
		t.g.o.Logger.Info("attempt ended", "id", t.r.ID, "upstream", in.ID, "data_centre", in.DataCentre,
			"verdict", v.String(), "runs", t.runs, "took", now.Sub(t.r.arrivedAt), "cause", err)
	}
}

// refusal returns the response that the gateway generates if no upstream gave
// one.
func (t *upstreamSearch) refusal() refusal {
	switch {
	case t.outcomeUnknown && t.r.timeLeft(time.Now()) < minAttemptTime:
		return refusal{status: http.StatusGatewayTimeout, code: "deadline"}
	case t.outcomeUnknown:
		return refusal{status: http.StatusBadGateway, code: "answer_lost"}
	default:
		after := t.retryAfter
		if after == 0 {
			after = t.g.retryAfter(t.r)
		}
		return refusal{status: http.StatusServiceUnavailable, code: t.stopReason, retryAfter: after}
	}
}

// retryAfter is the time after which a refused request is worth another
// attempt: most of the requests that fill the upstreams now have ended by then.
// It is random, so that clients that were refused together do not return
// together.
func (g *Gateway) retryAfter(r *request) time.Duration {
	base := r.route.TargetLatency / 2
	if base <= 0 {
		base = time.Second
	}
	return base/2 + time.Duration(g.randomFloat()*float64(base))
}

// exchange sends the request to one upstream and reads the complete response.
func (g *Gateway) exchange(ctx context.Context, r *request, in registry.Instance, timeout time.Duration) (*bufferedResponse, verdict, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, span := startAttempt(ctx, in)
	defer span.End()
	g.withTracker(func(b *placement.Tracker) { b.Begin(in) })
	defer g.withTracker(func(b *placement.Tracker) { b.End(in.ID) })
	req := g.upstreamRequest(r, Attempt{Call: r.Call, Instance: in, Account: r.account, TimeLeft: r.timeLeft(began), LastEventID: r.LastEventID})
	resp, err := g.o.Pool.Do(ctx, req)
	g.recordReach(ctx, in, err, true)
	if err != nil {
		return nil, verdictOfError(ctx, err), err
	}
	defer resp.Body.Close()
	head := g.o.Protocol.DecodeResponseHead(resp.Status, resp.Header)
	g.recordNotices(in, head, r.ID, began)
	if head.NotRun {
		// The head says it all. Whether the rest arrives, and in time, does not change that the
		// request has not run.
		return nil, g.recordNotRun(r, in, head), notRunCause(resp.Status, head)
	}
	body, reserved, err := g.heldBodies.readResponse(resp.Body)
	r.heldResponseBytes += reserved
	if err != nil {
		return nil, verdictBroken, eris.Wrap(err, "read the response body")
	}
	now := time.Now()
	g.recordLoad(r, in, head, now)
	if !head.Sealed {
		return nil, verdictBroken, pauseCause(head, eris.Errorf("response with status %d has no proof that the upstream made it", resp.Status))
	}
	out := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		return out, verdictErred, pauseCause(head, eris.Errorf("upstream responded with status %d", resp.Status))
	}
	g.withTracker(func(b *placement.Tracker) { b.Succeeded(in.ID, now.Sub(began)) })
	g.recordAnswerTime(r, in, head, now.Sub(began))
	return out, verdictAnswered, nil
}

// recordNotRun records an answer by which an upstream said that it did not run a request,
// and returns the verdict.
func (g *Gateway) recordNotRun(r *request, in registry.Instance, head ResponseHead) verdict {
	now := time.Now()
	g.recordLoad(r, in, head, now)
	if head.Misdirected {
		return verdictGone
	}
	if head.Pause <= 0 {
		g.recordFull(r, in, head, now)
	}
	return verdictNotRun
}

// notRunCause returns the cause of an attempt that an upstream did not run.
func notRunCause(status int, head ResponseHead) error {
	if head.Misdirected {
		return eris.New("another upstream responded at the address")
	}
	return pauseCause(head, eris.Errorf("upstream responded with status %d", status))
}

// verdictOfError distinguishes a request that was not sent from one whose
// outcome is unknown.
func verdictOfError(ctx context.Context, err error) verdict {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return verdictCanceled
	case errors.Is(err, upstream.ErrConnectTimeout):
		return verdictUnreached
	case errors.Is(err, upstream.ErrNotSent):
		return verdictNotSent
	default:
		return verdictBroken
	}
}

func (g *Gateway) upstreamRequest(r *request, a Attempt) upstream.Request {
	req := upstream.Request{
		Address: a.Instance.Address,
		Method:  r.Method,
		Target:  r.Target,
		Host:    r.Host,
		Header:  g.o.Protocol.RequestHeader(a),
		Body:    r.Body,
		Matches: func(h http.Header) bool {
			id := g.o.Protocol.DecodeResponseHead(0, h).ID
			return id == "" || id == r.ID
		},
	}
	req.Identified = func(h http.Header) bool { return g.o.Protocol.DecodeResponseHead(0, h).ID != "" }
	// An upstream that writes a refusal twice answers the next try of the same request
	// with it, although it runs that one.
	req.CloseAfter = func(status int, h http.Header) bool { return g.o.Protocol.DecodeResponseHead(status, h).NotRun }
	if !r.route.Repeatable() {
		req.MaxIdle = nonIdempotentMaxIdle
	}
	return req
}

// deliver sends an upstream's complete response to the client.
func (g *Gateway) deliver(w http.ResponseWriter, r *request, in registry.Instance, resp *bufferedResponse) {
	h := w.Header()
	copyResponseHeader(h, resp.header)
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	g.closeConnectionIfDraining(r.Call, h)
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.body)
	countRequestEnd(r, outcomeAnswered)
	g.o.Logger.Info("request answered", "id", r.ID, "route", r.route.Name, "config", r.version, "upstream", in.ID,
		"data_centre", in.DataCentre, "status", resp.status, "took", time.Since(r.arrivedAt), "delivered", err == nil)
}
