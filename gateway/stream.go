package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/headroom"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/sse"
)

// maxProbes is larger than the number of probes that can be in flight at once,
// so that a probe never blocks on a run that has ended.
const maxProbes = 16

// assignment says on which upstream a run of a stream runs and where its KV
// cache is copied.
type assignment struct {
	upstream registry.Instance
	// copyTo is the upstream that receives a copy of the run's KV cache; its ID is
	// empty if there is none.
	copyTo registry.Instance
	// copyHandle identifies the copy at copyTo if it was made by copy calls. It is
	// empty if the engine sends the copy itself as the run goes on.
	copyHandle string
	// restoreFrom is the copy from which the run continues; nil for a run that
	// reads its prompt.
	restoreFrom *CacheCopy
	// ticket identifies the run in the estimates; 0 is none. expected is the estimated time to
	// its first event; 0 is unknown.
	ticket   headroom.Ticket
	expected time.Duration
}

// stream is one client's stream over all of its runs on upstreams.
type stream struct {
	g     *Gateway
	r     *request
	w     http.ResponseWriter
	state *failover.Stream
	// lastEventID is the ID of the last event that the client has.
	lastEventID int64
	headSent    atomic.Bool
	// headSentAt is when the head was sent to the client, lastEventAt when the last
	// event was.
	headSentAt  time.Time
	lastEventAt time.Time
	// maxGap is the longest pause between two events, and gapAfter the ID of the
	// event before it.
	maxGap         time.Duration
	gapAfter       int64
	excluded       map[string]bool
	attemptTracker retrybudget.AttemptTracker
	// attempts counts the requests to upstreams, runs those that may have run, and
	// runEvents the events of the current run.
	attempts   int
	runs       int
	runEvents  int
	stopReason string
	// search is set if the stream is placed by estimates.
	search *headroomSearch
	// retryAfter is when the client may come back; 0 is not known.
	retryAfter time.Duration
	// forwarded is set once the client has the complete response of another daemon.
	forwarded bool
}

// serveStream forwards the events of a stream as they arrive, and continues the
// stream at another upstream if its upstream is lost.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *request) {
	o := g.o.Failover
	o.Resumable = r.route.Resumable
	o.MaxRuns = max(r.route.MaxAttempts, 1)
	placedByEstimate := g.usesHeadroom(r)
	if placedByEstimate {
		// A stream that waits for more urgent ones as long as its objective allows is not lost.
		o.FirstEventTimeout = max(o.FirstEventTimeout, time.Duration(firstEventShare*float64(r.route.TargetLatency)))
	}
	s := &stream{g: g, r: r, w: w, state: failover.New(o), lastEventID: r.LastEventID, excluded: map[string]bool{}}
	if placedByEstimate {
		s.search = &headroomSearch{s: s}
	}
	ctx, ended := g.endWithStop(ctx, func() bool { return !s.headSent.Load() })
	defer ended()
	p, ok := s.findUpstream(ctx)
	for ok {
		step := s.run(ctx, &p)
		if step != failover.StepWait && g.mustStop(r) {
			step, s.stopReason = failover.StepGiveUp, codeQuarantined
		}
		switch step {
		case failover.StepWait:
			// If no head was sent, the response of an engine that failed has been delivered
			// and counted already.
			if s.headSent.Load() {
				s.recordComplete()
			}
			return
		case failover.StepRestore:
			p, ok = s.restoreFromCopy(ctx, p)
		case failover.StepRestart:
			p, ok = s.findUpstream(ctx)
		default:
			if s.stopReason == "" {
				s.stopReason = "attempts_used"
			}
			ok = false
		}
	}
	if s.forwarded {
		return
	}
	s.fail(ctx)
}

// recordComplete counts and logs a stream that is complete.
func (s *stream) recordComplete() {
	s.g.recordCompletion(s.r)
	countRequestEnd(s.r, outcomeAnswered)
	firstEventTime.Update(s.headSentAt.Sub(s.r.arrivedAt).Seconds())
	streamGapTime.Update(s.maxGap.Seconds())
	s.g.o.Logger.Info("stream complete", "id", s.r.ID, "route", s.r.route.Name, "config", s.r.version,
		"events", s.state.Events(), "runs", s.runs, "first_event", s.headSentAt.Sub(s.r.arrivedAt),
		"max_gap", s.maxGap, "gap_after", s.gapAfter, "took", time.Since(s.r.arrivedAt))
}

