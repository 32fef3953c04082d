// Package standin provides stand-ins for the systems outside gooseberryroad:
// model engine, key-value store, VM list and plain HTTP service. Each runs in
// process or as a subcommand, speaks the protocol of the real system, and
// injects faults on request through a Go API and through HTTP on a separate
// control listener. All listeners use loopback unless an address is given.
//
// Every control listener serves GET /control/stats, POST /control/faults, which
// replaces the active faults with those of the body (a JSON object of
// EngineFaults, StoreFaults, VMListFaults or ServiceFaults), and POST
// /control/hang, after which open connections stay silent for good while new
// ones work. Further calls are:
//
//   - engine and service: POST /control/die, start, pause and continue. The
//     body of the engine's hang call may name one generation,
//     {"generation":ID}, or give the number of new connections to hang,
//     {"accepted":N}.
//   - store: GET /control/keys?prefix=P, and GET, PUT and DELETE
//     /control/kv/KEY, which bypass rate limits and faults.
//   - VM list: PUT /control/vms (all), PUT and DELETE /control/vms/NAME, and
//     POST /control/vms/NAME/leaving.
package standin
