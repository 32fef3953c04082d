// Package rollout moves a service from its serving version to the next one by
// the document's deadline, or rolls the move back.
//
// Every daemon runs one Mover per service. The state of a move is one record in
// the store. One daemon, the owner, writes it by compare-and-swap, and each
// write raises the fence (the fencing token) by one. The share of the new
// version is a function of the record and the time, so a move goes on while its
// owner or the store is down. Every daemon judges the new version on its own
// samples; the owner also judges the merged windows of all daemons. A verdict
// that the new version is bad becomes an Alarm, which daemons send to each other
// without the store.
//
//gooseberryroad:pure
package rollout
