package gateway

import (
	"context"

	"golang.org/x/sync/semaphore"

	"github.com/gooseberryroad/gooseberryroad/sse"
)

const (
	// maxQueuedEvents is the number of events that a run reads ahead of a slow client.
	maxQueuedEvents = 64
	// maxQueuedEventBytes bounds their size. It has room for one event of any size, and
	// for all of ordinary size.
	maxQueuedEventBytes = sse.MaxRawEventBytes
)

// eventQueue passes the messages of a run from the goroutine that reads them to the one
// that forwards them. It bounds the bytes that a stream holds, whatever its upstream
// sends.
type eventQueue struct {
	messages chan runMessage
	room     *semaphore.Weighted
}

func newEventQueue() *eventQueue {
	return &eventQueue{messages: make(chan runMessage, maxQueuedEvents), room: semaphore.NewWeighted(maxQueuedEventBytes)}
}

// send waits until there is room for a message. It returns false if ctx ends before.
func (q *eventQueue) send(ctx context.Context, m runMessage) bool {
	if q.room.Acquire(ctx, m.queuedBytes()) != nil {
		return false
	}
	select {
	case q.messages <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// taken makes room for more after a message was taken from messages.
func (q *eventQueue) taken(m runMessage) { q.room.Release(m.queuedBytes()) }

func (m runMessage) queuedBytes() int64 {
	return min(int64(len(m.event.Bytes)), maxQueuedEventBytes)
}
