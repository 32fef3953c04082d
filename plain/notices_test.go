package plain

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/placement"
)

func upstreamAt(address string) *node.UpstreamView {
	return &node.UpstreamView{Upstream: document.Upstream{Name: "u0", Address: address}}
}

func headerWith(name, value string) http.Header {
	h := http.Header{}
	h.Set(name, value)
	return h
}

func TestAskedPause(t *testing.T) {
	now := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		status int
		text   string
		want   time.Duration
	}{
		{503, "2", 2 * time.Second}, {503, "0.25", 250 * time.Millisecond}, {503, "1e9", placement.MaxPause}, {503, "+Inf", placement.MaxPause},
		{503, now.Add(3 * time.Second).Format(http.TimeFormat), 3 * time.Second}, {503, now.Add(-time.Hour).Format(http.TimeFormat), 0},
		{503, "", 0}, {503, "-1", 0}, {503, "NaN", 0}, {503, "soon", 0}, {200, "2", 0}, {429, "2", 0},
	} {
		if got := askedPause(c.status, headerWith("Retry-After", c.text), now); got != c.want {
			t.Errorf("%d %q: %s, want %s", c.status, c.text, got, c.want)
		}
	}
}

// Guards against calls within a pause, a stampede after it, and what one upstream said
// counting for another one.
func TestNoticesKeepCallsAway(t *testing.T) {
	now := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	n := newNotices(rand.New(rand.NewPCG(1, 2)))
	u := upstreamAt("10.0.0.1:80")
	reason := func(after time.Duration) placement.NoticeReason {
		r, _ := n.withdrawn(u, now.Add(after))
		return r
	}
	if got := n.note(u, 503, headerWith("Retry-After", "2"), now); got != placement.NoticePause {
		t.Fatalf("first notice: %q", got)
	}
	if got := n.note(u, 503, headerWith("Retry-After", "2"), now.Add(time.Second)); got != placement.NoNotice {
		t.Errorf("a pause renewed during a pause is news: %q", got)
	}
	if reason(2900*time.Millisecond) != placement.NoticePause {
		t.Error("the renewed pause ended early")
	}
	if reason(3300*time.Millisecond) != placement.NoNotice {
		t.Error("the pause has not ended")
	}
	n.begin(u)
	n.begin(u)
	if reason(3300*time.Millisecond) != placement.NoticePause {
		t.Error("more than two calls at once after a pause")
	}
	n.end(u, true)
	if reason(3300*time.Millisecond) != placement.NoNotice {
		t.Error("still held back after an accepted call")
	}

	n.note(u, 200, headerWith(HeaderLeaving, "1"), now.Add(4*time.Second))
	if reason(5*time.Second) != placement.NoticeLeaving {
		t.Error("an upstream that leaves gets calls")
	}
	if r, _ := n.withdrawn(upstreamAt("10.0.0.2:80"), now.Add(5*time.Second)); r != placement.NoNotice {
		t.Error("an upstream at another address inherits the notice")
	}
	n.retain(&node.Snapshot{}, now.Add(6*time.Second))
	if reason(6*time.Second) != placement.NoNotice {
		t.Error("the notice outlives the upstream")
	}
}
