// Package routes holds the operators' configuration of services, routes and
// client accounts, and finds the route and the account of a request.
//
// A Table is immutable: a new configuration makes a new Table. Readers therefore
// need no lock and never see parts of two versions.
//
//gooseberryroad:pure
package routes
