package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/forwarding"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/sse"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

const (
	// askTimeout bounds the questions to other daemons; one that does not answer within a few
	// round trips would be a bad choice.
	askTimeout = 200 * time.Millisecond
	// forwardAgain is the pause until a request that no daemon took is offered again.
	forwardAgain = 250 * time.Millisecond
	// reachProbeInterval and reachProbeTimeout say how often, and for how long, a daemon that
	// is cut off tries one of its own upstreams, so that it uses them again soon.
	reachProbeInterval = 250 * time.Millisecond
	reachProbeTimeout  = 200 * time.Millisecond
	// reachProbeEnd ends this once no request was forwarded for so long.
	reachProbeEnd = 10 * time.Second
	// forwardedGapTimeout is the silence between two events after which a stream at another
	// daemon is given up. That daemon moves it by itself within failover.Options.GapTimeout,
	// and then waits up to maxContinueWait.
	forwardedGapTimeout = 7 * time.Second
)

// ForwardOptions configure how requests go through other daemons.
type ForwardOptions struct {
	// Self is this daemon.
	Self sources.Peer
	// Seeds are addresses of other daemons that are used besides the registered ones.
	Seeds []string
	// Pool holds the connections to other daemons.
	Pool *upstream.Pool
	// Ask asks the daemon at an address whether it reaches upstreams.
	Ask func(ctx context.Context, address string) (forwarding.Report, error)
}

// forwarder is the state of a daemon that may forward requests. The methods that are called
// for each request do nothing on a nil forwarder.
type forwarder struct {
	g *Gateway
	o ForwardOptions

	mu    sync.Mutex
	reach *forwarding.Reach
	peers *forwarding.Peers
	// asking is the number of questions that are not answered yet; answered is closed and
	// replaced with each answer.
	asking   int
	answered chan struct{}
	// cuts holds the services from whose upstreams this daemon is cut off.
	cuts map[string]*cut
}

// cut is the time for which a daemon is cut off from the upstreams of a service.
type cut struct {
	since, forwardedAt time.Time
	forwarded          int
}

