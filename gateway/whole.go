package gateway

import (
	"context"
	"errors"
	"io"
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
	// firstTryShare is the part of the time left that the first upstream of an
	// idempotent request gets while another one could still answer.
	firstTryShare = 0.4
	// minFirstTry keeps ordinary answers from being given up.
	minFirstTry = 450 * time.Millisecond
	// searchShare is the part of the latency objective for which a place is looked
	// for while all upstreams refuse; later refusals cost the client more than
	// they can gain.
	searchShare = 0.5
)

// verdict is what an exchange with one upstream came to.
type verdict int

const (
	answered  verdict = iota // a whole answer of the upstream that is not a failure
	erred                    // a whole answer that reports a failure of the upstream
	notRun                   // the upstream said that it did not run the request
	gone                     // another upstream answers at the address; the request did not run
	unreached                // no connection could be opened in time; the request was not sent
	notSent                  // the upstream was not reached
	broken                   // the request was sent, and its outcome is unknown
	canceled                 // the client left or its time is over
)

func (v verdict) String() string {
	return [...]string{"answered", "erred", "not_run", "gone", "unreached", "not_sent", "broken", "canceled"}[v]
}

// arrived reports whether the upstream got the request or a part of it.
func (v verdict) arrived() bool { return v != notSent && v != unreached }

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// serveWhole serves a request whose answer is one body. The answer is held
// until it is complete, so that one that breaks off never reaches the client.
func (g *Gateway) serveWhole(ctx context.Context, w http.ResponseWriter, r *request) {
	t := &tries{g: g, r: r, excluded: map[string]bool{}, pause: repeatPause}
	for {
		in, ok := t.next(ctx)
		if !ok {
			break
		}
		began := time.Now()
		ans, v, err := g.exchange(ctx, r, in, t.timeout())
		t.note(in, v, err, time.Since(began))
		switch v {
		case broken:
			g.countCrash(ctx, r, in, began)
		case answered:
			g.completed(r)
			g.deliver(w, r, in, ans)
			return
		case erred:
			t.failure, t.failureOf = ans, in
		}
	}
	switch {
	case ctx.Err() != nil && t.failure == nil && errors.Is(context.Cause(ctx), context.Canceled):
		countEnd(r, outcomeClientLeft)
		g.o.Logger.Info("client left", "id", r.ID, "route", r.route.Name, "took", time.Since(r.arrived), "runs", t.runs)
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		g.deliver(w, r, t.failureOf, t.failure)
	default:
		f := t.refusal()
		g.refuse(w, r.Call, f)
		g.logRefusal(r.Call, r, f)
	}
}

// tries is the search of one request for an upstream.
type tries struct {
	g        *Gateway
	r        *request
	excluded map[string]bool
	account  retrybudget.AttemptTracker
	// runs counts the upstreams on which the request ran or may have run.
	runs    int
	unknown bool
	stopped string
	pause   time.Duration
	// failure is an upstream's own failure, delivered when nothing better comes.
	failure   *whole
	failureOf registry.Instance
}

// next returns the upstream to ask, or false when the request has to be
// answered without another one.
func (t *tries) next(ctx context.Context) (registry.Instance, bool) {
	if t.runs > 0 && (!t.r.route.Repeatable() || t.runs >= max(t.r.route.MaxAttempts, 1)) {
		t.stopped = "attempts_used"
		return registry.Instance{}, false
	}
	if t.runs > 0 && t.g.quarantined(t.r) > 0 {
		t.stopped = codeQuarantined
		return registry.Instance{}, false
	}
	for {
		now := time.Now()
		if ctx.Err() != nil || t.r.left(now) < minOffer {
			t.stopped = "deadline"
			return registry.Instance{}, false
		}
		ranked := t.g.rank(t.r, t.excluded)
		if len(ranked) > 0 {
			if t.account.TakePause() {
				pause.For(ctx, repeatPause)
				continue
			}
			if t.account.NeedsBudget() {
				if !t.g.allowRepeat(t.r.service, retrybudget.Search) {
					t.stopped = "retry_budget"
					return registry.Instance{}, false
				}
				t.account.BudgetGranted()
			}
			return ranked[0].Instance, true
		}
		if t.runs > 0 || !t.mayWait(now) {
			t.stopped = "no_upstream"
			return registry.Instance{}, false
		}
		pause.For(ctx, t.pause)
		t.pause = min(2*t.pause, maxRepeatPause)
		clear(t.excluded)
	}
}

// mayWait reports whether it is worth asking the upstreams again.
func (t *tries) mayWait(now time.Time) bool {
	search := time.Duration(searchShare * float64(t.r.route.TargetLatency))
	return now.Add(t.pause).Sub(t.r.arrived) < search
}

// timeout bounds one exchange. Only a request that may be repeated leaves an
// upstream before its own deadline.
func (t *tries) timeout() time.Duration {
	left := t.r.left(time.Now())
	if t.r.route.Kind != routes.Idempotent || t.runs+1 >= t.r.route.MaxAttempts {
		return left
	}
	return min(left, max(minFirstTry, time.Duration(firstTryShare*float64(left))))
}

