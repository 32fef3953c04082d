package tokenlog_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/tokenlog"
)

// Guards against a token that is lost, repeated or reordered between Append
// and Shift, and against a size that does not bound the memory.
func TestQueueProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l tokenlog.Log
		var want []string
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "op") > 0 {
				s := rapid.StringN(0, 300, 300).Draw(t, "token")
				l.Append(s)
				want = append(want, s)
			} else {
				got, ok := l.Shift()
				if ok != (len(want) > 0) {
					t.Fatalf("Shift reported %v with %d tokens", ok, len(want))
				}
				if ok {
					if got != want[0] {
						t.Fatalf("got %q, want %q", got, want[0])
					}
					want = want[1:]
				}
			}
			if l.Len() != len(want) || l.Text() != strings.Join(want, "") || l.TextLen() != len(l.Text()) {
				t.Fatalf("log differs: %d tokens, want %d", l.Len(), len(want))
			}
			if len(want) > 0 && l.First() != len(want[0]) {
				t.Fatalf("First is %d, want %d", l.First(), len(want[0]))
			}
			if l.Size() < l.TextLen() {
				t.Fatalf("size %d is below the text of %d bytes", l.Size(), l.TextLen())
			}
		}
	})
}

// Guards against the doubling of append: 48 KB of short tokens must stay far
// below the 64 KB that a stalled caller may cost.
func TestSizeStaysCompact(t *testing.T) {
	var l tokenlog.Log
	for l.TextLen() < 48<<10 {
		l.Append("abcde")
	}
	if perText := float64(l.Size()) / float64(l.TextLen()); perText > 1.55 {
		t.Fatalf("%d bytes held for %d bytes of text", l.Size(), l.TextLen())
	}
}
