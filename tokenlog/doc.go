// Package tokenlog stores the tokens and the text of one answer in little memory.
//
//gooseberryroad:pure
package tokenlog
