// Package admission decides which requests of a service a daemon starts, in
// which order, and which it refuses. A refusal is made before anything was
// sent to an upstream, so it is always true that the request has not run.
//
// Invariants:
//   - An account never has more requests in flight here than its local limit.
//   - While an account with a free limit waits, the account that received the
//     least service for its weight is served first, so a flood by one account
//     delays the others by at most one request each.
//   - A request is admitted or refused exactly once, and refused by its
//     deadline at the latest.
//
//gooseberryroad:pure
package admission
