// Package recovery implements the state machine that carries one generation
// through the loss of engines and connections. A Generation has no I/O and is
// owned by one goroutine, which passes it events and carries out its actions.
//
// A silent or broken connection is first replaced by a new one to the same
// upstream, which costs the engine no computation. Only when that fails does the
// generation move to another upstream, which gets the delivered text as prefix.
//
//gooseberryroad:pure
package recovery
