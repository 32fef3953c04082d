// Package headroom estimates the time to the first event of a stream at each engine, and
// decides whether the stream is placed at one of the engines that were asked, whether
// further ones are asked, or whether it is refused.
//
// A Tracker has no lock: its owner serialises the calls.
//
//gooseberryroad:pure
package headroom
