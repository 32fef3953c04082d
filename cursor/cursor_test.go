package cursor_test

import (
	"bytes"
	"crypto/rand"
	"errors"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/cursor"
)

// The seed is fixed so that the result does not vary between runs; -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1_800_000_000, 0)

func sealer(t testing.TB, key string) *cursor.Sealer {
	t.Helper()
	s, err := cursor.NewSealer(key, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func seal(t testing.TB, s *cursor.Sealer, account string, c cursor.Cursor) string {
	t.Helper()
	st, err := s.Stream(account)
	if err != nil {
		t.Fatal(err)
	}
	text, err := st.Seal(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func example() cursor.Cursor {
	return cursor.Cursor{
		Generation: "g1", Service: "dedication", Version: "v1", Upstream: "e1", EngineID: "g1-a-1",
		Daemon: "d1", Attempt: 3, Next: 17, BodyHash: [16]byte{1, 2, 3},
		Delivered: cursor.HashText("some text that is longer than one block of the hash"),
		Expires:   start.Add(time.Minute),
	}
}

// Guards against daemons that cannot open each other's cursors.
func TestOpensAtAnotherDaemon(t *testing.T) {
	c := example()
	got, err := sealer(t, "key of the fleet").Open(start, "crew", seal(t, sealer(t, "key of the fleet"), "crew", c))
	if err != nil {
		t.Fatal(err)
	}
	if got != c {
		t.Fatalf("got %+v, want %+v", got, c)
	}
}

// Guards against a cursor that opens for another account, with another key or after its
// expiry.
func TestOpenRejectsInvalidCursors(t *testing.T) {
	s := sealer(t, "key of the fleet")
	text := seal(t, s, "crew", example())
	for _, tc := range []struct {
		name, account string
		s             *cursor.Sealer
		now           time.Time
		text          string
		want          error
	}{
		{"another account", "other", s, start, text, cursor.ErrInvalid},
		{"another key", "crew", sealer(t, "key of another fleet"), start, text, cursor.ErrInvalid},
		{"the moment of expiry", "crew", s, start.Add(time.Minute), text, cursor.ErrExpired},
		{"a truncated cursor", "crew", s, start, text[:len(text)-2], cursor.ErrInvalid},
		{"no cursor", "crew", s, start, "", cursor.ErrInvalid},
		{"an oversized cursor", "crew", s, start, string(make([]byte, 1<<16)), cursor.ErrInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := tc.s.Open(tc.now, tc.account, tc.text); !errors.Is(err, tc.want) {
				t.Fatalf("got error %v, want %v", err, tc.want)
			}
		})
	}
}

// Guards against a cursor that still opens after one character was changed.
func TestEveryCharacterIsAuthenticated(t *testing.T) {
	s := sealer(t, "key of the fleet")
	text := []byte(seal(t, s, "crew", example()))
	for i := range text {
		old := text[i]
		text[i] = 'A'
		if old == 'A' {
			text[i] = 'B'
		}
		if _, err := s.Open(start, "crew", string(text)); err == nil {
			t.Fatalf("a cursor with character %d changed was opened", i)
		}
		text[i] = old
	}
}

// Guards against two texts that open as one cursor: base64 decoding may ignore the last
// bits.
func TestOneTextForEachCursor(t *testing.T) {
	s := sealer(t, "key of the fleet")
	c := example()
	for range 3 {
		text := seal(t, s, "crew", c)
		for _, last := range "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_" {
			other := text[:len(text)-1] + string(last)
			if _, err := s.Open(start, "crew", other); (err == nil) != (other == text) {
				t.Fatalf("cursor with last character %c opens with error %v", last, err)
			}
		}
		c.Service += "x" // The number of ignored bits depends on the length.
	}
}

// Guards against repeated nonces: the same cursor sealed twice must give different
// text, within a stream and between streams.
func TestNoncesDiffer(t *testing.T) {
	s := sealer(t, "key of the fleet")
	seen := map[string]bool{}
	for range 4 {
		st, err := s.Stream("crew")
		if err != nil {
			t.Fatal(err)
		}
		for range 4 {
			text, err := st.Seal(example())
			if err != nil {
				t.Fatal(err)
			}
			if seen[text] {
				t.Fatal("the same cursor text was sealed twice")
			}
			seen[text] = true
		}
	}
}

// Guards against a hash that depends on token boundaries or cannot continue from a
// cursor: the caller sends the text back without boundaries, and a daemon that adopts
// a generation has only the state of the hash.
func TestHashProperty(t *testing.T) {
	s := sealer(t, "key of the fleet")
	rapid.Check(t, func(rt *rapid.T) {
		var h cursor.Hash
		var all string
		for _, token := range rapid.SliceOfN(rapid.StringN(0, 40, 80), 0, 20).Draw(rt, "tokens") {
			h.Write(token)
			all += token
			c := example()
			c.Delivered = h
			opened, err := s.Open(start, "crew", seal(t, s, "crew", c))
			if err != nil {
				rt.Fatal(err)
			}
			h = opened.Delivered
		}
		if h != cursor.HashText(all) {
			rt.Fatalf("hash of %q depends on its parts", all)
		}
		if other := rapid.StringN(0, 40, 80).Draw(rt, "other"); other != all && cursor.HashText(other) == h {
			rt.Fatalf("%q and %q have the same hash", all, other)
		}
	})
}

// Guards against a panic, and against text that opens although it was never sealed.
func FuzzOpen(f *testing.F) {
	// A fixed salt makes each fuzzing process seal the same valid cursor.
	s, err := cursor.NewSealer("key of the fleet", bytes.NewReader(make([]byte, 16)))
	if err != nil {
		f.Fatal(err)
	}
	good := seal(f, s, "crew", example())
	f.Add(good, "crew")
	f.Add("", "")
	f.Add(good[:40], "crew")
	f.Fuzz(func(t *testing.T, text, account string) {
		c, err := s.Open(start, account, text)
		if err == nil && (text != good || account != "crew") {
			t.Fatalf("opened a cursor that was not sealed: %+v", c)
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	st, err := sealer(b, "key of the fleet").Stream("crew")
	if err != nil {
		b.Fatal(err)
	}
	c := example()
	for b.Loop() {
		if _, err := st.Seal(c); err != nil {
			b.Fatal(err)
		}
	}
}
