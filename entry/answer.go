package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/gooseberryroad/gooseberryroad/recovery"
)

func (g *generation) deliver(a recovery.Deliver) {
	now := g.e.o.Now()
	s := g.machine.Stats()
	switch {
	case g.lastTokenAt.IsZero() && a.Index == 0:
		g.e.counters.firstToken.Update(now.Sub(g.began).Seconds())
	case !g.lastTokenAt.IsZero() && (s.Moves != g.statsAtDelivery.Moves || s.Resumes != g.statsAtDelivery.Resumes):
		g.e.counters.resumeLatency.Update(now.Sub(g.lastTokenAt).Seconds())
	}
	g.lastTokenAt, g.statsAtDelivery = now, s
	g.e.counters.tokens.Inc()
	if g.window == nil {
		return
	}
	g.window.push(&g.attempts[a.Attempt].attempt, a.Text)
	g.output.start()
}

// requestHandOver asks the generation to end: a stream with a cursor, another
// answer with a refusal. Any goroutine may call it.
func (g *generation) requestHandOver() { signal(g.handOverRequested) }

// answer writes the end of the answer to the caller and counts the request.
func (g *generation) answer(c *gin.Context) {
	if g.callerGone {
		g.e.countAnswer("caller_gone")
		if g.output != nil {
			g.output.abort()
		}
		return
	}
	r := g.result
	switch {
	case r.fail != nil:
		g.e.countAnswer(r.fail.Code)
		g.log.Info("request failed", "code", r.fail.Code, "outcome", r.fail.Outcome, "delivered", g.machine.Delivered())
	case r.reconnect:
		g.e.countAnswer("handed_over")
		g.e.counters.handovers.Inc()
	default:
		g.e.countAnswer("complete")
	}
	if g.output != nil && (g.output.started() || r.fail == nil && (!r.reconnect || g.machine.Running())) {
		g.output.start()
		g.window.finish(*r)
		g.flush(c.Request.Context())
		return
	}
	rc := http.NewResponseController(c.Writer)
	if err := rc.SetWriteDeadline(g.e.o.Now().Add(g.e.o.WriteTimeout)); err == nil {
		defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	}
	switch {
	case r.fail != nil:
		refuse(c, failureRefusal(*r.fail))
	case r.reconnect:
		d := drainRefusal
		d.Outcome = g.machine.Outcome()
		refuse(c, d)
	default:
		c.JSON(http.StatusOK, completionBody(g.request.route, g.generationID, g.request.view.Doc.Model, g.began.Unix(), g.machine.Text(), r.reason, g.machine.Delivered()))
	}
}

// handOverGrace is how long the reconnect event, which sends a caller to another
// daemon, may take to be written.
const handOverGrace = time.Second

// flush waits until the writer has written the rest of the stream. It aborts the
// writer if the caller disconnects, the deadline passes or another connection
// continues the generation.
func (g *generation) flush(ctx context.Context) {
	timer := time.NewTimer(g.request.deadline.Sub(g.e.o.Now()))
	defer timer.Stop()
	if g.result.reconnect {
		timer.Reset(handOverGrace)
	}
	for {
		select {
		case <-g.output.done:
			// The connection may be reused for another request.
			if err := g.output.w.rc.SetWriteDeadline(time.Time{}); err != nil {
				g.log.Debug("cannot clear the write deadline", "err", err)
			}
			return
		case <-g.window.changed:
			g.observeMachine()
			continue
		case <-g.handOverRequested:
			g.window.finish(ending{reconnect: true})
			timer.Reset(handOverGrace)
			continue
		case <-g.adoptedElsewhere:
		case <-ctx.Done():
		case <-timer.C:
		}
		g.output.abort()
		return
	}
}

// output starts and stops the writer of a streamed answer.
type output struct {
	w      *writer
	header http.Header
	done   chan struct{} // nil until started
}

func (o *output) started() bool { return o.done != nil }

// start sets the header fields of a stream and starts the writer, unless it is
// already started. Before that, a failure can still be answered with its own HTTP
// status.
func (o *output) start() {
	if o.done != nil {
		return
	}
	o.header.Set("Content-Type", "text/event-stream")
	o.header.Set("Cache-Control", "no-store")
	o.done = make(chan struct{})
	go func() {
		defer close(o.done)
		o.w.run()
	}()
}

// abort interrupts a write that may be blocked and waits until the writer has
// returned.
func (o *output) abort() {
	if o.done == nil {
		return
	}
	o.w.window.close()
	if err := o.w.rc.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		o.w.window.fail(err)
	}
	<-o.done
}
