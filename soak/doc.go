// Package soak runs the real daemons as separate processes on the loopback
// interface, injects faults into them and their surroundings, and checks by the
// requests and answers that callers and upstreams observe whether the promises to
// the users hold. A seed determines the faults.
package soak
