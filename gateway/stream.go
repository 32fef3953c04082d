package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/sse"
)

// eventBuffer is the number of events that an attempt reads ahead of a slow
// client. Together with MaxRawEventBytes it bounds what a stream holds.
const eventBuffer = 64

// maxProbes is above the number of probes that can be under way at once, so
// that a probe never waits for a run that has ended.
const maxProbes = 16

// place is where a run of a stream goes.
type place struct {
	in registry.Instance
	// copyTo receives the run's memory; its ID is empty for none.
	copyTo registry.Instance
	// handle is set when copyTo got its copy by calls instead of as the run went on.
	handle string
	// restore is the copy from which the run goes on; nil for a run that reads its
	// prompt.
	restore *CacheCopy
}

// stream is one client's stream over all its runs.
type stream struct {
	g     *Gateway
	r     *request
	w     http.ResponseWriter
	state *failover.Stream
	// after is the last event that the client has.
	after    int64
	headSent bool
	// began is when the first event was passed on, passed when the last one was.
	began  time.Time
	passed time.Time
	// maxGap is the longest pause between two events, and gapAfter the event before
	// it.
	maxGap   time.Duration
	gapAfter int64
	excluded map[string]bool
	account  retrybudget.AttemptTracker
	// sent counts the requests to upstreams, ran those that may have run, and
	// runEvents the events of the current run.
	sent      int
	ran       int
	runEvents int
	stopped   string
}

// serveStream passes events on as they come, and goes on elsewhere when the
// upstream is lost.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *request) {
	o := g.o.Failover
	o.Resumable = r.route.Resumable
	o.MaxRuns = max(r.route.MaxAttempts, 1)
	s := &stream{g: g, r: r, w: w, state: failover.New(o), after: r.LastEventID, excluded: map[string]bool{}}
	p, ok := s.search(ctx)
	for ok {
		step := s.run(ctx, &p)
		if step != failover.Wait && g.quarantined(r) > 0 {
			step, s.stopped = failover.GiveUp, codeQuarantined
		}
		switch step {
		case failover.Wait:
			// An engine's own failure was delivered, and counted, without a head.
			if s.headSent {
				s.finish()
			}
			return
		case failover.Restore:
			p, ok = s.restore(ctx, p)
		case failover.Restart:
			p, ok = s.search(ctx)
		default:
			if s.stopped == "" {
				s.stopped = "attempts_used"
			}
			ok = false
		}
	}
	s.fail(ctx)
}

// finish logs the end of a complete stream.
func (s *stream) finish() {
	s.g.completed(s.r)
	countEnd(s.r, outcomeAnswered)
	firstEventTime.Update(s.began.Sub(s.r.arrived).Seconds())
	streamGapTime.Update(s.maxGap.Seconds())
	s.g.o.Logger.Info("stream complete", "id", s.r.ID, "route", s.r.route.Name, "config", s.r.version,
		"events", s.state.Events(), "runs", s.ran, "first_event", s.began.Sub(s.r.arrived),
		"max_gap", s.maxGap, "gap_after", s.gapAfter, "took", time.Since(s.r.arrived))
}

// fail ends a stream that cannot go on. Once events were sent the connection is
// cut, so that the answer does not look complete.
func (s *stream) fail(ctx context.Context) {
	now := time.Now()
	left := errors.Is(ctx.Err(), context.Canceled)
	if s.headSent || left {
		if left {
			countEnd(s.r, outcomeClientLeft)
		} else {
			countEnd(s.r, outcomeCut)
		}
		s.g.o.Logger.Warn("stream cut", "id", s.r.ID, "route", s.r.route.Name, "reason", s.stopped, "client_left", left,
			"events", s.state.Events(), "runs", s.ran, "took", now.Sub(s.r.arrived))
		panic(http.ErrAbortHandler)
	}
	f := refusal{status: http.StatusServiceUnavailable, code: s.stopped, retryAfter: s.g.streamRetryAfter()}
	if s.ran > 0 {
		f = refusal{status: http.StatusBadGateway, code: s.stopped}
		if s.r.left(now) < minOffer {
			f.status = http.StatusGatewayTimeout
		}
	}
	s.g.refuse(s.w, s.r.Call, f)
	s.g.logRefusal(s.r.Call, s.r, f)
}

// streamRetryAfter is the time in which crashed engines are back.
func (g *Gateway) streamRetryAfter() time.Duration {
	return 500*time.Millisecond + time.Duration(g.pick()*float64(time.Second))
}

