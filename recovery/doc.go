// Package recovery decides how one generation survives the loss of engines and
// connections. A Generation is owned by one goroutine, which feeds it events
// and carries out its actions.
//
// A silent or broken connection is first replaced at the same upstream, which
// costs the engine nothing. Only when that fails does the generation move to
// another upstream, with the delivered text as prefix.
//
//gooseberryroad:pure
package recovery
