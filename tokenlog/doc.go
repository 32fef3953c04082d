// Package tokenlog stores the tokens and the text of one answer compactly. Log
// is a queue of tokens in one byte slice; Text compresses delivered text in blocks.
//
//gooseberryroad:pure
package tokenlog
