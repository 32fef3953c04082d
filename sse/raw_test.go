package sse_test

import (
	"io"
	"strings"
	"testing"

	"github.com/gooseberryroad/gooseberryroad/sse"
)

// repeatedReader reads the same text without end.
type repeatedReader struct {
	text string
	at   int
}

func (r *repeatedReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[r.at]
		r.at = (r.at + 1) % len(r.text)
	}
	return len(b), nil
}

// Guards against events whose bytes change, a truncated event that is returned as
// complete, and bytes without end that look like events but never bring a new one.
func TestRawReaderKeepsBytesAndReportsTruncatedEvent(t *testing.T) {
	first := "x-version: 3\nid: 7\ndata: a\ndata: b\n\n"
	second := "id:8\r\ndata: " + strings.Repeat("z", 5000) + "\r\n\r\n"
	r := sse.NewRawReader(strings.NewReader(first + second + "id: 9\ndata: cut"))
	for i, want := range []string{first, second} {
		ev, err := r.Next()
		if err != nil || string(ev.Bytes) != want || ev.ID != int64(7+i) {
			t.Fatalf("event %d: id %d, error %v, bytes %q", i, ev.ID, err, ev.Bytes)
		}
	}
	if _, err := r.Next(); err != io.ErrUnexpectedEOF {
		t.Fatalf("a truncated event ended with %v", err)
	}
	if _, err := sse.NewRawReader(strings.NewReader(first)).Next(); err != nil {
		t.Fatal(err)
	}
	trailing := sse.NewRawReader(strings.NewReader(": hello\n\n" + first + "data: [DONE]\n\n"))
	for _, want := range []string{": hello\n\n" + first, "data: [DONE]\n\n"} {
		if ev, err := trailing.Next(); err != nil || string(ev.Bytes) != want {
			t.Fatalf("bytes %q, error %v; want %q", ev.Bytes, err, want)
		}
	}
	if _, err := trailing.Next(); err != io.EOF {
		t.Fatalf("the stream ended with %v", err)
	}
	empty := sse.NewRawReader(strings.NewReader(""))
	if _, err := empty.Next(); err != io.EOF {
		t.Fatalf("the end of the stream between events returned %v", err)
	}
	for _, endless := range []string{"\n", ": x\n\n", "data: x\n\n", "x"} {
		r := sse.NewRawReader(io.MultiReader(strings.NewReader(first), &repeatedReader{text: endless}))
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		_, err := r.Next()
		if err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
			t.Errorf("%q without end was read as events; error %v", endless, err)
		}
	}
	long := sse.NewRawReader(strings.NewReader(strings.Repeat("y", sse.MaxRawEventBytes+1)))
	if _, err := long.Next(); err == nil || err == io.ErrUnexpectedEOF {
		t.Fatalf("an event that is too long ended with %v", err)
	}
}
