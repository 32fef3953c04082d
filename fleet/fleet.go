// Package fleet runs a complete small deployment in one process on loopback:
// daemons, and stand-ins for model engines, plain services and the platform's
// key-value service. The demo and the bench use it. Daemons and stand-ins run
// their usual code and talk over real sockets; only the process is shared.
package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/daemon"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/settings"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// Names in the documents and settings of every fleet.
const (
	Model        = "dedication-7b"
	ModelService = "dedication"
	PlainService = "tags"
	Team         = "registro"
	TeamKey      = "team-key-of-the-registro"
	Region       = "rio-plata"
)

// Options set the size and the parts of a fleet.
type Options struct {
	Daemons     int
	Engines     int
	DataCentres int
	Accounts    int
	// Engine holds the options of each engine; Model and Version are replaced.
	Engine standin.EngineOptions
	// PlainReplicas is the number of replicas of the plain service; with 0
	// there is no plain service.
	PlainReplicas int
	Logger        *slog.Logger
	// NextEngines is the number of further engines, of version v2, that the
	// first document names. They get no work until a move begins.
	NextEngines int
	// ForwardStore puts a Forwarder between the store and the daemons of each
	// data centre.
	ForwardStore bool
	// NoResume states in the document that engines do not resume, so that
	// every loss needs a continuation. Experiments use it for comparison.
	NoResume bool
	// NoSeeds starts daemons without seeds, so that they do not connect to
	// each other. Experiments use it for comparison.
	NoSeeds bool
	// DrainNotice and DrainDeadline are the settings notice and deadline of
	// the daemons' section [drain].
	DrainNotice, DrainDeadline time.Duration
}

// Fleet is a running deployment.
type Fleet struct {
	o             Options
	Store         *standin.Store
	Engines       []*Engine
	PlainReplicas []*standin.Service
	// StoreLinks holds the forwarders to the store by data centre; see
	// Options.ForwardStore.
	StoreLinks map[string]*Forwarder
	http       *http.Client

	mu      sync.Mutex
	daemons []*daemon.Daemon // by number; nil while one starts and after its removal
}

// Engine is a stand-in engine with its name, data centre and the version it
// was started with.
type Engine struct {
	*standin.Engine
	Name, DataCentre, Version string
}

// Start starts the stand-ins and daemons, applies the documents and waits until
// every daemon has them in force. Without daemons it starts the stand-ins only.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{o: o, http: &http.Client{Timeout: 10 * time.Second}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) (err error) {
	if f.Store, err = standin.StartStore(ctx, standin.StoreOptions{}); err != nil {
		return eris.Wrap(err, "start the store")
	}
	if f.o.ForwardStore {
		f.StoreLinks = map[string]*Forwarder{}
		for n := range max(f.o.DataCentres, 1) {
			if f.StoreLinks[f.dataCentre(n)], err = NewForwarder(f.Store.Address()); err != nil {
				return err
			}
		}
	}
	for range f.o.Engines {
		if _, err := f.AddEngine(ctx, "v1"); err != nil {
			return err
		}
	}
	for range f.o.NextEngines {
		if _, err := f.AddEngine(ctx, "v2"); err != nil {
			return err
		}
	}
	for range f.o.PlainReplicas {
		s, err := standin.StartService(ctx, standin.ServiceOptions{})
		if err != nil {
			return eris.Wrap(err, "start a plain service")
		}
		f.PlainReplicas = append(f.PlainReplicas, s)
	}
	for range f.o.Daemons {
		if _, err := f.AddDaemon(ctx); err != nil {
			return err
		}
	}
	if f.o.Daemons == 0 {
		return nil
	}
	if err := f.Apply(ctx, ModelService, f.Document(Versions{Serving: "v1"})); err != nil {
		return err
	}
	if f.o.PlainReplicas > 0 {
		if err := f.Apply(ctx, PlainService, f.plainDocument()); err != nil {
			return err
		}
	}
	return nil
}

