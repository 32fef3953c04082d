// Package placement orders the upstreams of a service for one request, by what
// this daemon knows of their load, latency and failures.
//
// A Tracker has no lock: its owner serialises the calls.
//
//gooseberryroad:pure
package placement
