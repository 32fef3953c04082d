// Package membership decides which daemons are alive, which of them link to
// each other, which watch the store, and what state each upstream is in. It
// works from heartbeat counters, load reports, refusals, the platform's list of
// VMs and notices of peers, all of which may be late or missing.
//
//gooseberryroad:pure
package membership
