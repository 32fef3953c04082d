// Package admission decides which requests of a service a daemon starts, in
// which order, and which it refuses. A request is refused before anything was
// sent to an upstream, so a refused request has certainly not run.
//
// Invariants:
//   - Admission never raises an account's requests in flight at this daemon above
//     the account's local limit.
//   - Among the waiting accounts that are below their local limit, the one that
//     received the least service for its weight is served first, so many requests
//     of one account delay the others by at most one request each.
//   - A request is admitted or refused exactly once, and refused by its
//     deadline at the latest.
//
//gooseberryroad:pure
package admission