// fail ends a stream that cannot continue. If events were sent, the connection
// is cut, so that the response does not look complete.
func (s *stream) fail(ctx context.Context) {
	now := time.Now()
	clientLeft := errors.Is(context.Cause(ctx), context.Canceled)
	if errors.Is(context.Cause(ctx), errStopEnds) {
		s.stopReason = codeStopping
	}
	if s.headSent.Load() || clientLeft {
		if clientLeft {
			countRequestEnd(s.r, outcomeClientLeft)
		} else {
			countRequestEnd(s.r, outcomeCut)
		}
		s.g.o.Logger.Warn("stream cut", "id", s.r.ID, "route", s.r.route.Name, "reason", s.stopReason, "client_left", clientLeft,
			"stopping", s.g.drainPlan.Load() != nil, "head_sent", s.headSent.Load(), "events", s.state.Events(), "runs", s.runs, "took", now.Sub(s.r.arrivedAt))
		panic(http.ErrAbortHandler)
	}
	f := refusal{status: http.StatusServiceUnavailable, code: s.stopReason, retryAfter: s.retryAfter}
	if f.retryAfter == 0 {
		f.retryAfter = s.g.streamRetryAfter()
	}
	if s.runs > 0 {
		f = refusal{status: http.StatusBadGateway, code: s.stopReason}
		if s.r.timeLeft(now) < minAttemptTime {
			f.status = http.StatusGatewayTimeout
		}
	}
	s.g.refuse(s.w, s.r.Call, f)
	s.g.logRefusal(s.r.Call, s.r, f)
}

// streamRetryAfter is the time after which crashed engines are usually back. It
// is random, so that refused clients do not return together.
func (g *Gateway) streamRetryAfter() time.Duration {
	return 500*time.Millisecond + time.Duration(g.randomFloat()*float64(time.Second))
}

