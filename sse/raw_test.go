package sse_test

import (
	"io"
	"strings"
	"testing"

	"github.com/gooseberryroad/gooseberryroad/sse"
)

// Guards against events whose bytes change, and against a truncated event that
// is returned as complete.
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
	empty := sse.NewRawReader(strings.NewReader(""))
	if _, err := empty.Next(); err != io.EOF {
		t.Fatalf("the end of the stream between events returned %v", err)
	}
	long := sse.NewRawReader(strings.NewReader(strings.Repeat("y", sse.MaxRawEventBytes+1)))
	if _, err := long.Next(); err == nil || err == io.ErrUnexpectedEOF {
		t.Fatalf("an event that is too long ended with %v", err)
	}
}
