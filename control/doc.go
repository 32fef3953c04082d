// Package control runs the control decisions of a daemon. Loop runs a node.Node in
// one goroutine, carries out its actions on goroutines that do I/O, posts their
// results back as events and publishes snapshots through an atomic pointer.
package control