func newForwarder(g *Gateway, o ForwardOptions) *forwarder {
	return &forwarder{
		g: g, o: o, reach: forwarding.NewReach(), cuts: map[string]*cut{}, answered: make(chan struct{}),
		peers: forwarding.NewPeers(o.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

func (f *forwarder) onView(v *directory.View) {
	if f == nil || v.Table == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers.Retain(f.daemons(v))
	f.reach.Retain(func(service string) bool { _, ok := v.Table.Service(service); return ok })
}

// daemons returns the registered daemons, and the seeds that are not among them.
func (f *forwarder) daemons(v *directory.View) []sources.Peer {
	out := slices.Clone(v.PeerList)
	for _, a := range f.o.Seeds {
		if !slices.ContainsFunc(out, func(p sources.Peer) bool { return p.Address == a }) {
			out = append(out, sources.Peer{Name: a, Address: a})
		}
	}
	return out
}

// recordReach records whether an upstream responded to a request or a control call; err is the
// error of Pool.Do. Silence after it was sent counts as a failure only if patient is set, which
// says that the upstream had as much time as a request: connections that are open when a cut
// begins may hang, and requests that reuse them would not show it otherwise.
func (g *Gateway) recordReach(ctx context.Context, in registry.Instance, err error, patient bool) {
	f := g.forwarder
	if f == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.reach.Reached(in.Service, in.ID, time.Now())
	case patient || errors.Is(err, upstream.ErrNotSent) || ctx.Err() == nil:
		f.reach.Failed(in.Service, in.ID, time.Now())
	}
}

// cutOff reports whether this daemon's own connections reach no upstream of the request's
// service.
func (g *Gateway) cutOff(r *request) bool { return g.forwarder.cutOff(r.service) }

func (f *forwarder) cutOff(service string) bool { return f.unreached(service, false) }

// unreached reports whether a request should not wait for this daemon's own connections.
// noneUsable says that the search found no upstream that it may try now.
func (f *forwarder) unreached(service string, noneUsable bool) bool {
	if f == nil {
		return false
	}
	registered := f.g.o.Directory.View().Upstreams[service]
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return f.reach.CutOff(service, len(registered), now) || noneUsable && f.reach.NoneConnects(service, ids(registered), now)
}

func ids(all []registry.Instance) []string {
	out := make([]string, 0, len(all))
	for _, in := range all {
		out = append(out, in.ID)
	}
	return out
}

// mayForward reports whether a request may be offered to other daemons now. The caller makes
// sure that no upstream can have read it.
func (r *request) mayForward(now time.Time) bool {
	return r.forwarded == nil && !now.Before(r.forwardAgainAt) && strings.HasPrefix(r.Target, "/") && r.timeLeft(now) >= minAttemptTime
}

// targets returns the daemons to which a request for a service may be forwarded, best first,
// without those that were tried. Unless one is known that reaches the upstreams, it waits for
// the answers of those that are asked.
func (f *forwarder) targets(ctx context.Context, service string, tried []string) []sources.Peer {
	daemons := slices.DeleteFunc(f.daemons(f.g.o.Directory.View()), func(p sources.Peer) bool { return slices.Contains(tried, p.Address) })
	for {
		now := time.Now()
		f.mu.Lock()
		f.ask(f.peers.Ask(daemons, now))
		out, sure := f.peers.Candidates(service, daemons, now)
		asking, answered := f.asking, f.answered
		f.mu.Unlock()
		if sure || asking == 0 {
			return out
		}
		select {
		case <-answered:
		case <-ctx.Done():
			return nil
		}
	}
}

// offer offers a request to other daemons, one after the other, until send does not return
// forwardNotRun. It returns forwardNotRun if no daemon took it.
func (f *forwarder) offer(ctx context.Context, r *request, send func(to sources.Peer) forwardVerdict) forwardVerdict {
	var tried []string
	for len(tried) < forwarding.MaxTries && r.timeLeft(time.Now()) >= minAttemptTime {
		targets := f.targets(ctx, r.service, tried)
		if len(targets) == 0 {
			break
		}
		tried = append(tried, targets[0].Address)
		if v := send(targets[0]); v != forwardNotRun || ctx.Err() != nil {
			return v
		}
	}
	r.forwardAgainAt = time.Now().Add(forwardAgain)
	return forwardNotRun
}

// ask asks daemons for their reports. The caller holds f.mu.
func (f *forwarder) ask(daemons []sources.Peer) {
	f.asking += len(daemons)
	for _, d := range daemons {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			report, err := f.o.Ask(ctx, d.Address)
			f.mu.Lock()
			defer f.mu.Unlock()
			if err != nil {
				f.g.o.Logger.Info("daemon did not say whether it reaches upstreams", "daemon", d.Name, "cause", err)
				f.peers.Silent(d.Address, time.Now())
			} else {
				f.peers.Answered(d.Address, report, time.Now())
			}
			f.asking--
			close(f.answered)
			f.answered = make(chan struct{})
		}()
	}
}

// forwardVerdict is the result of forwarding a request to one daemon.
type forwardVerdict int

const (
	forwardTaken  forwardVerdict = iota // the daemon responds
	forwardNotRun                       // the request has not run there
	forwardLost                         // the request was sent, and its outcome is unknown
)

func (v forwardVerdict) String() string { return [...]string{"taken", "not_run", "lost"}[v] }

// elsewhereCodes are the codes of refusals after which another daemon may serve the request.
var elsewhereCodes = []string{codeCutOff, codeBusy, codeOlderConfig, codeStopping, "memory", "no_configuration", "no_upstream"}

// send sends a request to another daemon, and returns the response if the daemon takes it.
func (f *forwarder) send(ctx context.Context, r *request, to sources.Peer) (*upstream.Response, forwardVerdict) {
	h := r.original.Clone()
	mark := forwardMark{timeLeft: r.timeLeft(time.Now()), config: r.version, counted: r.begun, from: f.o.Self.Name}
	h.Set(forwardHeader, mark.encode())
	req := upstream.Request{Address: to.Address, Method: r.Method, Target: ForwardPath + r.Target, Host: r.Host, Header: h, Body: r.Body}
	if !r.route.Repeatable() {
		req.MaxIdle = nonIdempotentMaxIdle
	}
	resp, err := f.o.Pool.Do(ctx, req)
	verdict, cause := forwardTaken, err
	var reply forwardReply
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		verdict = forwardNotRun
	case err != nil:
		verdict = forwardLost
	default:
		var ok bool
		reply, ok = decodeForwardReply(resp.Header)
		resp.Header.Del(forwardHeader)
		switch {
		case !ok && resp.Status == http.StatusNotFound:
			verdict, cause = forwardNotRun, eris.New("the daemon takes no forwarded requests")
		case !ok:
			verdict, cause = forwardLost, eris.Errorf("response with status %d is none of a daemon that takes forwarded requests", resp.Status)
		case resp.Status == http.StatusServiceUnavailable && slices.Contains(elsewhereCodes, reply.refused):
			verdict, cause = forwardNotRun, eris.Errorf("refused with the code %s", reply.refused)
		}
		if verdict != forwardTaken {
			resp.Body.Close()
		}
	}
	if ctx.Err() == nil {
		f.settle(r, to, verdict, err, reply)
	}
	countForwarded(verdict)
	if verdict != forwardTaken {
		f.g.o.Logger.Info("request not forwarded", "id", r.ID, "daemon", to.Name, "verdict", verdict.String(),
			"took", time.Since(r.arrivedAt), "cause", cause)
		return nil, verdict
	}
	return resp, verdict
}

