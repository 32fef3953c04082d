package gateway

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

const (
	// firstBodyBytes is reserved for a request's body of unknown length before it is read.
	firstBodyBytes = 16 << 10
	// firstResponseBytes is allocated for a response before it is read.
	firstResponseBytes = 2 << 10
	// maxChunkBytes bounds the steps in which the memory of a body grows.
	maxChunkBytes = 256 << 10
	// freeResponseBytes is the size up to which a response needs no reservation. Ordinary
	// responses are smaller.
	freeResponseBytes = 64 << 10
	// responseShare is what responses may take beyond the limit, as a part of it: a request
	// that an upstream has run must not end because others wait with long bodies.
	responseShare = 1.0 / 3
)

var (
	// errNoMemory reports a body that did not fit into the limit of held bytes.
	errNoMemory = errors.New("no memory for more bytes of a body")
	// errTooLong reports a body that is longer than it may be.
	errTooLong = errors.New("body is too long")

	heldBytes     = metrics.NewGauge("gooseberryroad_gateway_held_bytes", nil)
	heldHeadBytes = metrics.NewGauge("gooseberryroad_client_head_bytes", nil)
)

// byteLimiter is the account of the memory that is held for clients: the heads of requests
// that are not complete, long heads and the bodies of requests, and long response bodies. A
// request's body is held until the request ends, because it may have to be sent again.
type byteLimiter struct {
	// held is what requests and responses hold, heads what heads that are not complete hold.
	held, heads atomic.Int64
	// limit bounds the heads and bodies of requests, in bytes; 0 is no limit. Responses may
	// take responseShare more.
	limit int64
	// headLimit bounds the heads that are not complete; 0 is no limit. It is a share of their
	// own: requests that wait with long bodies must not keep others from arriving.
	headLimit int64
}

// ReserveHead implements clientconn.Memory.
func (l *byteLimiter) ReserveHead(n int64) bool {
	if heads := l.heads.Add(n); l.headLimit > 0 && heads > l.headLimit {
		l.heads.Add(-n)
		return false
	}
	heldHeadBytes.Add(float64(n))
	return true
}

// ReleaseHead implements clientconn.Memory.
func (l *byteLimiter) ReleaseHead(n int64) {
	l.heads.Add(-n)
	heldHeadBytes.Add(float64(-n))
}

// ReserveRequest implements clientconn.Memory.
func (l *byteLimiter) ReserveRequest(n int64) bool { return l.reserve(n, l.limit) }

// ReleaseRequest implements clientconn.Memory.
func (l *byteLimiter) ReleaseRequest(n int64) { l.release(n) }

// reserve reserves n bytes and reports whether no more than the limit are held then; a
// limit of 0 is none.
func (l *byteLimiter) reserve(n, limit int64) bool {
	if held := l.held.Add(n); limit > 0 && held > limit {
		l.held.Add(-n)
		return false
	}
	heldBytes.Add(float64(n))
	return true
}

func (l *byteLimiter) release(n int64) {
	l.held.Add(-n)
	heldBytes.Add(float64(-n))
}

// readRequest reads the body of a request to its end, up to maxSize bytes. length is the
// number of bytes that the client announced, or negative. It returns the number of reserved
// bytes, which the caller must release, or errNoMemory, errTooLong or an error of the body.
func (l *byteLimiter) readRequest(body io.Reader, length, maxSize int64) (b []byte, reserved int64, err error) {
	r := limitedRead{limiter: l, limit: l.limit, chunk: firstBodyBytes, maxSize: maxSize}
	if length >= 0 {
		// One byte more shows the end without another chunk.
		r.chunk = length + 1
	}
	return r.readAll(body)
}

// readResponse reads a response body to its end, up to maxResponseBytes. It returns the
// number of reserved bytes, which the caller must release. A response that does not end, or
// that finds no memory, is given up.
func (l *byteLimiter) readResponse(body io.Reader) (b []byte, reserved int64, err error) {
	r := limitedRead{limiter: l, limit: l.limit + int64(responseShare*float64(l.limit)), chunk: firstResponseBytes, free: freeResponseBytes, maxSize: maxResponseBytes}
	b, reserved, err = r.readAll(body)
	return b, reserved, eris.Wrapf(err, "after %d bytes", r.size)
}

// limitedRead reads one body. All memory is reserved before it is allocated.
type limitedRead struct {
	limiter *byteLimiter
	// limit is the number of held bytes of the limiter that the body may not exceed.
	limit int64
	// chunk is the size of the next chunk.
	chunk int64
	// free is the size up to which the body needs no reservation.
	free    int64
	maxSize int64

	chunks   [][]byte
	size     int64
	capacity int64
	reserved int64
}

func (r *limitedRead) readAll(body io.Reader) (b []byte, reserved int64, err error) {
	if b, err = r.read(body); err != nil {
		r.limiter.release(r.reserved)
		return nil, 0, err
	}
	return b, r.reserved, nil
}

func (r *limitedRead) read(body io.Reader) ([]byte, error) {
	for {
		if r.size == r.capacity {
			if err := r.grow(); err != nil {
				return nil, err
			}
		}
		last := &r.chunks[len(r.chunks)-1]
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		r.size += int64(n)
		switch {
		case r.size > r.maxSize:
			return nil, errTooLong
		case errors.Is(err, io.EOF):
			return r.join()
		case err != nil:
			return nil, err
		}
	}
}

// grow adds a chunk.
func (r *limitedRead) grow() error {
	n := r.chunk
	if r.free > 0 && r.capacity <= r.free {
		// The byte beyond shows whether the body needs a reservation.
		n = min(n, r.free+1-r.capacity)
	}
	// One byte beyond the largest size shows that a body is too long.
	n = max(1, min(n, r.maxSize+1-r.capacity))
	if err := r.reserve(r.capacity + n); err != nil {
		return err
	}
	r.chunks = append(r.chunks, make([]byte, 0, n))
	r.capacity += n
	r.chunk = max(r.chunk, min(2*r.chunk, maxChunkBytes))
	return nil
}

// join returns the body in one piece.
func (r *limitedRead) join() ([]byte, error) {
	if len(r.chunks) == 1 {
		return r.chunks[0], nil
	}
	if r.reserved > 0 {
		if err := r.reserve(r.capacity + r.size); err != nil {
			return nil, err
		}
	}
	b := make([]byte, 0, r.size)
	for _, c := range r.chunks {
		b = append(b, c...)
	}
	if r.reserved > 0 {
		r.limiter.release(r.reserved - r.size)
		r.reserved = r.size
	}
	return b, nil
}

// reserve raises what is reserved to the given total, unless that is free.
func (r *limitedRead) reserve(total int64) error {
	if r.free > 0 && total <= r.free+1 {
		return nil
	}
	if !r.limiter.reserve(total-r.reserved, r.limit) {
		return errNoMemory
	}
	r.reserved = total
	return nil
}
