// Package node composes the control decisions of a daemon into one state
// machine, which takes events and the current time and returns actions.
// Traffic goroutines read its snapshot.
//
//gooseberryroad:pure
package node
