package registry

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxSlots is more than any upstream can run at once.
	maxSlots = 1 << 20
	// maxStartUnixMilli is the end of the year 9999.
	maxStartUnixMilli = 253402300799999
)

// Validate returns an error for an instance that cannot be an upstream: other writers
// of the store may leave entries with any content.
func (in Instance) Validate() error {
	address, err := netip.ParseAddrPort(in.Address)
	switch {
	case in.ID == "" || strings.ContainsFunc(in.ID, func(r rune) bool { return r <= ' ' || r > '~' }):
		return eris.New("the ID is empty or cannot be sent in a header")
	case in.Service == "" || in.DataCentre == "":
		return eris.New("the service or the data centre is missing")
	case err != nil || address.Port() == 0:
		return eris.Errorf("the address %.50q is not an IP address with a port", in.Address)
	case in.Slots < 0 || in.Slots > maxSlots:
		return eris.Errorf("%d slots are out of range", in.Slots)
	case in.StartUnixMilli < 0 || in.StartUnixMilli > maxStartUnixMilli:
		return eris.Errorf("the start %d is out of range", in.StartUnixMilli)
	}
	return nil
}
