package entry

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/recovery"
)

// A caller counts as stalled when its window is full and nothing is taken from it
// for stallAfterIdle, or when the window stays full for stallAfterFull. Before
// that, reading from the engine's connection only pauses: a resumed attempt sends
// its backlog faster than any caller reads, and a new connection for each full
// window would transfer most of the backlog several times. The second limit exists
// because the kernel keeps buffering what the engine sends.
const (
	stallAfterIdle = 250 * time.Millisecond
	stallAfterFull = time.Second
)

// stallDue returns the time at which the caller of a full window counts as stalled.
func (g *generation) stallDue() time.Time {
	idleDue, fullDue := g.takenAt.Add(stallAfterIdle), g.fullSince.Add(stallAfterFull)
	if fullDue.Before(idleDue) {
		return fullDue
	}
	return idleDue
}

// stall tells the state machine that the caller does not read. The state machine then
// closes the engine's connection or, if the engine cannot resume, fills a bounded
// backlog.
func (g *generation) stall() {
	g.fullSince = time.Time{}
	g.stalled = true
	g.e.counters.stalls.Inc()
	g.step(recovery.CallerStalled{})
}

// connectionBufferBytes is the memory that a connection to a caller uses besides
// the window: the kernel's send buffer, the buffers of net/http (4 KB and 2 KB) and
// the events of one write.
const connectionBufferBytes = 2*sendBufferBytes + 6<<10 + batchBytes

// minWindowBytes is the smallest limit of a window. It lets a stream progress even
// if no memory is left for it.
const minWindowBytes = 2 << 10

// windowLimit returns the limit of the window in bytes. It is reduced when the
// delivered text that is kept for continuations leaves little of the service's
// MaxHeldBytes, and while the daemon holds more than half of Options.MaxHeldBytes.
func (g *generation) windowLimit() int {
	limit := min(g.e.o.WindowBytes, int(g.request.view.Doc.Limits.MaxHeldBytes)-connectionBufferBytes-g.machine.DeliveredTextSize())
	if g.e.held.totalBytes() > g.e.o.MaxHeldBytes/2 {
		limit = min(limit, g.e.o.WindowBytes/4)
	}
	return max(limit, minWindowBytes)
}

// callerRead updates the state of the window after the writer took tokens from it,
// and resumes a stalled generation once at most a quarter of its window is in use.
// Without this margin, a slow reader would cause a new engine connection for each
// token.
func (g *generation) callerRead() {
	limit := g.windowLimit()
	n := g.window.used()
	g.takenAt = g.e.o.Now()
	if n <= limit/2 {
		g.fullSince = time.Time{}
	}
	if !g.stalled || n > limit/4 {
		return
	}
	g.stalled = false
	g.lastTokenAt = time.Time{}
	g.step(recovery.CallerReading{Room: limit - n})
	g.stalled = g.machine.Stalled()
}

func (g *generation) setHeldBytes(n int64) {
	g.e.held.set(g.request.account, g.heldBytes, n)
	g.heldBytes = n
}
