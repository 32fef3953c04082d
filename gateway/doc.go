// Package gateway serves the requests of client accounts: it finds the route,
// checks the account, chooses upstreams and reports the outcome of the request
// to the client. A refusal with the outcome not_run is sent only if no upstream
// can have begun the request.
//
// The header names of a deployment and the calls that its upstreams understand
// are defined by a Protocol. This package decides only by the kinds of routes
// and the capabilities of engines.
package gateway
