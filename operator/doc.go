// Package operator is the HTTP API of the operator listener: changes of
// service documents by their teams, what the system did and why, metrics and
// health.
package operator