// note takes the verdict of an exchange into account.
func (t *tries) note(in registry.Instance, v verdict, err error, took time.Duration) {
	now := time.Now()
	countAttempt(v)
	t.account.Attempted(v.arrived())
	if v == answered || v == erred || v == broken {
		t.g.outcome(t.r, in, v != answered, took)
	}
	t.excluded[in.ID] = true
	t.g.onBoard(func(b *placement.Tracker) {
		switch v {
		case erred:
			b.AnsweredError(in.ID)
		case notRun:
			b.Refused(in.ID, now)
		case gone:
			b.Replaced(in.ID, now)
		case unreached:
			b.ConnectTimedOut(in, now)
		case notSent:
			b.ConnectRefused(in, now)
		case broken:
			b.Failed(in, now)
		}
	})
	switch v {
	case erred:
		t.runs++
	case broken, canceled:
		t.runs++
		t.unknown = true
	}
	if v != answered {
		t.g.o.Logger.Info("attempt ended", "id", t.r.ID, "upstream", in.ID, "data_centre", in.DataCentre,
			"verdict", v.String(), "runs", t.runs, "took", now.Sub(t.r.arrived), "cause", err)
	}
}

// refusal is our own answer when no upstream gave one.
func (t *tries) refusal() refusal {
	switch {
	case t.unknown && t.r.left(time.Now()) < minOffer:
		return refusal{status: http.StatusGatewayTimeout, code: "deadline"}
	case t.unknown:
		return refusal{status: http.StatusBadGateway, code: "answer_lost"}
	default:
		return refusal{status: http.StatusServiceUnavailable, code: t.stopped, retryAfter: t.g.retryAfter(t.r)}
	}
}

// retryAfter is when a refused request is worth another try: when the requests
// that fill the upstreams now have mostly ended, spread so that the clients
// refused together do not come back together.
func (g *Gateway) retryAfter(r *request) time.Duration {
	base := r.route.TargetLatency / 2
	if base <= 0 {
		base = time.Second
	}
	return base/2 + time.Duration(g.pick()*float64(base))
}

// exchange sends the request to one upstream and reads the whole answer.
func (g *Gateway) exchange(ctx context.Context, r *request, in registry.Instance, timeout time.Duration) (*whole, verdict, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, span := startAttempt(ctx, in)
	defer span.End()
	g.onBoard(func(b *placement.Tracker) { b.Begin(in) })
	defer g.onBoard(func(b *placement.Tracker) { b.End(in.ID) })
	req := g.upstreamRequest(r, Attempt{Call: r.Call, Instance: in, Account: r.account, TimeLeft: r.left(began), LastEventID: r.LastEventID})
	ans, err := g.o.Pool.Do(ctx, req)
	if err != nil {
		return nil, sendVerdict(ctx, err), err
	}
	defer ans.Body.Close()
	head := g.o.Protocol.DecodeResponseHead(ans.Status, ans.Header)
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, broken, eris.Wrap(err, "read the answer's body")
	case len(body) > maxAnswerBytes:
		return nil, broken, eris.Errorf("answer is longer than %d bytes", maxAnswerBytes)
	}
	now := time.Now()
	if head.Load != nil {
		g.onBoard(func(b *placement.Tracker) { b.SetLoad(in.ID, *head.Load, now) })
	}
	if head.Misdirected {
		return nil, gone, eris.New("another upstream answers at the address")
	}
	if head.NotRun {
		return nil, notRun, eris.Errorf("upstream answered %d", ans.Status)
	}
	if !head.Sealed {
		return nil, broken, eris.Errorf("answer %d has no proof of its upstream", ans.Status)
	}
	out := &whole{status: ans.Status, header: ans.Header, body: body}
	if ans.Status >= http.StatusInternalServerError {
		return out, erred, eris.Errorf("upstream answered %d", ans.Status)
	}
	g.onBoard(func(b *placement.Tracker) { b.Succeeded(in.ID, now.Sub(began)) })
	return out, answered, nil
}

// sendVerdict tells a request that was not sent from one whose outcome is
// unknown.
func sendVerdict(ctx context.Context, err error) verdict {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return canceled
	case errors.Is(err, upstream.ErrConnectTimeout):
		return unreached
	case errors.Is(err, upstream.ErrNotSent):
		return notSent
	default:
		return broken
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
	if !r.route.Repeatable() {
		req.MaxIdle = nonIdempotentMaxIdle
	}
	return req
}

// deliver passes an upstream's whole answer on.
func (g *Gateway) deliver(w http.ResponseWriter, r *request, in registry.Instance, a *whole) {
	h := w.Header()
	RemoveConnectionHeaders(a.header)
	copyHeader(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	g.closeWhenStopping(h)
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	countEnd(r, outcomeAnswered)
	g.o.Logger.Info("request answered", "id", r.ID, "route", r.route.Name, "config", r.version, "upstream", in.ID,
		"data_centre", in.DataCentre, "status", a.status, "took", time.Since(r.arrived), "delivered", err == nil)
}
