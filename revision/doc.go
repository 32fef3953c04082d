// Package revision holds the accepted documents of all services. The revision
// of a document is the store index of its entry. Entries arrive from watches,
// lists and peers in any order and any number of times; the revision in force
// of a service never decreases.
//
//gooseberryroad:pure
package revision
