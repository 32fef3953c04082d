// Package duty decides which daemon acts for a subject, such as the usage reports of a
// deployment. The holder of a subject has a record in the store under a lease. It takes
// the record by one transaction on two keys, renews the lease and stops acting, by its own
// clock, before the lease can have expired in the store.
//
// A Machine has no lock: its owner serialises the calls.
//
//gooseberryroad:pure
package duty