// AddEngine starts one more engine with the given version. It gets work once a
// document names it.
func (f *Fleet) AddEngine(ctx context.Context, version string) (*Engine, error) {
	o := f.o.Engine
	o.Model, o.Version = Model, version
	e, err := standin.StartEngine(ctx, o)
	if err != nil {
		return nil, eris.Wrap(err, "start an engine")
	}
	n := len(f.Engines)
	added := &Engine{Engine: e, Name: fmt.Sprintf("e%02d", n), DataCentre: f.dataCentre(n), Version: version}
	f.Engines = append(f.Engines, added)
	return added, nil
}

func (f *Fleet) dataCentre(n int) string { return fmt.Sprintf("dc%d", n%max(f.o.DataCentres, 1)) }

// Settings returns the text of the settings of the daemon with number n, which
// also sets its data centre.
func (f *Fleet) Settings(n int, seeds []string) string {
	return fmt.Sprintf(`
[daemon]
name = d%02d
datacentre = %s
region = %s
caller_address = 127.0.0.1:0
operator_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
[store]
address = %s
[peers]
seeds = %s
key = key of the peers of a fleet
[cursor]
key = key of the cursors of a fleet
[drain]
notice = %s
deadline = %s
[team.%s]
key_sha256 = %s
`, n, f.dataCentre(n), Region, f.storeAddress(f.dataCentre(n)), strings.Join(seeds, ","), f.o.DrainNotice, f.o.DrainDeadline, Team, document.HashKey(TeamKey))
}

func (f *Fleet) storeAddress(dataCentre string) string {
	if l := f.StoreLinks[dataCentre]; l != nil {
		return l.Address()
	}
	return f.Store.Address()
}

// AddDaemon starts one more daemon. Its seeds are the live daemons, unless
// Options.NoSeeds is set.
func (f *Fleet) AddDaemon(ctx context.Context) (*daemon.Daemon, error) {
	f.mu.Lock()
	n := len(f.daemons)
	f.daemons = append(f.daemons, nil)
	f.mu.Unlock()
	var seeds []string
	for _, d := range f.LiveDaemons() {
		if !f.o.NoSeeds {
			seeds = append(seeds, d.PeerAddress())
		}
	}
	text := f.Settings(n, seeds)
	s, problems := settings.Parse("fleet", []byte(text))
	if len(problems) > 0 {
		return nil, problems
	}
	d, err := daemon.New(daemon.Options{Settings: s, Logger: f.o.Logger})
	if err != nil {
		return nil, err
	}
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.daemons[n] = d
	f.mu.Unlock()
	return d, nil
}

// AccountKey returns the bearer key of an account.
func AccountKey(n int) string { return fmt.Sprintf("key-of-account-%d", n) }

// Versions holds the fields of the section [versions] of a document.
type Versions struct {
	Serving, Next string
	Deadline      time.Time
	Warm          time.Duration
}

// Document returns the document of the model service with all engines.
func (f *Fleet) Document(v Versions) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %s\nteam = %s\nkind = model\nmodel = %s\nresumes = %t\npriorities = true\n", ModelService, Team, Model, !f.o.NoResume)
	f.versions(&b, v)
	for _, e := range f.Engines {
		fmt.Fprintf(&b, "[upstream.%s]\naddress = %s\ndatacentre = %s\nregion = %s\nversion = %s\n", e.Name, e.Address(), e.DataCentre, Region, e.Version)
	}
	f.accounts(&b)
	return b.String()
}

func (f *Fleet) versions(b *strings.Builder, v Versions) {
	fmt.Fprintf(b, "[versions]\nserving = %s\n", v.Serving)
	if v.Next != "" {
		fmt.Fprintf(b, "next = %s\ndeadline = %s\n", v.Next, v.Deadline.Format(time.RFC3339))
	}
	if v.Warm > 0 {
		fmt.Fprintf(b, "warm = %s\n", v.Warm)
	}
}

func (f *Fleet) accounts(b *strings.Builder) {
	for i := range max(f.o.Accounts, 1) {
		fmt.Fprintf(b, "[account.a%d]\nkey_sha256 = %s\n", i, document.HashKey(AccountKey(i)))
	}
}

