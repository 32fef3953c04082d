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
	stallAfter  = 250 * time.Millisecond
	stallAlways = time.Second
)

// stallDue returns when the caller of a full window counts as stalled.
func (g *generation) stallDue() time.Time {
	at, always := g.taken.Add(stallAfter), g.full.Add(stallAlways)
	if always.Before(at) {
		return always
	}
	return at
}

// stall detaches the engine from a caller that does not read.
func (g *generation) stall() {
	g.full = time.Time{}
	g.stalled = true
	g.e.m.stalls.Inc()
	g.step(recovery.CallerStalled{})
}

// bufferBytes is what a connection to a caller holds besides the window: the
// kernel's send buffer, the buffers of net/http (4 KB and 2 KB) and the events
// of one write.
const bufferBytes = 2*sendBuffer + 6<<10 + batchBytes

// minWindow keeps a stream going however little it may hold.
const minWindow = 2 << 10

// windowLimit is smaller when the delivered text leaves little of what one
// caller may cost, and while the daemon holds more than half of what it may.
func (g *generation) windowLimit() int {
	limit := min(g.e.o.WindowBytes, int(g.call.view.Doc.Limits.MaxHeldBytes)-bufferBytes-g.machine.DeliveredTextSize())
	if g.e.held.sum() > g.e.o.MaxHeldBytes/2 {
		limit = min(limit, g.e.o.WindowBytes/4)
	}
	return max(limit, minWindow)
}

// reading resumes a stalled generation once most of its window is written.
// Waiting for a quarter keeps a slow reader from reconnecting to the engine
// for each token.
func (g *generation) reading() {
	limit := g.windowLimit()
	n := g.win.used()
	g.taken = g.e.o.Now()
	if n <= limit/2 {
		g.full = time.Time{}
	}
	if !g.stalled || n > limit/4 {
		return
	}
	g.stalled = false
	g.lastToken = time.Time{}
	g.step(recovery.CallerReading{Room: limit - n})
	g.stalled = g.machine.Stalled()
}

func (g *generation) hold(n int64) {
	g.e.held.set(g.call.account, g.heldNow, n)
	g.heldNow = n
}
