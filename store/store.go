// Package store is the interface to the platform's key-value service, the
// only place that keeps state when all VMs are replaced.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value the platform's service takes.
const MaxValueBytes = 1 << 20

// MaxTxnOps is the largest number of operations in one transaction.
const MaxTxnOps = 64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Index rises with every write anywhere in the store. It is the revision
	// of the entry and the argument of the next compare-and-swap.
	Index uint64
}

// Op is one operation of a transaction: a compare-and-swap of Key. Index 0
// creates the key.
type Op struct {
	Key   string
	Value []byte
	Index uint64
}

// OpResult is the outcome of one operation of a transaction.
type OpResult struct {
	// Index is the new index of the key when the transaction took effect.
	Index uint64
	// Conflict is set on the operations that made the transaction fail.
	Conflict bool
}

// Store is a client of the key-value service. It is safe for concurrent use.
type Store interface {
	// Get returns ErrNotFound when the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix and the index of the list. With
	// waitIndex above 0 it is a watch: it returns once the list's index is
	// above waitIndex, or unchanged after wait.
	List(ctx context.Context, prefix string, waitIndex uint64, wait time.Duration) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's index is the given one; index 0
	// creates the key. It returns the new index, ErrConflict when the key has
	// another index, and ErrUnknown when the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error)
	// Txn applies at most MaxTxnOps operations, all or none. It returns
	// ErrConflict together with the results that name the conflicts.
	Txn(ctx context.Context, ops []Op) ([]OpResult, error)
}

var (
	// ErrNotFound reports that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports that a key has another index than expected.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrUnavailable reports that the store could not be reached and that a
	// write has not taken effect.
	ErrUnavailable = errors.New("store is out of reach")
	// ErrUnknown reports that the answer to a write was lost: it may have
	// taken effect.
	ErrUnknown = errors.New("store answer was lost; the write may have taken effect")
)