// run sends the stream to one upstream, for which the tracker already counts
// it, and forwards its events. It returns the next step; Wait means that the client
// has its complete response.
func (s *stream) run(ctx context.Context, p *assignment) failover.Step {
	g := s.g
	g.endBackgroundStop(backgroundStopKey{s.r.ID, p.upstream.Address})
	began := time.Now()
	s.attempts++
	s.runs++
	s.runEvents = 0
	s.state.Sent(began, p.copyTo.ID != "")
	s.state.Expected(p.expected)
	view := g.o.Directory.View()
	g.o.Logger.Info("stream sent", "id", s.r.ID, "upstream", p.upstream.ID, "version", p.upstream.Version, "data_centre", p.upstream.DataCentre, "copy", p.copyTo.ID,
		"restore", p.restoreFrom != nil, "after", s.lastEventID, "left", s.r.timeLeft(began), "revision", view.Revision,
		"directory_age", g.o.Directory.Content().Age())
	readingPrompt := p.restoreFrom == nil
	// accepted says that the upstream began the run.
	accepted := false
	// countedSlow says that the run was counted as slow before its first event.
	countedSlow := false
	g.recordSent(s.r, p.upstream, began)
	measured := s.measureRun(p.upstream.ID, readingPrompt, began)
	defer measured.ended()
	settle := sync.OnceFunc(func() { g.recordSettled(s.r, p.upstream, began) })
	defer settle()
	// firstEvent is the time to the first event; 0 for a run that does not read its
	// prompt.
	var firstEvent time.Duration
	g.withTracker(func(b *placement.Tracker) {
		b.StreamSent(p.upstream.ID, began)
		if readingPrompt {
			b.AddPrefills(p.upstream.ID, 1)
		}
	})
	defer g.withTracker(func(b *placement.Tracker) {
		b.End(p.upstream.ID)
		if accepted {
			b.SlotFreed(p.upstream.ID)
		}
		if readingPrompt {
			b.AddPrefills(p.upstream.ID, -1)
		}
	})
	defer g.withHeadroom(func(h *headroom.Tracker) { h.Ended(p.ticket, time.Now()) })
	// Cancelling the attempt makes the upstream stop before the stream continues
	// elsewhere.
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	runCtx, span := startAttempt(runCtx, p.upstream)
	defer span.End()
	events := newEventQueue()
	go s.read(runCtx, *p, events)
	// lastRunEventID is the ID of the run's last event. Events that the run repeats are
	// no progress.
	var lastRunEventID int64
	runCopier := &copier{s: s}
	copyResults := make(chan copyResult, 1)
	checkTicker := time.NewTicker(copyCheckInterval)
	defer checkTicker.Stop()
	probes := make(chan EngineReport, maxProbes)
	// held says that the upstream answered the last probe after the last event, and runs
	// the stream.
	held := false
	timer := time.NewTimer(time.Until(s.state.NextTick()))
	defer timer.Stop()
	for {
		step, cause := failover.StepWait, error(nil)
		select {
		case m := <-events.messages:
			events.taken(m)
			if m.end {
				if m.verdict == verdictBroken && s.runEvents <= maxEventsBeforeCrash && !errors.Is(m.err, errPauseAsked) {
					g.recordCrash(ctx, s.r, p.upstream, began)
				}
				next := s.handleEnd(*p, m, began)
				if next == failover.StepWait {
					runCopier.free(*p)
					g.withTracker(func(b *placement.Tracker) { b.Succeeded(p.upstream.ID, firstEvent) })
				}
				return next
			}
			if err := s.forward(m); err != nil {
				s.stopReason = "client_gone"
				return failover.StepGiveUp
			}
			if m.event.ID != 0 && m.event.ID <= lastRunEventID {
				continue
			}
			lastRunEventID = max(lastRunEventID, m.event.ID)
			s.runEvents++
			g.reportBegan(s.r, time.Now())
			held = false
			if s.runEvents == eventsPastCrash {
				g.recordAnswering(s.r)
			}
			s.state.Delivered(time.Now())
			if !accepted {
				accepted = true
				settle()
				g.withTracker(func(b *placement.Tracker) { b.Accepted(p.upstream.ID) })
			}
			if readingPrompt {
				firstEvent = time.Since(began)
				measured.firstEvent()
				g.withHeadroom(func(h *headroom.Tracker) { h.FirstEvent(p.ticket, time.Now()) })
				if !countedSlow {
					g.recordOutcome(s.r, p.upstream, false, began)
				}
				readingPrompt = false
				g.withTracker(func(b *placement.Tracker) { b.AddPrefills(p.upstream.ID, -1) })
			}
		case report := <-probes:
			held = report.Verdict == failover.VerdictHolds
			if missing := report.Events - s.lastEventID; held && missing > 0 {
				step, cause = s.state.ProbedMissing(time.Now()), eris.Errorf("%d events do not arrive", missing)
			} else {
				step, cause = s.state.Probed(report.Verdict, time.Now()), eris.Errorf("verdict of the probe: %s", report.Verdict)
			}
		case <-checkTicker.C:
			if waited := time.Since(began); readingPrompt && !countedSlow && g.firstEventOverdue(s.r, p.upstream, waited) {
				countedSlow = true
				g.recordOutcome(s.r, p.upstream, true, began)
				settle()
			}
			if s.runEvents == 0 && g.mustStop(s.r) {
				s.stopReason = codeQuarantined
				return failover.StepGiveUp
			}
			runCopier.check(runCtx, p, copyResults)
		case c := <-copyResults:
			runCopier.recordResult(p, c)
		case <-timer.C:
			step, cause = s.state.Tick(time.Now()), eris.New("no event within the time allowed")
		case <-ctx.Done():
			s.stopReason = "deadline"
			if s.state.Silent(time.Now()) {
				// The client may resume the stream at another daemon.
				s.stopInBackground(*p, abandonedStopTime)
			}
			return failover.StepGiveUp
		}
		switch step {
		case failover.StepWait:
		case failover.StepProbe:
			go g.probe(runCtx, p.upstream, s.r.ID, probes)
		default:
			if held && step != failover.StepGiveUp && s.stopRun(ctx, p) {
				step = failover.StepRestore
			} else {
				s.stopInBackground(*p, backgroundStopTime)
			}
			s.recordLoss(*p, step, cause, began)
			return step
		}
		timer.Reset(time.Until(s.state.NextTick()))
	}
}