func (f *Fleet) plainDocument() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %s\nteam = %s\nkind = plain\n", PlainService, Team)
	f.versions(&b, Versions{Serving: "v1"})
	for i, s := range f.PlainReplicas {
		fmt.Fprintf(&b, "[upstream.p%d]\naddress = %s\ndatacentre = %s\nregion = %s\nversion = v1\n", i, s.Address(), f.dataCentre(i), Region)
	}
	b.WriteString("[route.register]\npath = /tags\nmethods = POST\n[route.lookup]\npath = /tags/*\nmethods = GET\nidempotent = true\n")
	f.accounts(&b)
	return b.String()
}

// Apply writes a document through the first live daemon's operator API and
// waits until every daemon has it in force.
func (f *Fleet) Apply(ctx context.Context, service, text string) error {
	daemons := f.LiveDaemons()
	if len(daemons) == 0 {
		return eris.New("no daemon is alive")
	}
	return f.ApplyThrough(ctx, daemons[0], service, text)
}

// ApplyThrough is like Apply, but writes through the given daemon.
func (f *Fleet) ApplyThrough(ctx context.Context, writer *daemon.Daemon, service, text string) error {
	daemons := f.LiveDaemons()
	_, current := f.Store.Value("config/" + service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+writer.OperatorAddress()+"/v1/services/"+service, bytes.NewReader([]byte(text)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+TeamKey)
	req.Header.Set("If-Match", fmt.Sprint(current))
	res, err := f.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "apply a document")
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return eris.Wrap(err, "apply a document")
	}
	if res.StatusCode/100 != 2 {
		return eris.Errorf("apply %s: status %d: %s", service, res.StatusCode, body)
	}
	_, revision := f.Store.Value("config/" + service)
	return f.WaitFor(ctx, func() bool {
		for _, d := range daemons {
			view := d.Loop().Snapshot().Services[service]
			if view == nil || view.Revision < revision {
				return false
			}
		}
		return true
	})
}

// LiveDaemons returns the started daemons that have not been removed.
func (f *Fleet) LiveDaemons() []*daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*daemon.Daemon
	for _, d := range f.daemons {
		if d != nil {
			live = append(live, d)
		}
	}
	return live
}

// RemoveDaemon removes the daemon with number i from the fleet and returns it,
// for the caller to Kill or Stop. It returns nil if the daemon was removed before.
func (f *Fleet) RemoveDaemon(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.daemons[i]
	f.daemons[i] = nil
	return d
}

// Metric reads the value of a metric from the operator API of a daemon. It
// returns false if the daemon does not answer or has no such metric.
func (f *Fleet) Metric(ctx context.Context, d *daemon.Daemon, name string) (float64, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.OperatorAddress()+"/metrics", http.NoBody)
	if err != nil {
		return 0, false
	}
	res, err := f.http.Do(req)
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v, err == nil
		}
	}
	return 0, false
}

// KillDaemon removes the daemon with number i and ends it without a drain, as the
// loss of its VM would.
func (f *Fleet) KillDaemon(i int) {
	if d := f.RemoveDaemon(i); d != nil {
		d.Kill()
	}
}

// CallerAddresses returns the caller addresses of the live daemons, rotated to
// begin with the one at index first, as a load balancer would spread callers.
func (f *Fleet) CallerAddresses(first int) []string {
	live := f.LiveDaemons()
	out := make([]string, len(live))
	for i := range live {
		out[i] = live[(first+i)%len(live)].CallerAddress()
	}
	return out
}

// pollInterval is the time between two checks of the condition in WaitFor.
const pollInterval = 5 * time.Millisecond

// WaitFor returns nil once the condition holds, or an error if ctx ends first.
func (f *Fleet) WaitFor(ctx context.Context, condition func() bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !condition() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the fleet did not reach the expected state")
		}
	}
	return nil
}

// Close kills the live daemons and closes all stand-ins and forwarders.
func (f *Fleet) Close() {
	for _, d := range f.LiveDaemons() {
		d.Kill()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.PlainReplicas {
		s.Close()
	}
	for _, l := range f.StoreLinks {
		if l != nil {
			l.Close()
		}
	}
	if f.Store != nil {
		f.Store.Close()
	}
}
