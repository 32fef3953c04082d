package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/gooseberryroad/gooseberryroad/sse"
)

// Guards against an event that was truncated by the end of the stream and is
// returned as complete.
func TestNextReportsTruncatedEvent(t *testing.T) {
	r := sse.NewReader(strings.NewReader(": comment\n\nid: 7\nevent: x\ndata: a\r\ndata: b\n\nid: 8\ndata: cut"))
	ev, err := r.Next()
	if err != nil || ev.ID != "7" || ev.Name != "x" || string(ev.Data) != "a\nb" {
		t.Fatalf("got %+v, %v", ev, err)
	}
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("a truncated event was read with error %v", err)
	}
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("data")
	f.Fuzz(func(t *testing.T, s string) {
		r := sse.NewReader(strings.NewReader(s))
		for i := 0; i <= len(s); i++ {
			if _, err := r.Next(); err != nil {
				return
			}
		}
		t.Fatal("more events than bytes")
	})
}