// settle records what came of forwarding a request to a daemon.
func (f *forwarder) settle(r *request, to sources.Peer, v forwardVerdict, err error, reply forwardReply) {
	registered := len(f.g.o.Directory.View().Upstreams[r.service])
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case v == forwardNotRun && err == nil:
		f.peers.TurnedAway(to.Address, r.service, now)
	case v != forwardTaken:
		f.peers.Silent(to.Address, now)
	case reply.refused == "":
		f.peers.Served(to.Address, r.service, now)
	}
	if v != forwardTaken {
		return
	}
	c := f.cuts[r.service]
	if c == nil {
		if !f.reach.CutOff(r.service, registered, now) {
			return
		}
		c = &cut{since: now}
		f.cuts[r.service] = c
		cutOffServices.Set(float64(len(f.cuts)))
		f.g.o.Logger.Warn("cut off from the upstreams of a service; its requests go through other daemons", "service", r.service, "daemon", to.Name)
		go f.probe(r.service, c)
	}
	c.forwarded++
	c.forwardedAt = now
}

// probe tries the upstreams of a service one after the other until one responds, so that they
// are used again soon, or until no request is forwarded any more.
func (f *forwarder) probe(service string, c *cut) {
	t := time.NewTicker(reachProbeInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-f.g.stopEnds.Done():
			return
		}
		all := f.g.o.Directory.View().Upstreams[service]
		if len(all) > 0 {
			f.g.probeReach(all[i%len(all)], reachProbeTimeout)
		}
		if f.endCut(service, c, all) {
			return
		}
	}
}

// endCut ends the time for which the daemon is cut off if an upstream has responded since, or
// if it is not known any more whether it is cut off.
func (f *forwarder) endCut(service string, c *cut, all []registry.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	reached := !f.reach.CutOff(service, len(all), now)
	if !reached && len(all) > 0 && now.Sub(c.forwardedAt) < reachProbeEnd {
		return false
	}
	delete(f.cuts, service)
	cutOffServices.Set(float64(len(f.cuts)))
	if reached {
		f.g.withTracker(func(b *placement.Tracker) { b.ConnectAgain(all) })
	}
	f.g.o.Logger.Info("no longer cut off from the upstreams of a service", "service", service, "reached", reached,
		"lasted", now.Sub(c.since), "forwarded", c.forwarded)
	return true
}

// probeReach opens a connection to an upstream, asks it for its state and reports whether it
// responds in time.
func (g *Gateway) probeReach(in registry.Instance, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	target := g.o.Protocol.ReportTarget()
	if service, ok := g.o.Directory.View().Table.Service(in.Service); ok && service.Engine == nil {
		target = service.HealthPath
	}
	resp, err := g.o.Pool.Do(ctx, upstream.Request{
		Address: in.Address, Method: http.MethodGet, Target: target, Host: in.Address, Header: http.Header{}, MaxIdle: forceNewConnection,
	})
	g.recordReach(ctx, in, err, false)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if g.answeredBy(in, resp.Header) {
		g.recordNotices(in, g.o.Protocol.DecodeResponseHead(resp.Status, resp.Header), "", time.Time{})
	}
	return true
}

// maxOthersAsked bounds the upstreams that are asked whether it is this daemon that is cut off.
const maxOthersAsked = 3

