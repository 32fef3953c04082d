package entry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

type counters struct {
	tokens, resumes, moves, falseAlarms, pauses  *metrics.Counter
	staleTokens, prefixTokens                    *metrics.Counter
	stalls, handovers, adoptions, cancelsDropped *metrics.Counter
	resumeLatency, firstToken                    *metrics.Histogram
}

func (m *counters) init(e *Entry) {
	s := e.set
	m.tokens = s.NewCounter("gooseberryroad_entry_tokens_delivered_total")
	m.resumes = s.NewCounter("gooseberryroad_recovery_resumes_total")
	m.moves = s.NewCounter("gooseberryroad_recovery_moves_total")
	m.falseAlarms = s.NewCounter("gooseberryroad_recovery_false_alarms_total")
	m.pauses = s.NewCounter("gooseberryroad_recovery_daemon_pauses_total")
	m.staleTokens = s.NewCounter("gooseberryroad_recovery_stale_tokens_total")
	m.prefixTokens = s.NewCounter("gooseberryroad_recovery_prefix_tokens_total")
	m.stalls = s.NewCounter("gooseberryroad_entry_stalls_total")
	m.handovers = s.NewCounter("gooseberryroad_entry_handovers_total")
	m.adoptions = s.NewCounter("gooseberryroad_entry_adoptions_total")
	m.cancelsDropped = s.NewCounter("gooseberryroad_entry_cancels_dropped_total")
	m.resumeLatency = s.NewHistogram("gooseberryroad_recovery_resume_latency_seconds")
	m.firstToken = s.NewHistogram("gooseberryroad_entry_first_token_seconds")
	s.NewGauge("gooseberryroad_entry_held_bytes", func() float64 { return float64(e.held.get().Total) })
	s.NewGauge("gooseberryroad_entry_held_bytes_largest", func() float64 { return float64(e.held.get().Largest) })
	s.NewGauge("gooseberryroad_entry_running", func() float64 { return float64(e.Running()) })
	s.NewGauge("gooseberryroad_entry_cancels_pending", func() float64 { return float64(e.cancels.pending.Load()) })
}

// exportAccount registers the gauge of the bytes held for an account.
func (e *Entry) exportAccount(account string) {
	e.set.GetOrCreateGauge(fmt.Sprintf("gooseberryroad_entry_held_bytes_account{account=%q}", account), func() float64 {
		return float64(e.held.ofAccount(account))
	})
}

// countAnswer counts a finished request by code. The codes are a fixed set, so the
// number of time series is bounded.
func (e *Entry) countAnswer(code string) {
	e.set.GetOrCreateCounter(fmt.Sprintf("gooseberryroad_entry_requests_total{code=%q}", code)).Inc()
}

// Held gives the bytes that the daemon holds for callers; see Entry.Held.
type Held struct {
	Total int64
	// Largest is the most that was held for one request since the daemon started.
	Largest  int64
	Accounts map[string]int64
}

type heldBytes struct {
	mu       sync.Mutex
	total    int64
	largest  int64
	accounts map[string]int64
}

// set replaces the bytes held for a request of the account.
func (h *heldBytes) set(account string, oldBytes, newBytes int64) {
	if oldBytes == newBytes {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total += newBytes - oldBytes
	h.largest = max(h.largest, newBytes)
	if h.accounts[account] += newBytes - oldBytes; h.accounts[account] == 0 {
		delete(h.accounts, account)
	}
}

func (h *heldBytes) get() Held {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Held{Total: h.total, Largest: h.largest, Accounts: make(map[string]int64, len(h.accounts))}
	for name, n := range h.accounts {
		out.Accounts[name] = n
	}
	return out
}

func (h *heldBytes) ofAccount(account string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accounts[account]
}

func (h *heldBytes) totalBytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// Held returns the bytes held for callers: undelivered tokens, text kept for
// continuations, and the buffers of writers and connections.
func (e *Entry) Held() Held { return e.held.get() }
