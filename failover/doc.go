// Package failover decides how a stream of events continues after the loss of its
// upstream: after which silence the upstream is probed, when it counts as lost, and
// whether the stream continues at an upstream that holds a copy of its KV cache or
// is computed again at any other.
//
// A Stream has no I/O and one owner, which reports events to it and carries out
// the steps that it returns.
//
//gooseberryroad:pure
package failover
