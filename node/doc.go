// Package node composes the control decisions of a daemon into one state
// machine: events and the time in, actions out. Its snapshot is what traffic
// goroutines read.
//
//gooseberryroad:pure
package node
