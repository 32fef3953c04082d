package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

var crashNow = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func contentNo(n int) quarantine.Hash { return quarantine.HashOf("llm", "/page", fmt.Append(nil, n)) }

// crashFleet plays daemons that read each other's counts with a delay.
type crashFleet struct {
	now       time.Time
	logs      []*quarantine.CrashLog
	published []map[quarantine.Hash]int
	writes    int
}

func newCrashFleet(daemons int) *crashFleet {
	f := &crashFleet{now: crashNow, published: make([]map[quarantine.Hash]int, daemons)}
	for range daemons {
		f.logs = append(f.logs, quarantine.NewCrashLog(quarantine.CrashLogOptions{}))
	}
	return f
}

// exchange carries the counts through the store.
func (f *crashFleet) exchange() {
	f.now = f.now.Add(500 * time.Millisecond)
	for i, l := range f.logs {
		if counts, ok := l.Due(f.now); ok {
			f.published[i] = counts
			f.writes++
			l.Published(true, f.now)
		}
	}
	f.now = f.now.Add(500 * time.Millisecond)
	for i, l := range f.logs {
		largest := map[quarantine.Hash]int{}
		for j, counts := range f.published {
			for h, n := range counts {
				if i != j {
					largest[h] = max(largest[h], n)
				}
			}
		}
		l.Merge(largest, f.now)
	}
}

// send runs a content at a daemon until it is quarantined or its attempts are
// used; it returns the number of upstreams that crashed.
func (f *crashFleet) send(daemon int, h quarantine.Hash, attempts int) int {
	crashed := 0
	for range attempts {
		if f.logs[daemon].Quarantined(h, f.now) > 0 {
			break
		}
		began := f.now
		f.now = f.now.Add(200 * time.Millisecond)
		f.logs[daemon].Crashed(h, began, f.now)
		crashed++
	}
	return crashed
}

// Guards against a request that crashes each upstream that runs it and is sent
// again and again, at any daemon: the users allow three crashes and three runs
// more.
func TestCrashLogQuarantinesAContentAtAllDaemons(t *testing.T) {
	g := NewWithT(t)
	for _, attempts := range []int{1, 2, 5} {
		f := newCrashFleet(9)
		crashed := 0
		for i := range 40 {
			crashed += f.send(i%9, contentNo(1), attempts)
			f.exchange()
		}
		g.Expect(crashed).To(Equal(3), "with %d attempts", attempts)
		g.Expect(f.writes).To(BeNumerically("<=", 3))
		g.Expect(f.logs[7].Quarantined(contentNo(1), f.now)).To(BeNumerically("~", 10*time.Minute, 2*time.Minute))
		g.Expect(f.logs[7].Quarantined(contentNo(2), f.now)).To(BeZero())
	}
}

// Guards against more runs than the users allow when the store is away, and each
// daemon counts on its own.
func TestCrashLogWithoutTheStore(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(2)
	crashed := 0
	for i := range 20 {
		crashed += f.send(i%2, contentNo(1), 5)
	}
	g.Expect(crashed).To(Equal(6))
}

// Guards against the quarantine of a popular content that merely ran wherever
// upstreams crash together.
func TestCrashLogCountsCrashesAtTheSameTimeOnce(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(4)
	began := f.now
	f.now = f.now.Add(100 * time.Millisecond)
	for _, l := range f.logs {
		for range 3 {
			g.Expect(l.Crashed(contentNo(1), began, f.now)).To(Equal(1))
		}
	}
	f.exchange()
	for _, l := range f.logs {
		g.Expect(l.Quarantined(contentNo(1), f.now)).To(BeZero())
	}
}

// Guards against the quarantine of contents that met crashes of others: those that
// complete between two crashes begin anew.
func TestCrashLogForgetsWhatCompletes(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(2)
	for range 10 {
		f.send(0, contentNo(1), 2)
		f.logs[0].Completed(contentNo(1))
		f.exchange()
		f.logs[1].Completed(contentNo(1))
	}
	g.Expect(f.logs[0].Quarantined(contentNo(1), f.now)).To(BeZero())
	g.Expect(f.logs[0].Empty()).To(BeTrue())
}

// Guards against a quarantine that never ends.
func TestCrashLogForgetsOldCrashes(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(2)
	f.send(0, contentNo(1), 5)
	f.exchange()
	f.now = f.now.Add(10 * time.Minute)
	f.exchange()
	f.exchange()
	for _, l := range f.logs {
		g.Expect(l.Quarantined(contentNo(1), f.now)).To(BeZero())
	}
	g.Expect(f.published[0]).To(BeEmpty())
}

// Guards against a log that grows with the contents that crash, and against a
// flood of harmless ones that pushes a quarantined one out.
func TestCrashLogIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewCrashLog(quarantine.CrashLogOptions{MaxEntries: 10, MaxPublished: 4})
	now := crashNow
	for range 3 {
		l.Crashed(contentNo(0), now, now.Add(time.Millisecond))
		now = now.Add(2 * time.Millisecond)
	}
	for i := range 100 {
		now = now.Add(time.Millisecond)
		l.Crashed(contentNo(1+i), now, now)
	}
	g.Expect(l.Quarantined(contentNo(0), now)).NotTo(BeZero())
	counts, ok := l.Due(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(counts).To(HaveLen(4))
	g.Expect(counts).To(HaveKeyWithValue(contentNo(0), 3))
}

// Guards against counts that are lost with a refused write, and against a daemon
// that writes at full rate while the store is away.
func TestCrashLogPublishesAgainWhatTheStoreRefused(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewCrashLog(quarantine.CrashLogOptions{})
	now := crashNow
	l.Crashed(contentNo(1), now, now)
	writes := 0
	for range 50 { // ten seconds
		if _, ok := l.Due(now); ok {
			writes++
			l.Published(false, now)
		}
		now = now.Add(200 * time.Millisecond)
	}
	g.Expect(writes).To(BeNumerically("<=", 6))
	now = now.Add(4 * time.Second)
	counts, ok := l.Due(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(counts).To(HaveKeyWithValue(contentNo(1), 1))
	l.Published(true, now)
	_, ok = l.Due(now.Add(time.Second))
	g.Expect(ok).To(BeFalse())
	counts, ok = l.Due(now.Add(2 * time.Minute))
	g.Expect(ok).To(BeTrue(), "the lease of the publication ends")
	g.Expect(counts).To(HaveLen(1))
}
