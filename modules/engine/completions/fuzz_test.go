package completions

import (
	"bytes"
	"io"
	"testing"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/sse"
)

// FuzzEventStream guards against panics, endless loops and unbounded memory on
// invalid event streams.
func FuzzEventStream(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id\r\ndata:\r\n\r\n:\n\n\ndata: {\"error\":{}}\n\n"))
	f.Add([]byte("event: x\nid: -1\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := sse.NewReader(bytes.NewReader(b))
		for events := 0; ; events++ {
			ev, err := r.Next()
			if err != nil {
				break
			}
			if events > len(b) {
				t.Fatal("more events than bytes")
			}
			if len(ev.Data) > sse.MaxLineBytes {
				t.Fatalf("event of %d bytes", len(ev.Data))
			}
			c, err := parseChunk(ev)
			if err == nil && c.hasToken && (c.text == "" || c.index < 0) {
				t.Fatalf("chunk %+v", c)
			}
		}
	})
}

// FuzzEventReaderSplits guards against events that depend on how the stream is
// divided into reads.
func FuzzEventReaderSplits(f *testing.F) {
	f.Add([]byte("id: 0\r\ndata: a\r\n\r\ndata: b\ndata: c\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, size uint8) {
		whole := sse.NewReader(bytes.NewReader(b))
		parts := sse.NewReader(&slowReader{r: bytes.NewReader(b), size: int(size) + 1})
		for {
			a, errA := whole.Next()
			c, errC := parts.Next()
			if (errA == nil) != (errC == nil) {
				t.Fatalf("%v and %v", errA, errC)
			}
			if errA != nil {
				return
			}
			if a.ID != c.ID || a.Name != c.Name || !bytes.Equal(a.Data, c.Data) {
				t.Fatalf("%+v and %+v", a, c)
			}
		}
	})
}

// slowReader reads at most size bytes at a time.
type slowReader struct {
	r    io.Reader
	size int
}

func (s *slowReader) Read(p []byte) (int, error) {
	return s.r.Read(p[:min(len(p), s.size)])
}

// FuzzRefusal guards against a refusal that counts as not run although neither the
// engine nor the status says so (promise P5 in docs/proof.md).
func FuzzRefusal(f *testing.F) {
	f.Add(500, []byte(`{"error":{"message":"x","code":3,"outcome":"not_run"}}`))
	f.Add(503, []byte(`{"error":[]}`))
	f.Add(429, []byte(``))
	f.Fuzz(func(t *testing.T, status int, b []byte) {
		e := &engine.RefusedError{Status: status}
		parseRefusal(b, e)
		if e.NotRun && status >= 500 && !bytes.Contains(b, []byte("not_run")) && !bytes.Contains(b, []byte(`\u`)) {
			t.Fatalf("status %d with %q counts as not run", status, b)
		}
	})
}
