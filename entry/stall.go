package entry

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/recovery"
)

// A caller counts as stalled when its window is full and it takes nothing for
// stallAfter, or when the window stays full for stallAlways. Until then the
// engine's connection is only read no further: a log that is resumed comes
// faster than any caller reads, and a new connection for each full window
// would send most of it several times. The second bound is there since the
// kernel goes on to buffer what the engine sends.
const (
	stallAfterIdle = 250 * time.Millisecond
	stallAfterFull = time.Second
)

// stallDue returns when the caller of a full window counts as stalled.
func (g *generation) stallDue() time.Time {
	idleDue, fullDue := g.takenAt.Add(stallAfterIdle), g.fullSince.Add(stallAfterFull)
	if fullDue.Before(idleDue) {
		return fullDue
	}
	return idleDue
}

// stall detaches the engine from a caller that does not read.
func (g *generation) stall() {
	g.fullSince = time.Time{}
	g.stalled = true
	g.e.counters.stalls.Inc()
	g.step(recovery.CallerStalled{})
}

// bufferBytes is what a connection to a caller holds besides the window: the
// kernel's send buffer, the buffers of net/http (4 KB and 2 KB) and the events
// of one write.
const connectionBufferBytes = 2*sendBufferBytes + 6<<10 + batchBytes

// minWindow keeps a stream going however little it may hold.
const minWindowBytes = 2 << 10

// windowLimit is smaller when the delivered text leaves little of what one
// caller may cost, and while the daemon holds more than half of what it may.
func (g *generation) windowLimit() int {
	limit := min(g.e.o.WindowBytes, int(g.request.view.Doc.Limits.MaxHeldBytes)-connectionBufferBytes-g.machine.DeliveredTextSize())
	if g.e.held.totalBytes() > g.e.o.MaxHeldBytes/2 {
		limit = min(limit, g.e.o.WindowBytes/4)
	}
	return max(limit, minWindowBytes)
}

// reading resumes a stalled generation once most of its window is written.
// Waiting for a quarter keeps a slow reader from reconnecting to the engine
// for each token.
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
