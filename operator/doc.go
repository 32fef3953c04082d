// Package operator serves the HTTP API of the operator listener. Teams change their
// service documents through it, and it reports metrics, health, and what the system
// did and why.
package operator
