// Package directory follows the platform's store: the operators' configuration,
// the upstreams that register themselves and the other daemons. One goroutine
// owns the state and publishes immutable views, which requests read without a
// lock.
//
// A daemon that gets no answer from the store asks other daemons for newer entries,
// so that it learns of a change while only some daemons see the store.
package directory
