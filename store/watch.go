package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that a watch cannot continue, because the service
// dropped its history. The watcher has to read the whole range again.
var ErrCompacted = errors.New("the watch's history was dropped")

// ErrLeaseGone reports that a lease has ended.
var ErrLeaseExpired = errors.New("lease has ended")

// Change is one write or removal.
type Change struct {
	Entry
	Deleted bool
}

// Page is a part of a range. The pages of a range are not a snapshot.
type Page struct {
	Entries []Entry
	// Revision is the store's at the time of the page.
	Revision uint64
	// More says that entries follow.
	More bool
}

// Watcher reads ranges and their changes. Not every driver offers it.
type Watcher interface {
	// RangePage returns entries below prefix, by key, that follow the key after.
	RangePage(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes below prefix after a revision as soon as there is
	// one, or none after wait, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Leaser writes keys that vanish with their writer.
type Leaser interface {
	// Grant opens a lease that ends after ttl.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// PutLeased writes key under a lease, whatever the key's revision is, or returns
	// ErrLeaseGone.
	PutLeased(ctx context.Context, key string, value []byte, lease uint64) error
}
