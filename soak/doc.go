// Package soak runs the real daemons as separate processes on the loopback
// interface, injects faults into them and their surroundings, and checks the
// requests and answers that callers and upstreams observe against the promises. A
// seed determines the faults.
package soak
