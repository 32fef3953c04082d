// Package vmlist defines the interface to the platform's list of live and leaving
// VMs, which lags behind their actual state.
package vmlist

import "context"

// VM is an entry of the platform's list.
type VM struct {
	Name       string
	Address    string // HOST:PORT
	DataCentre string
	// Role is "daemon" or "upstream".
	Role string
	// Leaving says that the VM should get no new work.
	Leaving bool
}

// Lister reads the platform's list. It is safe for concurrent use.
type Lister interface {
	// List returns the complete list or an error.
	List(ctx context.Context) ([]VM, error)
}
