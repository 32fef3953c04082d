package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that a watch cannot continue, because the service has
// deleted the history after its revision or the history is too long for one response.
// The watcher must read the whole range again.
var ErrCompacted = errors.New("the history that the watch needs is not available")

// ErrLeaseExpired reports that a lease does not exist any more.
var ErrLeaseExpired = errors.New("lease has expired")

// Change is a write or a removal of an entry.
type Change struct {
	Entry
	// Deleted is set for a removal.
	Deleted bool
}

// Page is a part of a range of entries. The pages of a range may have different
// revisions, so together they are not a snapshot.
type Page struct {
	Entries []Entry
	// Revision is the store's revision when the page was read.
	Revision uint64
	// More says that further pages follow.
	More bool
}

// Watcher reads ranges of entries and their changes. Not every client of a store
// implements it.
type Watcher interface {
	// RangePage returns the next entries below prefix in order of their keys, from
	// the first key after the key named by after. A page that mayBeStale can be some
	// seconds old and costs the store less.
	RangePage(ctx context.Context, prefix, after string, mayBeStale bool) (Page, error)
	// Watch returns the changes below prefix that follow the revision after, as soon
	// as there is one, or none after wait. It also returns the revision from which to
	// continue. It returns ErrCompacted when the watch cannot continue.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Condition is the revision that a key must have for a transaction to take effect.
type Condition struct {
	Key string
	// Index is 0 if the key must not exist.
	Index uint64
}

// LeasedEntry is a key that a transaction writes.
type LeasedEntry struct {
	Key   string
	Value []byte
	// Lease is the lease with which the key ends; 0 is none.
	Lease uint64
}

// Transaction writes and removes keys if all conditions hold, or does nothing.
type Transaction struct {
	Conditions []Condition
	Writes     []LeasedEntry
	Remove     []string
}

// Transactor writes under conditions on several keys and keeps leases.
type Transactor interface {
	// Commit applies a transaction. It returns the store's revision, ErrConflict when a
	// condition does not hold, ErrLeaseExpired when a lease has expired, and ErrUnknown
	// when the transaction may have taken effect, or may yet.
	Commit(ctx context.Context, t Transaction) (revision uint64, err error)
	// Read returns an entry as it is now; found is false if there is none.
	Read(ctx context.Context, key string) (e Entry, found bool, err error)
	// Grant creates a lease that expires after ttl.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// KeepAlive renews a lease for its whole time, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease; its keys are removed.
	Revoke(ctx context.Context, lease uint64) error
}

// Leaser writes keys that the store deletes when their lease expires, so that they
// are deleted when their writer stops.
type Leaser interface {
	// Grant creates a lease that expires after ttl.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// PutLeased writes a key under a lease, whatever the key's revision is. It
	// returns ErrLeaseExpired when the lease has expired.
	PutLeased(ctx context.Context, key string, value []byte, lease uint64) error
}
