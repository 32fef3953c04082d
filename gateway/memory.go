package gateway

import "sync/atomic"

// reservedForUnknownLength is the number of bytes that are reserved for a body
// whose length is not known before it is read.
const reservedForUnknownLength = 256 << 10

// byteLimiter bounds the total size of the request bodies that are held at
// once. A body is held until its request ends, because it may have to be sent
// again.
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

func (l *byteLimiter) release(n int64) { l.held.Add(-n) }
