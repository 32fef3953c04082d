package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// States of a VM in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one entry of the stand-in VM list.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Role       string `json:"role"`
	// State is StateLive or StateLeaving; empty is StateLive.
	State string `json:"state"`
}

// VMListOptions configure a stand-in VM list. A zero field takes its default.
type VMListOptions struct {
	Address string // default 127.0.0.1:0
	Control string // address of the HTTP control, default 127.0.0.1:0
	// Lag is the delay with which a change is published; 0 publishes at once.
	Lag time.Duration
	// VMs are published from the start, without the lag.
	VMs []VM
}

// VMListFaults are the active faults of a VM list. POST /control/faults
// replaces them.
type VMListFaults struct {
	// Down is DownRefuses, DownErrors, DownHangs or empty.
	Down string `json:"down,omitempty"`
	// Slow delays each call.
	Slow Duration `json:"slow,omitempty"`
	// Frozen keeps publishing the list that is published when it is set.
	Frozen bool `json:"frozen,omitempty"`
	// Truncate resets the connection in the middle of the answer.
	Truncate bool `json:"truncate,omitempty"`
}

// VMList is a running stand-in VM list.
type VMList struct {
	controlEndpoint
	o   VMListOptions
	srv *server

	mu     sync.Mutex
	faults VMListFaults
	// revisions of the list, oldest first; the oldest one is published.
	revisions []vmListRevision
	calls     int64
}

// vmListRevision is the list after the change that was made at a time.
type vmListRevision struct {
	at  time.Time
	vms []VM
}

// StartVMList starts a stand-in VM list. It runs until Close or the end of ctx.
func StartVMList(ctx context.Context, o VMListOptions) (*VMList, error) {
	setDefault(&o.Address, loopback)
	setDefault(&o.Control, loopback)
	l := &VMList{o: o, revisions: []vmListRevision{{vms: append([]VM{}, o.VMs...)}}}
	r := newRouter()
	r.GET("/targets", l.serve)
	l.srv = newServer(r)
	if err := l.srv.start(o.Address); err != nil {
		return nil, err
	}
	var err error
	if l.controlEndpoint, err = startControl(o.Control, l.controlRoutes); err != nil {
		l.srv.close()
		return nil, err
	}
	context.AfterFunc(ctx, l.Close)
	return l, nil
}

// Address is the HOST:PORT of the list; its path is /targets.
func (l *VMList) Address() string { return l.srv.address() }

// Close stops the list and its control listener.
func (l *VMList) Close() {
	l.srv.close()
	l.control.close()
}

// SetFaults replaces the active faults.
func (l *VMList) SetFaults(f VMListFaults) error {
	l.mu.Lock()
	l.dropReplaced(time.Now())
	l.faults = f
	l.mu.Unlock()
	if f.Down == DownRefuses {
		l.srv.stop()
		return nil
	}
	return l.srv.start(l.o.Address)
}

// HangOpenConnections makes the connections that are open now silent for good
// and returns their number.
func (l *VMList) HangOpenConnections() int { return l.srv.hangOpen() }

// Calls returns how often the list was requested.
func (l *VMList) Calls() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Set replaces the list; it is published after the lag.
func (l *VMList) Set(vms []VM) {
	l.change(func([]VM) []VM { return append([]VM{}, vms...) })
}

// Put adds a VM or replaces the one of the same name.
func (l *VMList) Put(vm VM) {
	l.change(func(vms []VM) []VM {
		for i := range vms {
			if vms[i].Name == vm.Name {
				vms[i] = vm
				return vms
			}
		}
		return append(vms, vm)
	})
}

// SetState changes the state of a VM.
func (l *VMList) SetState(name, state string) {
	l.change(func(vms []VM) []VM {
		for i := range vms {
			if vms[i].Name == name {
				vms[i].State = state
			}
		}
		return vms
	})
}

// Remove removes a VM from the list.
func (l *VMList) Remove(name string) {
	l.change(func(vms []VM) []VM {
		keep := vms[:0]
		for _, vm := range vms {
			if vm.Name != name {
				keep = append(keep, vm)
			}
		}
		return keep
	})
}

// change adds a revision: the result of f on a copy of the latest list.
func (l *VMList) change(f func([]VM) []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.dropReplaced(now)
	latest := append([]VM{}, l.revisions[len(l.revisions)-1].vms...)
	l.revisions = append(l.revisions, vmListRevision{at: now, vms: f(latest)})
}

// dropReplaced drops the revisions whose successor is due for publication. While
// the list is frozen it drops none.
func (l *VMList) dropReplaced(now time.Time) {
	if l.faults.Frozen {
		return
	}
	for len(l.revisions) > 1 && now.Sub(l.revisions[1].at) >= l.o.Lag {
		l.revisions = l.revisions[1:]
	}
}

// target is one target group of the published format.
type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (l *VMList) serve(c *gin.Context) {
	l.mu.Lock()
	l.calls++
	l.dropReplaced(time.Now())
	f := l.faults
	out := []target{}
	for _, vm := range l.revisions[0].vms {
		state := vm.State
		setDefault(&state, StateLive)
		out = append(out, target{Targets: []string{vm.Address}, Labels: map[string]string{
			"name": vm.Name, "datacentre": vm.DataCentre, "role": vm.Role, "state": state,
		}})
	}
	l.mu.Unlock()
	if !sleep(c.Request.Context(), time.Duration(f.Slow)) {
		return
	}
	switch {
	case f.Down == DownHangs:
		<-c.Request.Context().Done()
	case f.Down != "":
		c.Status(http.StatusInternalServerError)
	case f.Truncate:
		c.Header("Content-Type", "application/json")
		_, _ = c.Writer.WriteString("[{\"targets\":[\"127.0.0.1:1\"]")
		c.Writer.Flush()
		resetConnection(c)
	default:
		c.JSON(http.StatusOK, out)
	}
}

func (l *VMList) controlRoutes(r gin.IRouter) {
	ok := func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"ok": true}) }
	r.GET("/stats", func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"calls": l.Calls()}) })
	r.POST("/faults", func(c *gin.Context) {
		var f VMListFaults
		if !decodeBody(c, &f) {
			return
		}
		if err := l.SetFaults(f); err != nil {
			c.JSON(http.StatusInternalServerError, gin.H{"error": gin.H{"message": err.Error()}})
			return
		}
		ok(c)
	})
	r.POST("/hang", func(c *gin.Context) { l.HangOpenConnections(); ok(c) })
	r.PUT("/vms", func(c *gin.Context) {
		var vms []VM
		if decodeBody(c, &vms) {
			l.Set(vms)
			ok(c)
		}
	})
	r.PUT("/vms/:name", func(c *gin.Context) {
		vm := VM{}
		if decodeBody(c, &vm) {
			vm.Name = c.Param("name")
			l.Put(vm)
			ok(c)
		}
	})
	r.POST("/vms/:name/leaving", func(c *gin.Context) { l.SetState(c.Param("name"), StateLeaving); ok(c) })
	r.DELETE("/vms/:name", func(c *gin.Context) { l.Remove(c.Param("name")); ok(c) })
}
