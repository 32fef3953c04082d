// Package kernel is the registry of modules (drivers). A module registers itself by
// ID in an init function, and the command imports the modules it ships with.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Module is one driver that registers itself.
type Module struct {
	// ID is NAMESPACE.NAME, such as "engine.completions".
	ID string
	// New makes an instance. The instance implements the interface of the
	// namespace: engine.Client, store.Store or vmlist.Lister.
	New func(Options) (any, error)
}

// Options configure an instance of a module.
type Options struct {
	// Address is the HOST:PORT of the system that the driver talks to, where
	// there is a single one.
	Address string
	// Params holds further settings of the driver by key.
	Params map[string]string
}

var (
	mu      sync.Mutex
	modules = map[string]Module{}
)

// Register adds a module. A second module with the same ID is a programming
// error and panics.
func Register(m Module) {
	mu.Lock()
	defer mu.Unlock()
	if !strings.Contains(m.ID, ".") || m.New == nil {
		panic(fmt.Sprintf("kernel: module %q needs an ID of the form NAMESPACE.NAME and a constructor", m.ID))
	}
	if _, ok := modules[m.ID]; ok {
		panic(fmt.Sprintf("kernel: module %q is registered twice", m.ID))
	}
	modules[m.ID] = m
}

// IDs returns the sorted IDs of the modules of a namespace.
func IDs(namespace string) []string {
	mu.Lock()
	defer mu.Unlock()
	var ids []string
	for id := range modules {
		if strings.HasPrefix(id, namespace+".") {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Load makes an instance of the module with the given ID. It returns an error when
// the module is unknown, its constructor fails or the instance is not a T.
func Load[T any](id string, o Options) (T, error) {
	var zero T
	mu.Lock()
	m, ok := modules[id]
	mu.Unlock()
	if !ok {
		ns, _, _ := strings.Cut(id, ".")
		return zero, fmt.Errorf("unknown module %q; known: %s", id, strings.Join(IDs(ns), ", "))
	}
	v, err := m.New(o)
	if err != nil {
		return zero, fmt.Errorf("module %s: %w", id, err)
	}
	t, ok := v.(T)
	if !ok {
		return zero, fmt.Errorf("module %s does not implement %T", id, &zero)
	}
	return t, nil
}

// ParseDurations parses the parameters of a driver into the fields with the same
// keys. It returns an error for an unknown key, and for a value that is not a
// duration from 10 ms to 1 minute: a timeout outside of this range probably has the
// wrong unit.
func ParseDurations(params map[string]string, fields map[string]*time.Duration) error {
	known := make([]string, 0, len(fields))
	for key := range fields {
		known = append(known, key)
	}
	sort.Strings(known)
	for key, value := range params {
		field, ok := fields[key]
		if !ok {
			return fmt.Errorf("unknown parameter %q; known: %s", key, strings.Join(known, ", "))
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < 10*time.Millisecond || d > time.Minute {
			return fmt.Errorf("parameter %s must be a duration from 10ms to 1m, not %q", key, value)
		}
		*field = d
	}
	return nil
}
