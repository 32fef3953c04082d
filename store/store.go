// Package store defines the interface to the platform's key-value service, the
// only place that keeps state when all VMs are replaced.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform's service accepts.
const MaxValueBytes = 1 << 20

// MaxTxnOps is the maximum number of operations in one transaction.
const MaxTxnOps = 64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Index is the revision of the entry: the store's index at the entry's last
	// write. The store's index grows with every write of any key. The next
	// compare-and-swap of the key must give this index.
	Index uint64
}

// Op is one operation of a transaction: a compare-and-swap of Key.
type Op struct {
	Key   string
	Value []byte
	// Index is the index that the key must have; 0 creates the key.
	Index uint64
}

// OpResult is the outcome of one operation of a transaction.
type OpResult struct {
	// Index is the new index of the key if the transaction took effect.
	Index uint64
	// Conflict is set if the operation made the transaction fail.
	Conflict bool
}

// Store is a client of the key-value service. It is safe for concurrent use. Its
// methods return ErrUnavailable when a call failed without effect.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound when the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix and the index of the list. If waitIndex
	// is above 0, the call is a watch: it returns once the index of the list is
	// above waitIndex, or with the unchanged list after wait.
	List(ctx context.Context, prefix string, waitIndex uint64, wait time.Duration) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key has the given index; index 0 creates
	// the key. It returns the new index, ErrConflict when the key has another
	// index, and ErrUnknown when the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error)
	// Txn applies either all of at most MaxTxnOps operations or none. On a conflict
	// it returns ErrConflict together with results that mark the operations in
	// conflict, and ErrUnknown when the transaction may have taken effect.
	Txn(ctx context.Context, ops []Op) ([]OpResult, error)
}

// The texts of ErrUnavailable, ErrUnknown and ErrConflict are sent to operators in
// responses of the HTTP API.
var (
	// ErrNotFound reports that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports that a key has another index than expected.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrUnavailable reports that a call to the store failed and that a write has
	// not taken effect.
	ErrUnavailable = errors.New("store is out of reach")
	// ErrUnknown reports that a write may have taken effect, because its response
	// was lost.
	ErrUnknown = errors.New("store answer was lost; the write may have taken effect")
)