// reachesOthers reports whether another upstream has responded since the given time, or
// responds now. If none does, this daemon may be cut off, and cannot tell whether an upstream
// crashed. It is true if there is no other, and in deployments that do not forward requests.
func (g *Gateway) reachesOthers(than registry.Instance, since time.Time) bool {
	f := g.forwarder
	if f == nil {
		return true
	}
	f.mu.Lock()
	reached := f.reach.ReachedSince(since)
	f.mu.Unlock()
	if reached {
		return true
	}
	var others []registry.Instance
	for _, in := range g.o.Directory.View().All {
		if in.ID != than.ID && !in.Draining {
			others = append(others, in)
		}
	}
	if len(others) == 0 {
		return true
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	results := make(chan bool, maxOthersAsked)
	asked := others[:min(len(others), maxOthersAsked)]
	for _, in := range asked {
		go func() { results <- g.probeReach(in, crashCheckTimeout) }()
	}
	for range asked {
		if <-results {
			return true
		}
	}
	return false
}

// forwardedResponse is the complete response of another daemon.
type forwardedResponse struct {
	bufferedResponse
	daemon string
}

// forwardOrRefuse forwards a request that this daemon's own connections cannot carry, and
// returns true if the search ends with that. A request that was forwarded to this daemon ends
// instead, so that the other one chooses a third.
func (t *upstreamSearch) forwardOrRefuse(ctx context.Context, noneUsable bool) bool {
	f, r := t.g.forwarder, t.r
	if !f.unreached(r.service, noneUsable) {
		return false
	}
	if r.forwarded != nil {
		t.stopReason = codeCutOff
		return true
	}
	if !r.mayForward(time.Now()) {
		return false
	}
	v := f.offer(ctx, r, func(to sources.Peer) forwardVerdict {
		resp, v := f.send(ctx, r, to)
		if v == forwardTaken {
			t.forwardedResponse, v = t.readForwarded(resp, to)
		}
		return v
	})
	if v == forwardLost {
		t.runs++
		t.outcomeUnknown = true
	}
	return v != forwardNotRun
}

// readForwarded reads the response of another daemon to its end.
func (t *upstreamSearch) readForwarded(resp *upstream.Response, from sources.Peer) (*forwardedResponse, forwardVerdict) {
	defer resp.Body.Close()
	body, reserved, err := t.g.heldBodies.readResponse(resp.Body)
	t.r.heldResponseBytes += reserved
	if err != nil {
		countForwarded(forwardLost)
		t.g.o.Logger.Info("response of another daemon lost", "id", t.r.ID, "daemon", from.Name, "took", time.Since(t.r.arrivedAt), "cause", err)
		return nil, forwardLost
	}
	return &forwardedResponse{bufferedResponse{resp.Status, resp.Header, body}, from.Name}, forwardTaken
}

// deliverForwarded sends the complete response of another daemon to the client.
func (g *Gateway) deliverForwarded(w http.ResponseWriter, r *request, resp *forwardedResponse) {
	h := w.Header()
	copyResponseHeader(h, resp.header)
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	g.closeConnectionIfDraining(r.Call, h)
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.body)
	countRequestEnd(r, outcomeForwarded)
	g.o.Logger.Info("request answered through another daemon", "id", r.ID, "route", r.route.Name, "config", r.version, "daemon", resp.daemon,
		"status", resp.status, "took", time.Since(r.arrivedAt), "delivered", err == nil)
}

// forwardOrRefuse does the same as that of upstreamSearch for a stream without a run.
func (s *stream) forwardOrRefuse(ctx context.Context, noneUsable bool) bool {
	f, r := s.g.forwarder, s.r
	if s.runs > 0 || s.headSent.Load() || !f.unreached(r.service, noneUsable) {
		return false
	}
	if r.forwarded != nil {
		s.stopReason = codeCutOff
		return true
	}
	if !r.mayForward(time.Now()) {
		return false
	}
	switch f.offer(ctx, r, func(to sources.Peer) forwardVerdict { return s.forwardTo(ctx, to) }) {
	case forwardTaken:
		s.forwarded = true
		return true
	case forwardLost:
		s.runs++
		if s.stopReason == "" {
			s.stopReason = "daemon_lost"
		}
		return true
	}
	return false
}

