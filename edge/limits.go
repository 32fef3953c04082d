package edge

import (
	"math"
	"syscall"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/clientconn"
)

const (
	// headMemoryShare is the part of the process's memory that heads of requests may take
	// before they are complete.
	headMemoryShare = 0.1
	// connectionMemoryShare is the part of the process's memory that the connections of
	// clients may take, and connectionBytes what one takes without a head and a request: its
	// goroutine and the buffers of net/http.
	connectionMemoryShare = 0.25
	connectionBytes       = 20 << 10
	// minConnections is allowed whatever the memory is.
	minConnections = 64
	// reservedFDs is the number of descriptors for the store, other daemons, listeners and
	// the like. The connections of clients get half of the others, since each request may
	// need a connection to an upstream.
	reservedFDs = 100
	// maxHeaderFields is more than a head of 16 KB, the largest of operators' configurations,
	// has if each field has the least size, which is four bytes.
	maxHeaderFields = 4200
	// headerSlack is what net/http accepts beyond MaxHeaderBytes.
	headerSlack = 4 << 10
	// usualHeadBytes and usualHeadTime are the largest head and the header timeout of
	// operators' configurations.
	usualHeadBytes = 16 << 10
	usualHeadTime  = 3 * time.Second
)

// clientLimits returns the limits for the connections of clients of a process that may have
// the given number of descriptors; 0 is unknown.
func (s Settings) clientLimits(processFDs int, memory clientconn.Memory) clientconn.Limits {
	return clientconn.Limits{
		MaxConnections: s.maxConnections(processFDs), MaxHeadBytes: maxHeaderBytes + headerSlack, MaxFields: maxHeaderFields, HeadTimeout: headerTimeout,
		UsualHeadBytes: usualHeadBytes, UsualHeadTime: usualHeadTime, Memory: memory,
	}
}

// maxConnections returns the largest number of connections of clients; 0 is no limit.
func (s Settings) maxConnections(processFDs int) int {
	limit := math.MaxInt
	for _, fds := range []int{s.MaxFDs, processFDs} {
		if fds > 0 {
			limit = min(limit, max(1, (fds-min(reservedFDs, fds/2))/2))
		}
	}
	if s.MemoryMB > 0 {
		limit = min(limit, max(minConnections, int(connectionMemoryShare*float64(s.MemoryMB<<20))/connectionBytes))
	}
	if limit == math.MaxInt {
		return 0
	}
	return limit
}

// processFDs returns the number of descriptors that the system allows the process; 0 if that is
// not known or not limited.
func processFDs() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return 0
	}
	return int(l.Cur)
}
