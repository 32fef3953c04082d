// Package rollout moves a service from its serving version to the next one by
// the document's deadline, or rolls it back.
//
// Every daemon runs one Mover per service. The state of a move is one record,
// which the owner writes by compare-and-swap with a rising fence. The share of
// the new version is a function of the record and the time, so a move goes on
// without its owner and without the store. Every daemon judges the new version
// on its own samples; the owner also judges the merged windows of all daemons.
// A verdict becomes an Alarm that daemons pass to each other without the store.
//
//gooseberryroad:pure
package rollout
