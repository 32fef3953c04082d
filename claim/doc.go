// Package claim decides whether a non-idempotent request may run. A claim is a
// record in the key-value store under a key made from service, account and
// idempotency key. Only compare-and-swap on this record decides which request
// runs; no clock, lease or membership is involved.
//
// The record changes only by these transitions, each one compare-and-swap:
//
//	absent     -> claimed(n)  by the request with nonce n
//	released   -> claimed(n)  by the request with nonce n
//	claimed(n) -> done(n)     by the request with nonce n, after its reply
//	claimed(n) -> released    by the request with nonce n, if it never ran
//	absent     -> released    by a request that gave up an unresolved write
//	released   -> released    likewise; this changes the index
//	released   -> absent      by the sweeper, after the retention
//	done       -> absent      by the sweeper, after the retention
//
// A record in state claimed is never taken over, changed or deleted by anyone
// but its holder. A daemon that is paused between its confirmed write and Run
// therefore still holds the only right to run when it resumes, however long it
// was paused. A daemon that is paused before its write is confirmed either
// finds its nonce in a claimed record, which nobody else could have changed,
// or finds another record and does not run. A request that gave up never emits
// Run afterwards, whatever results arrive late.
//
// The two transitions to released by a request that gave up make an earlier
// write of the same request fail if it is still in flight: that write expects
// an index which the record no longer has.
//
//gooseberryroad:pure
package claim
