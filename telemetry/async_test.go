package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

// blockingWriter blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.out.Write(b)
}

// Guards against requests that wait for a slow reader of the log, and against lines
// that are dropped without a report.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	a := telemetry.NewAsyncWriter(w)
	const lines = 5000
	for i := range lines {
		fmt.Fprintf(a, "line %d\n", i)
	}
	dropped := a.Dropped()
	if dropped == 0 {
		t.Fatal("no line was dropped while the writer was blocked")
	}
	close(w.release)
	a.Close()
	got := w.out.String()
	if n := strings.Count(got, "line "); n != int(lines-dropped) {
		t.Errorf("%d lines were written, %d dropped of %d", n, dropped, lines)
	}
	if !strings.Contains(got, fmt.Sprintf("\"lines\":%d", dropped)) {
		t.Errorf("the log does not say that %d lines were dropped", dropped)
	}
}

// Guards against a panic at the end of the process when a request that was cut off
// still logs.
func TestAsyncWriterAcceptsLinesAfterClose(t *testing.T) {
	var out bytes.Buffer
	a := telemetry.NewAsyncWriter(&out)
	fmt.Fprintln(a, "before")
	a.Close()
	fmt.Fprintln(a, "after")
	if out.String() != "before\n" {
		t.Errorf("the log holds %q", out.String())
	}
}

// Guards against a process that does not end because nobody reads its log.
func TestAsyncWriterGivesUpLinesThatNobodyReads(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	a := telemetry.NewAsyncWriter(w)
	fmt.Fprintln(a, "line")
	if a.CloseWithin(time.Millisecond) {
		t.Error("the line counts as written")
	}
	close(w.release)

	a = telemetry.NewAsyncWriter(&bytes.Buffer{})
	fmt.Fprintln(a, "line")
	if !a.CloseWithin(time.Hour) {
		t.Error("the line counts as given up")
	}
}
