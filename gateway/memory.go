package gateway

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// reservedForUnknownLength is the number of bytes that are reserved for a body
// whose length is not known before it is read.
const reservedForUnknownLength = 256 << 10

// freeResponseBytes is the size up to which a response needs no reservation. Ordinary
// responses are smaller.
const freeResponseBytes = 64 << 10

// byteLimiter bounds the total size of the request bodies and long response bodies
// that are held at once. A request's body is held until the request ends, because it
// may have to be sent again.
type byteLimiter struct {
	held  atomic.Int64
	limit int64
}

// reserve reserves n bytes and reports whether they fit into the limit; a limit
// of 0 is no limit.
func (l *byteLimiter) reserve(n int64) bool {
	if held := l.held.Add(n); l.limit > 0 && held > l.limit {
		l.held.Add(-n)
		return false
	}
	return true
}

// readResponse reads a response body to its end, up to maxResponseBytes. It returns
// the number of reserved bytes, which the caller must release, also after an error: a
// response that does not end, or that finds no memory, is given up.
func (l *byteLimiter) readResponse(body io.Reader) (b []byte, reserved int64, err error) {
	b, err = io.ReadAll(io.LimitReader(body, freeResponseBytes+1))
	for err == nil && len(b) > freeResponseBytes {
		if len(b) > maxResponseBytes {
			return nil, reserved, eris.Errorf("response is longer than %d bytes", maxResponseBytes)
		}
		// What is read next may double the memory that is held.
		step := int64(len(b))
		if !l.reserve(step) {
			return nil, reserved, eris.Errorf("no memory for more than %d bytes of a response", len(b))
		}
		reserved += step
		var more []byte
		more, err = io.ReadAll(io.LimitReader(body, step))
		b = append(b, more...)
		if int64(len(more)) < step {
			break
		}
	}
	return b, reserved, err
}

func (l *byteLimiter) release(n int64) { l.held.Add(-n) }
