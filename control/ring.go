package control

import (
	"sync"
	"time"
)

// Event is one explanation of what the system did and why.
type Event struct {
	// Seq rises by one with each event of this daemon.
	Seq     uint64    `json:"seq"`
	At      time.Time `json:"at"`
	Subject string    `json:"subject"`
	Text    string    `json:"text"`
}

// Ring is a ring buffer of the last events. It is safe for concurrent use.
type Ring struct {
	mu   sync.Mutex
	buf  []Event
	next uint64
}

// NewRing returns an empty ring that holds up to size events.
func NewRing(size int) *Ring { return &Ring{buf: make([]Event, 0, size)} }

// Add appends an event and drops the oldest one when the ring is full.
func (r *Ring) Add(at time.Time, subject, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	ev := Event{Seq: r.next, At: at, Subject: subject, Text: text}
	if len(r.buf) < cap(r.buf) {
		r.buf = append(r.buf, ev)
		return
	}
	r.buf[int((r.next-1)%uint64(cap(r.buf)))] = ev
}

// List returns the events of a subject that follow a sequence number, oldest first.
// An empty subject selects all.
func (r *Ring) List(subject string, after uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Event{}
	n := uint64(len(r.buf))
	for seq := r.next - n + 1; seq <= r.next; seq++ {
		ev := r.buf[int((seq-1)%uint64(cap(r.buf)))]
		if ev.Seq > after && (subject == "" || ev.Subject == subject) {
			out = append(out, ev)
		}
	}
	return out
}
