// Package document parses and validates service documents. One document
// describes one service, is owned by one team and is written in INI.
//
//gooseberryroad:pure
package document
