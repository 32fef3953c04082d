// Package vmlist is the interface to the platform's lagging list of live and
// leaving VMs.
package vmlist

import "context"

// VM is one entry of the platform's list.
type VM struct {
	Name       string
	Address    string // HOST:PORT
	DataCentre string
	// Role is "daemon" or "upstream".
	Role    string
	Leaving bool
}

// Lister reads the list. It is safe for concurrent use.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}
