// Package routing chooses the upstream of a request.
//
//gooseberryroad:pure
package routing
