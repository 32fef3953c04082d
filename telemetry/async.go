package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// asyncBufferLines bounds the lines that are buffered while the reader of the
	// log is slow.
	asyncBufferLines = 2048
	// dropReportInterval is the least time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// NewJSONHandler returns a handler that writes one JSON object per line, with
// durations as text such as "12.5ms".
func NewJSONHandler(w io.Writer) slog.Handler {
	return slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Value.Kind() == slog.KindDuration {
			a.Value = slog.StringValue(a.Value.Duration().Round(durationUnit).String())
		}
		return a
	}})
}

// durationUnit is the precision of durations in logs.
const durationUnit = 100 * time.Microsecond

// AsyncWriter passes lines to a writer without blocking the caller. When its buffer
// is full, lines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	// stop ends the writing goroutine, done is closed when it has ended.
	stop chan struct{}
	done chan struct{}
}

// NewAsyncWriter starts an AsyncWriter that writes to w. Close flushes it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncBufferLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It never blocks and never returns an error.
func (a *AsyncWriter) Write(b []byte) (int, error) {
	select {
	case a.lines <- bytes.Clone(b):
	default:
		a.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the buffered lines and returns when they are written. It must be
// called only once. Write may still be called afterwards, because requests that
// were cut off may log while the process ends; such lines are lost.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}

// CloseWithin does the same, but gives the buffered lines up when they are not written
// within d. It reports whether all were written.
func (a *AsyncWriter) CloseWithin(d time.Duration) bool {
	close(a.stop)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-a.done:
		return true
	case <-timer.C:
		return false
	}
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	out := lineWriter{a: a, w: w}
	for {
		select {
		case line := <-a.lines:
			out.write(line)
		case <-a.stop:
			for {
				select {
				case line := <-a.lines:
					out.write(line)
				default:
					return
				}
			}
		}
	}
}

// lineWriter writes lines, and a warning when lines were dropped.
type lineWriter struct {
	a *AsyncWriter
	w io.Writer
	// reported is the number of dropped lines reported so far, reportedAt the time
	// of the last report.
	reported   uint64
	reportedAt time.Time
}

func (l *lineWriter) write(line []byte) {
	// Errors are ignored, because there is no other place to report them.
	_, _ = l.w.Write(line)
	if n := l.a.dropped.Load(); n > l.reported && time.Since(l.reportedAt) >= dropReportInterval {
		_, _ = fmt.Fprintf(l.w, "{\"level\":\"WARN\",\"part\":\"log\",\"msg\":\"lines dropped\",\"lines\":%d}\n", n-l.reported)
		l.reported, l.reportedAt = n, time.Now()
	}
}
