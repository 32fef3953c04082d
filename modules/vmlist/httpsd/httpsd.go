// Package httpsd is the driver of VM lists in the Prometheus HTTP service
// discovery format.
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

// DefaultPath is the path of the list when the parameter path is not set.
const DefaultPath = "/targets"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func(o kernel.Options) (any, error) {
		return newFromParams(o)
	}})
}

// Options configure a Lister. A zero field has the default.
type Options struct {
	// Address is the HOST:PORT of the list, Path its path.
	Address string
	Path    string
	// Timeout bounds one reading of the list; 2 s.
	Timeout time.Duration
}

// maxListBytes bounds the list. The target size is about 3,000 VMs of 200
// bytes each.
const maxListBytes = 16 << 20

// Lister implements vmlist.Lister.
type Lister struct {
	o Options
	// t opens a connection for each call: the list is read every few seconds,
	// and a pooled connection may be silent for good.
	t *http.Transport
}

var _ vmlist.Lister = (*Lister)(nil)

// New makes a Lister.
func New(o Options) *Lister {
	if o.Path == "" {
		o.Path = DefaultPath
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	return &Lister{o: o, t: &http.Transport{
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

// List implements vmlist.Lister. The list is complete or an error is
// returned.
func (l *Lister) List(ctx context.Context) ([]vmlist.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, l.o.Timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: l.o.Address, Path: l.o.Path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "make the request")
	}
	req.Header.Set("Accept", "application/json")
	res, err := l.t.RoundTrip(req)
	if err != nil {
		return nil, eris.Wrap(err, "read the VM list")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "read the VM list")
	case res.StatusCode != http.StatusOK:
		return nil, eris.Errorf("VM list answered %d", res.StatusCode)
	case len(b) > maxListBytes:
		return nil, eris.Errorf("VM list is larger than %d bytes", maxListBytes)
	}
	return parse(b)
}

// group is one target group of the published format.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// parse reads the list. A VM without the label name, or in a group of several
// targets, is named by its address. Any state but "live" and none counts as
// leaving, because a VM in an unknown state should get no new work.
func parse(b []byte) ([]vmlist.VM, error) {
	var groups []group
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
