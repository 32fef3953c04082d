package store

import (
	"errors"
	"fmt"
)

// Era counts how often the store was restored from an older copy. Everything that was
// written after the copy is then lost, and revisions go back and are assigned again. It is
// 0 for a store that tells no era.
type Era uint64

// revisionBits is the number of bits of an index that hold the revision. A store that
// assigns a thousand revisions a second needs 8,900 years for them.
const revisionBits = 48

// MaxEra is the largest era that an index can hold.
const MaxEra Era = 1<<(64-revisionBits) - 1

// At returns the index of a revision in an era. All indexes of this package, Entry.Index,
// Page.Revision and Condition.Index among them, are of this form, so that they are ordered
// by era first. In era 0 an index is the store's revision.
func At(e Era, revision uint64) uint64 {
	return uint64(e)<<revisionBits | revision&(1<<revisionBits-1)
}

// EraOf returns the era of an index.
func EraOf(index uint64) Era { return Era(index >> revisionBits) }

// RevisionOf returns the store's revision of an index within its era.
func RevisionOf(index uint64) uint64 { return index & (1<<revisionBits - 1) }

// Shown returns an index for logs: the revision in era 0, and the era before it otherwise.
func Shown(index uint64) any {
	if EraOf(index) == 0 {
		return index
	}
	return fmt.Sprintf("%d/%d", EraOf(index), RevisionOf(index))
}

// Eras knows the newest era that this daemon has learnt of.
type Eras interface {
	// Era returns the newest era.
	Era() Era
	// NoteEra records an era that another daemon has seen.
	NoteEra(e Era)
}

var (
	// ErrOlderEra reports that a response was ignored, because it is of an older era than
	// the newest one known.
	ErrOlderEra = errors.New("response of an older era of the store ignored")
	// ErrEraChanged reports that a write was conditional on a revision of another era than
	// the store's. The caller must read the key again.
	ErrEraChanged = errors.New("the store was restored from an older copy after the revision was read")
)
