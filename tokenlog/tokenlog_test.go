package tokenlog_test

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/tokenlog"
)

// The seed is fixed so that the verdict does not vary; -rapid.seed overrides
// it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

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
			if len(want) > 0 && l.FirstLen() != len(want[0]) {
				t.Fatalf("First is %d, want %d", l.FirstLen(), len(want[0]))
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

// Guards against text that changes in a compressed block or at its border.
func TestTextProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x tokenlog.Text
		var want strings.Builder
		for range rapid.IntRange(0, 40).Draw(t, "parts") {
			part := strings.Repeat(rapid.StringN(0, 40, 40).Draw(t, "text"), rapid.IntRange(1, 300).Draw(t, "times"))
			x.Append(part)
			want.WriteString(part)
			if rapid.IntRange(0, 4).Draw(t, "pack") == 0 {
				size := x.Size()
				x.Compress()
				if x.Size() > size {
					t.Fatalf("packing grew the text from %d to %d bytes", size, x.Size())
				}
			}
		}
		if x.String() != want.String() || x.Len() != want.Len() {
			t.Fatalf("text of %d bytes differs from the %d bytes appended", x.Len(), want.Len())
		}
	})
}

// Guards against delivered text that grows a stalled caller beyond its 64 KB:
// the longest answer by default, 16,384 tokens of about 4.5 bytes, must leave
// room for the window and the buffers.
func TestLongAnswerIsCompressed(t *testing.T) {
	words := strings.Fields(`a dedication for the family of the old house by the river whose bees
		wintered well although frost came early and stayed until the orchard flowered late in spring`)
	rnd := rand.New(rand.NewPCG(1, 2))
	var x tokenlog.Text
	for range 16384 {
		x.Append(words[rnd.IntN(len(words))] + " ")
	}
	if x.Size() > 44<<10 {
		t.Fatalf("%d bytes held for %d bytes of text", x.Size(), x.Len())
	}
}
