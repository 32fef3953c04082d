// Package revision holds the accepted documents of all services. The revision
// of a document is the store index of its entry, or one more than the revision that
// it replaced: a store that was restored from an older copy gives indexes out again.
// Entries arrive from watches, lists and peers in any order and any number of times;
// the revision in force of a service never decreases.
//
//gooseberryroad:pure
package revision