// recordLoss records that the run's upstream is given up.
func (s *stream) recordLoss(p assignment, step failover.Step, cause error, began time.Time) {
	now := time.Now()
	countStreamMove(step.String())
	s.attemptTracker.Attempted(true)
	s.excluded[p.upstream.ID] = true
	s.g.leaveTrial(s.r, p.upstream)
	if !errors.Is(cause, errPauseAsked) {
		s.g.recordOutcome(s.r, p.upstream, true, began)
		s.g.withTracker(func(b *placement.Tracker) { b.Failed(p.upstream, now) })
	}
	s.g.o.Logger.Info("upstream lost", "id", s.r.ID, "upstream", p.upstream.ID, "data_centre", p.upstream.DataCentre,
		"events", s.state.Events(), "after", s.lastEventID, "run_time", now.Sub(began), "next", step.String(),
		"copy", p.copyTo.ID, "cause", cause)
}

// handleEnd decides what follows after the upstream's response ended; Wait
// means that the client has its response.
func (s *stream) handleEnd(p assignment, m runMessage, began time.Time) failover.Step {
	now := time.Now()
	countAttempt(m.verdict)
	switch {
	case m.verdict == verdictAnswered:
		if !s.headSent.Load() {
			s.sendHead(m.head)
		}
		return failover.StepWait
	case m.verdict == verdictNotRun || m.verdict == verdictNotSent || m.verdict == verdictUnreached || m.verdict == verdictGone:
		s.runs--
		s.state.NotRun()
		s.attemptTracker.Attempted(m.verdict.maybeReceived())
		s.excluded[p.upstream.ID] = true
		s.g.leaveTrial(s.r, p.upstream)
		if m.verdict == verdictNotRun {
			s.g.withHeadroom(func(h *headroom.Tracker) { h.Refused(p.ticket, now) })
		}
		s.g.withTracker(func(b *placement.Tracker) {
			switch m.verdict {
			case verdictNotRun:
				b.Refused(p.upstream.ID, now)
			case verdictGone:
				b.Replaced(p.upstream.ID, now)
				go s.g.adopt(p.upstream)
			case verdictUnreached:
				b.ConnectTimedOut(p.upstream, now)
			default:
				b.ConnectRefused(p.upstream, now)
			}
		})
		s.g.o.Logger.Info("attempt ended", "id", s.r.ID, "upstream", p.upstream.ID, "data_centre", p.upstream.DataCentre,
			"verdict", m.verdict.String(), "restore", p.restoreFrom != nil, "took", now.Sub(s.r.arrivedAt), "cause", m.err)
		return failover.StepRestart
	case m.verdict == verdictErred && !s.headSent.Load() && !s.mayRunAgain():
		if !errors.Is(m.err, errPauseAsked) {
			s.g.recordOutcome(s.r, p.upstream, true, began)
		}
		s.g.deliver(s.w, s.r, p.upstream, m.failure)
		return failover.StepWait
	}
	if m.verdict == verdictBroken && !errors.Is(m.err, errPauseAsked) {
		// The connection may have ended on this side only.
		s.stopInBackground(p, backgroundStopTime)
	}
	step := s.state.Lost()
	s.recordLoss(p, step, m.err, began)
	return step
}

func (s *stream) mayRunAgain() bool {
	return s.r.route.Resumable && s.runs < max(s.r.route.MaxAttempts, 1)
}

// sendHead forwards the head of the first run's response; later runs do not
// send another one.
func (s *stream) sendHead(h http.Header) {
	s.headSent.Store(true)
	s.headSentAt = time.Now()
	copyResponseHeader(s.w.Header(), h)
	s.g.closeConnectionIfDraining(s.r.Call, s.w.Header())
	s.w.WriteHeader(http.StatusOK)
}