// run sends the stream to one upstream, where it is counted already, and passes its
// events on. It returns what to do next; Wait for a complete stream.
func (s *stream) run(ctx context.Context, p *place) failover.Step {
	g := s.g
	began := time.Now()
	s.sent++
	s.ran++
	s.runEvents = 0
	s.state.Sent(began, p.copyTo.ID != "")
	view := g.o.Directory.View()
	g.o.Logger.Info("stream sent", "id", s.r.ID, "upstream", p.in.ID, "data_centre", p.in.DataCentre, "copy", p.copyTo.ID,
		"restore", p.restore != nil, "after", s.after, "left", s.r.left(began), "revision", view.Revision,
		"directory_age", g.o.Directory.Content().Age())
	reading := p.restore == nil
	// accepted says that the upstream began the run.
	accepted := false
	// judged says that the run was counted as slow before its first event.
	judged := false
	// firstEvent is the time to the first event of a run that read its prompt.
	var firstEvent time.Duration
	g.onBoard(func(b *placement.Tracker) {
		b.StreamSent(p.in.ID, began)
		if reading {
			b.AddPrefills(p.in.ID, 1)
		}
	})
	defer g.onBoard(func(b *placement.Tracker) {
		b.End(p.in.ID)
		if accepted {
			b.SlotFreed(p.in.ID)
		}
		if reading {
			b.AddPrefills(p.in.ID, -1)
		}
	})
	// Closing the attempt makes the upstream stop before the stream goes on
	// elsewhere.
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	runCtx, span := startAttempt(runCtx, p.in)
	defer span.End()
	messages := make(chan message, eventBuffer)
	go s.read(runCtx, *p, messages)
	copies := &copier{s: s}
	copied := make(chan copyResult, 1)
	look := time.NewTicker(copyLookEvery)
	defer look.Stop()
	probes := make(chan failover.Verdict, maxProbes)
	timer := time.NewTimer(time.Until(s.state.NextTick()))
	defer timer.Stop()
	for {
		step, why := failover.Wait, error(nil)
		select {
		case m := <-messages:
			if m.end {
				if m.verdict == broken && s.runEvents <= maxFirstEvents {
					g.countCrash(ctx, s.r, p.in, began)
				}
				next := s.ended(*p, m, began)
				if next == failover.Wait {
					copies.end(*p)
					g.onBoard(func(b *placement.Tracker) { b.Succeeded(p.in.ID, firstEvent) })
				}
				return next
			}
			if err := s.pass(m); err != nil {
				s.stopped = "client_gone"
				return failover.GiveUp
			}
			s.runEvents++
			s.state.Delivered(time.Now())
			if !accepted {
				accepted = true
				g.onBoard(func(b *placement.Tracker) { b.Accepted(p.in.ID) })
			}
			if reading {
				firstEvent = time.Since(began)
				if !judged {
					g.outcome(s.r, p.in, false, firstEvent)
				}
				reading = false
				g.onBoard(func(b *placement.Tracker) { b.AddPrefills(p.in.ID, -1) })
			}
		case v := <-probes:
			step, why = s.state.Probed(v, time.Now()), eris.Errorf("probe: %s", v)
		case <-look.C:
			if waited := time.Since(began); reading && !judged && g.overdue(s.r, p.in, waited) {
				judged = true
				g.outcome(s.r, p.in, true, waited)
			}
			copies.look(runCtx, p, copied)
		case c := <-copied:
			copies.done(p, c)
		case <-timer.C:
			step, why = s.state.Tick(time.Now()), eris.New("silence")
		case <-ctx.Done():
			s.stopped = "deadline"
			return failover.GiveUp
		}
		switch step {
		case failover.Wait:
		case failover.Probe:
			go g.probe(runCtx, p.in, s.r.ID, probes)
		default:
			s.lost(*p, step, why, began)
			return step
		}
		timer.Reset(time.Until(s.state.NextTick()))
	}
}

// lost notes that the run's upstream is given up.
func (s *stream) lost(p place, step failover.Step, why error, began time.Time) {
	now := time.Now()
	countMove(step.String())
	s.account.Attempted(true)
	s.excluded[p.in.ID] = true
	s.g.outcome(s.r, p.in, true, now.Sub(began))
	s.g.onBoard(func(b *placement.Tracker) { b.Failed(p.in, now) })
	s.g.o.Logger.Info("upstream lost", "id", s.r.ID, "upstream", p.in.ID, "data_centre", p.in.DataCentre,
		"events", s.state.Events(), "after", s.after, "run_time", now.Sub(began), "next", step.String(),
		"copy", p.copyTo.ID, "cause", why)
}

