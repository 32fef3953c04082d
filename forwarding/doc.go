// Package forwarding decides whether a daemon that reaches no upstream of a service forwards
// requests to another daemon, and to which one. It has no I/O: callers pass the outcomes of
// their own connections, what other daemons report, and the time.
//
//gooseberryroad:pure
package forwarding
