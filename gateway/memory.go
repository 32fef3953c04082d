package gateway

import "sync/atomic"

// unknownBodyBytes is reserved for a body whose length is not known before it is
// read.
const reservedForUnknownLength = 256 << 10

// memory bounds the bytes of request bodies that are held at once. A body is
// held until its request ends, because it may have to be sent again.
type byteLimiter struct {
	held  atomic.Int64
	limit int64
}

// reserve takes n bytes, unless that exceeds the limit; a limit of 0 is none.
func (m *byteLimiter) reserve(n int64) bool {
	if held := m.held.Add(n); m.limit > 0 && held > m.limit {
		m.held.Add(-n)
		return false
	}
	return true
}

func (m *byteLimiter) release(n int64) { m.held.Add(-n) }
