// Package peer carries messages between daemons over yamux sessions on TCP.
// Both ends prove that they hold the shared key before any other message is read.
package peer
