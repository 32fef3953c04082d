// Package tokenlog stores the tokens of one answer compactly.
//
//gooseberryroad:pure
package tokenlog