// forwardTo forwards the stream to another daemon and passes its response on to the client,
// events as they arrive.
func (s *stream) forwardTo(ctx context.Context, from sources.Peer) forwardVerdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, v := s.g.forwarder.send(ctx, s.r, from)
	if v != forwardTaken {
		return v
	}
	defer resp.Body.Close()
	lost := func(cause error) forwardVerdict {
		countForwarded(forwardLost)
		s.g.o.Logger.Info("response of another daemon lost", "id", s.r.ID, "daemon", from.Name, "after", s.lastEventID,
			"took", time.Since(s.r.arrivedAt), "cause", cause)
		return forwardLost
	}
	if resp.Status != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(resp.Body, freeResponseBytes+1))
		if err == nil && len(body) > freeResponseBytes {
			err = eris.Errorf("failure response is longer than %d bytes", freeResponseBytes)
		}
		if err != nil {
			return lost(err)
		}
		s.g.deliverForwarded(s.w, s.r, &forwardedResponse{bufferedResponse{resp.Status, resp.Header, body}, from.Name})
		return forwardTaken
	}
	// The other daemon gives a stream without a first event up by itself, at latest at the
	// deadline.
	silence := time.AfterFunc(max(s.r.timeLeft(time.Now()), 0), cancel)
	defer silence.Stop()
	events := sse.NewRawReader(resp.Body)
	for n := 0; ; n++ {
		ev, err := events.Next()
		if err == io.EOF {
			if !s.headSent.Load() {
				s.sendHead(resp.Header)
			}
			countRequestEnd(s.r, outcomeForwarded)
			s.g.o.Logger.Info("stream complete through another daemon", "id", s.r.ID, "route", s.r.route.Name, "config", s.r.version, "daemon", from.Name,
				"events", n, "first_event", s.headSentAt.Sub(s.r.arrivedAt), "max_gap", s.maxGap, "took", time.Since(s.r.arrivedAt))
			return forwardTaken
		}
		if err != nil {
			return lost(err)
		}
		silence.Reset(forwardedGapTimeout)
		if err := s.forward(runMessage{event: ev, head: resp.Header}); err != nil {
			s.stopReason = "client_gone"
			return lost(err)
		}
	}
}

// The codes of refusals of forwarded requests that another daemon may serve.
const (
	codeCutOff      = "cut_off"
	codeBusy        = "busy"
	codeOlderConfig = "older_configuration"
)

// ForwardPath is the prefix of the paths of requests that another daemon forwards. The rest is
// the target of the client's request.
const ForwardPath = "/v1/forward"

// forwardHeader marks a forwarded request, and the response of a daemon to one.
const forwardHeader = "Gooseberryroad-Forwarded"

// forwardMark is what a daemon tells with a request that it forwards.
type forwardMark struct {
	// timeLeft is the time within which the response is needed.
	timeLeft time.Duration
	// config is the version of the configuration by which the request was admitted. An older
	// one must not decide about it.
	config int64
	// counted says that the request counts for the retry budget already.
	counted bool
	// from is the name of the daemon.
	from string
}

func (m forwardMark) encode() string {
	return "left_ms=" + strconv.FormatInt(max(m.timeLeft.Milliseconds(), 1), 10) + ";config=" + strconv.FormatInt(m.config, 10) +
		";counted=" + strconv.FormatBool(m.counted) + ";from=" + m.from
}

func decodeForwardMark(text string) (m forwardMark, err error) {
	fields := decodeFields(text)
	ms, err := strconv.ParseInt(fields["left_ms"], 10, 32)
	if err != nil || ms <= 0 {
		return m, eris.Errorf("time left %q is not a number of milliseconds", fields["left_ms"])
	}
	if m.config, err = strconv.ParseInt(fields["config"], 10, 64); err != nil {
		return m, eris.Wrap(err, "read the version of the configuration")
	}
	m.timeLeft, m.counted, m.from = time.Duration(ms)*time.Millisecond, fields["counted"] == "true", fields["from"]
	return m, nil
}

// forwardReply is what a daemon tells with the response to a forwarded request.
type forwardReply struct {
	// refused is the code with which the daemon itself refuses the request; empty if the
	// response is that of an upstream.
	refused string
}

// decodeForwardReply returns false if the response is none to a forwarded request.
func decodeForwardReply(h http.Header) (forwardReply, bool) {
	fields := decodeFields(h.Get(forwardHeader))
	_, ok := fields["daemon"]
	return forwardReply{refused: fields["refused"]}, ok
}

func decodeFields(text string) map[string]string {
	out := map[string]string{}
	for part := range strings.SplitSeq(text, ";") {
		if k, v, ok := strings.Cut(strings.TrimSpace(part), "="); ok {
			out[k] = v
		}
	}
	return out
}

// originalHeader returns the header of a client's request as another daemon needs it, before it
// is decoded; nil if the request is not forwarded.
func (g *Gateway) originalHeader(hr *http.Request, f *forwardMark) http.Header {
	if g.forwarder == nil || f != nil {
		return nil
	}
	h := maps.Clone(hr.Header)
	RemoveConnectionHeaders(h)
	return h
}