// ended decides after the upstream's answer ended; Wait says that the client has
// its answer.
func (s *stream) ended(p place, m message, began time.Time) failover.Step {
	now := time.Now()
	countAttempt(m.verdict)
	switch {
	case m.verdict == answered:
		if !s.headSent {
			s.sendHead(m.head)
		}
		return failover.Wait
	case m.verdict == notRun || m.verdict == notSent || m.verdict == unreached || m.verdict == gone:
		s.ran--
		s.state.NotRun()
		s.account.Attempted(m.verdict.arrived())
		s.excluded[p.in.ID] = true
		s.g.onBoard(func(b *placement.Tracker) {
			switch m.verdict {
			case notRun:
				b.Refused(p.in.ID, now)
			case gone:
				b.Replaced(p.in.ID, now)
				go s.g.adopt(p.in)
			case unreached:
				b.ConnectTimedOut(p.in, now)
			default:
				b.ConnectRefused(p.in, now)
			}
		})
		s.g.o.Logger.Info("attempt ended", "id", s.r.ID, "upstream", p.in.ID, "data_centre", p.in.DataCentre,
			"verdict", m.verdict.String(), "restore", p.restore != nil, "took", now.Sub(s.r.arrived), "cause", m.err)
		return failover.Restart
	case m.verdict == erred && !s.headSent && !s.mayRunAgain():
		s.g.outcome(s.r, p.in, true, now.Sub(began))
		s.g.deliver(s.w, s.r, p.in, m.failure)
		return failover.Wait
	}
	step := s.state.Lost()
	s.lost(p, step, m.err, began)
	return step
}

func (s *stream) mayRunAgain() bool {
	return s.r.route.Resumable && s.ran < max(s.r.route.MaxAttempts, 1)
}

// sendHead passes the head of the first run on; later runs keep it.
func (s *stream) sendHead(h http.Header) {
	s.headSent = true
	s.began = time.Now()
	RemoveConnectionHeaders(h)
	copyHeader(s.w.Header(), h)
	s.g.closeWhenStopping(s.w.Header())
	s.w.WriteHeader(http.StatusOK)
}

// pass sends one event to the client, unless the client has it already.
func (s *stream) pass(m message) error {
	if m.event.ID != 0 && m.event.ID <= s.after {
		return nil
	}
	now := time.Now()
	if gap := now.Sub(s.passed); !s.passed.IsZero() && gap > s.maxGap {
		s.maxGap, s.gapAfter = gap, s.after
	}
	s.passed = now
	s.after = max(s.after, m.event.ID)
	if !s.headSent {
		s.sendHead(m.head)
	}
	if _, err := s.w.Write(m.event.Bytes); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// message is an event of a run, or its end.
type message struct {
	event   sse.RawEvent
	head    http.Header
	end     bool
	verdict verdict
	failure *whole
	err     error
}

// read sends the stream to an upstream and reads its events.
func (s *stream) read(ctx context.Context, p place, out chan<- message) {
	send := func(m message) bool {
		select {
		case out <- m:
			return true
		case <-ctx.Done():
			return false
		}
	}
	a := Attempt{Call: s.r.Call, Instance: p.in, Account: s.r.account, TimeLeft: s.r.left(time.Now()), LastEventID: s.after, CopyTo: p.copyTo.Address, RestoreFrom: p.restore}
	ans, err := s.g.o.Pool.Do(ctx, s.g.upstreamRequest(s.r, a))
	if err != nil {
		send(message{end: true, verdict: sendVerdict(ctx, err), err: err})
		return
	}
	defer ans.Body.Close()
	head := s.g.o.Protocol.DecodeResponseHead(ans.Status, ans.Header)
	if head.Load != nil {
		s.g.onBoard(func(b *placement.Tracker) { b.SetLoad(p.in.ID, *head.Load, time.Now()) })
	}
	if ans.Status != http.StatusOK || !head.Sealed || head.NotRun {
		send(s.readFailure(ans.Status, ans.Header, ans.Body, head))
		return
	}
	events := sse.NewRawReader(ans.Body)
	for {
		ev, err := events.Next()
		if err == io.EOF {
			send(message{end: true, verdict: answered, head: ans.Header})
			return
		}
		if err != nil {
			send(message{end: true, verdict: broken, err: err})
			return
		}
		if !send(message{event: ev, head: ans.Header}) {
			return
		}
	}
}

// readFailure reads an answer that is no stream.
func (s *stream) readFailure(status int, h http.Header, body io.Reader, head ResponseHead) message {
	b, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	why := eris.Errorf("upstream answered %d", status)
	switch {
	case head.Misdirected:
		return message{end: true, verdict: gone, err: why}
	case head.NotRun:
		return message{end: true, verdict: notRun, err: why}
	case err != nil:
		return message{end: true, verdict: broken, err: err}
	case !head.Sealed:
		return message{end: true, verdict: broken, err: eris.Errorf("answer %d has no proof of its upstream", status)}
	}
	return message{end: true, verdict: erred, err: why, failure: &whole{status: status, header: h, body: b}}
}