// forward sends one event to the client, unless the client has it already.
func (s *stream) forward(m runMessage) error {
	if m.event.ID != 0 && m.event.ID <= s.lastEventID {
		return nil
	}
	now := time.Now()
	if gap := now.Sub(s.lastEventAt); !s.lastEventAt.IsZero() && gap > s.maxGap {
		s.maxGap, s.gapAfter = gap, s.lastEventID
	}
	s.lastEventAt = now
	s.lastEventID = max(s.lastEventID, m.event.ID)
	if !s.headSent.Load() {
		s.sendHead(m.head)
	}
	if _, err := s.w.Write(m.event.Bytes); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// runMessage is an event of a run, or the end of the run.
type runMessage struct {
	event   sse.RawEvent
	head    http.Header
	end     bool
	verdict verdict
	failure *bufferedResponse
	err     error
}

// read sends the stream to an upstream and reads its events into out.
func (s *stream) read(ctx context.Context, p assignment, out *eventQueue) {
	send := func(m runMessage) bool { return out.send(ctx, m) }
	a := Attempt{Call: s.r.Call, Instance: p.upstream, Account: s.r.account, TimeLeft: s.r.timeLeft(time.Now()), LastEventID: s.lastEventID, CopyTo: p.copyTo.Address, RestoreFrom: p.restoreFrom}
	if s.r.sendsPriority {
		a.Priority = &s.r.priority
	}
	sentAt := time.Now()
	resp, err := s.g.o.Pool.Do(ctx, s.g.upstreamRequest(s.r, a))
	s.g.recordReach(ctx, p.upstream, err, true)
	if err != nil {
		send(runMessage{end: true, verdict: verdictOfError(ctx, err), err: err})
		return
	}
	defer resp.Body.Close()
	head := s.g.o.Protocol.DecodeResponseHead(resp.Status, resp.Header)
	s.g.recordNotices(p.upstream, head, s.r.ID, sentAt)
	if head.Load != nil {
		s.g.withTracker(func(b *placement.Tracker) { b.SetLoad(p.upstream.ID, *head.Load, time.Now()) })
		s.g.recordPace(s.r.service, *head.Load)
	}
	if resp.Status != http.StatusOK || !head.Sealed || head.NotRun {
		send(s.readFailure(resp.Status, resp.Header, resp.Body, head))
		return
	}
	events := sse.NewRawReader(resp.Body)
	for read := 0; ; read++ {
		ev, err := events.Next()
		if err == io.EOF && read == 0 && a.LastEventID == 0 {
			err = eris.New("the stream ended before its first event")
		}
		if err == io.EOF {
			send(runMessage{end: true, verdict: verdictAnswered, head: resp.Header})
			return
		}
		if err != nil {
			send(runMessage{end: true, verdict: verdictBroken, err: err})
			return
		}
		if !send(runMessage{event: ev, head: resp.Header}) {
			return
		}
	}
}

// readFailure reads a response that is not an event stream.
func (s *stream) readFailure(status int, h http.Header, body io.Reader, head ResponseHead) runMessage {
	b, err := io.ReadAll(io.LimitReader(body, freeResponseBytes+1))
	if err == nil && len(b) > freeResponseBytes {
		err = eris.Errorf("failure response is longer than %d bytes", freeResponseBytes)
	}
	cause := pauseCause(head, eris.Errorf("upstream responded with status %d", status))
	switch {
	case head.Misdirected:
		return runMessage{end: true, verdict: verdictGone, err: cause}
	case head.NotRun:
		return runMessage{end: true, verdict: verdictNotRun, err: cause}
	case err != nil:
		return runMessage{end: true, verdict: verdictBroken, err: err}
	case !head.Sealed:
		return runMessage{end: true, verdict: verdictBroken, err: pauseCause(head, eris.Errorf("response with status %d has no proof that the upstream made it", status))}
	}
	return runMessage{end: true, verdict: verdictErred, err: cause, failure: &bufferedResponse{status: status, header: h, body: b}}
}
