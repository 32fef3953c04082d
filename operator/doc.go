// Package operator is the HTTP API of the operator listener. Teams change their
// service documents through it, and it reports what the system did and why,
// metrics and health.
package operator
