// Package registry keeps the upstreams that registered themselves in the
// platform's store, and decides which of them may get work.
//
// An upstream whose entry is removed while the store works is gone and gets no more
// work. While the store is unavailable, the leases of live upstreams lapse too:
// upstreams whose entries vanish around an outage stay usable until they have had
// time to register again.
//
//gooseberryroad:pure
package registry
