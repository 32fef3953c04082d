// Package shedding decides what part of the requests for a service a daemon sends on while
// the service's upstreams have more work than they can do in time.
//
// Each daemon decides alone, from what upstreams report with the answers to its own requests
// and from the requests that they turn away. docs/design/shedding.md describes the design.
//
//gooseberryroad:pure
package shedding
