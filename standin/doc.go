// Package standin has stand-ins for the systems outside gooseberryroad: model
// engine, key-value store, VM list and plain HTTP service. Each runs in
// process or as a subcommand, speaks the protocol of the real system, and
// injects faults through a Go API and through HTTP on a separate control
// listener. Everything listens on loopback unless an address is given.
package standin
