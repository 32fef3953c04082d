// Package httpsd is the driver for VM lists in the format of Prometheus HTTP
// service discovery.
package httpsd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/kernel"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

// ID is the module ID of this driver.
const ID = "vmlist.httpsd"

// DefaultPath is the path of the list if the parameter path is not set.
const DefaultPath = "/targets"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func(o kernel.Options) (any, error) {
		return newFromParams(o)
	}})
}

// Options configure a Lister. A zero field takes its default.
type Options struct {
	// Address is the HOST:PORT of the server of the list, Path the list's path.
	Address string
	Path    string
	// Timeout bounds one call of List. The default is 2 s.
	Timeout time.Duration
}

// maxListBytes bounds the body of a response. The list is expected to hold about
// 3,000 VMs of 200 bytes each.
const maxListBytes = 16 << 20

// Lister implements vmlist.Lister.
type Lister struct {
	options Options
	// transport opens a connection for each call: the list is read only every few
	// seconds, and a pooled connection may have stopped responding for good.
	transport *http.Transport
}

var _ vmlist.Lister = (*Lister)(nil)

// New returns a Lister.
func New(o Options) *Lister {
	if o.Path == "" {
		o.Path = DefaultPath
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	return &Lister{options: o, transport: &http.Transport{
		DialContext:       (&net.Dialer{}).DialContext,
		DisableKeepAlives: true,
	}}
}

func newFromParams(k kernel.Options) (*Lister, error) {
	if _, _, err := net.SplitHostPort(k.Address); err != nil {
		return nil, eris.Errorf("address must be HOST:PORT, not %q", k.Address)
	}
	o := Options{Address: k.Address}
	for key, value := range k.Params {
		switch key {
		case "path":
			if !strings.HasPrefix(value, "/") {
				return nil, eris.Errorf("parameter path must begin with /, not %q", value)
			}
			o.Path = value
		case "timeout":
			d, err := time.ParseDuration(value)
			if err != nil || d < 10*time.Millisecond || d > time.Minute {
				return nil, eris.Errorf("parameter timeout must be a duration from 10ms to 1m, not %q", value)
			}
			o.Timeout = d
		default:
			return nil, eris.Errorf("unknown parameter %q; known: path, timeout", key)
		}
	}
	return New(o), nil
}

// List implements vmlist.Lister. It returns either the complete list or an error.
func (l *Lister) List(ctx context.Context) ([]vmlist.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: l.options.Address, Path: l.options.Path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "make the request")
	}
	req.Header.Set("Accept", "application/json")
	res, err := l.transport.RoundTrip(req)
	if err != nil {
		return nil, eris.Wrap(err, "read the VM list")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "read the VM list")
	case res.StatusCode != http.StatusOK:
		return nil, eris.Errorf("server of the VM list responded with status %d", res.StatusCode)
	case len(b) > maxListBytes:
		return nil, eris.Errorf("VM list is larger than %d bytes", maxListBytes)
	}
	return parse(b)
}

// targetGroup is a group of targets in the published format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// parse decodes the list. A VM without the label name, or in a group of several
// targets, takes its address as its name. A state other than "live" counts as
// leaving, because a VM in an unknown state should get no new work. A VM without a
// state counts as live.
func parse(b []byte) ([]vmlist.VM, error) {
	var groups []targetGroup
	if err := json.Unmarshal(b, &groups); err != nil {
		return nil, eris.Wrap(err, "VM list is not valid JSON")
	}
	if groups == nil {
		return nil, eris.New("VM list is null instead of a list")
	}
	vms := []vmlist.VM{}
	for _, g := range groups {
		state := g.Labels["state"]
		for _, target := range g.Targets {
			if _, _, err := net.SplitHostPort(target); err != nil {
				return nil, eris.Errorf("target %q of the VM list is not HOST:PORT", target)
			}
			vm := vmlist.VM{
				Name: g.Labels["name"], Address: target, DataCentre: g.Labels["datacentre"],
				Role: g.Labels["role"], Leaving: state != "" && state != "live",
			}
			if vm.Name == "" || len(g.Targets) > 1 {
				vm.Name = target
			}
			vms = append(vms, vm)
		}
	}
	return vms, nil
}
