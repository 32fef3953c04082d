// Package usage counts the requests of client accounts by windows of time, and decides which
// counts are reported for a window and when a report is sent. Each daemon has a Counter; the
// daemon that holds the duty of usage reports has a Collector with the counts of all daemons.
//
// A Counter and a Collector have no lock: their owner serialises the calls.
//
//gooseberryroad:pure
package usage
