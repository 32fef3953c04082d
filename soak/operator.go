package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// daemonSeeds is the number of seeds that a daemon of the users' sites has at most.
	daemonSeeds = 3
	// maxStaleness is the greatest age of what serializable reads of the store return.
	maxStaleness = 3 * time.Second
	// probeService has probeReplicas upstreams. Routes are moved between it and the service
	// of the plain requests.
	probeService  = "probes"
	plainService  = "tags"
	probeReplicas = 2
	// minChangeInterval and maxChangeInterval bound the time between two versions of the
	// configuration, maxVersionStep the difference between their numbers.
	minChangeInterval = 200 * time.Millisecond
	maxChangeInterval = 2500 * time.Millisecond
	maxVersionStep    = 9
	// maxProbeRoutes and maxProbeKeys bound the additional routes and keys.
	maxProbeRoutes = 8
	maxProbeKeys   = 6
	// probeInterval is the time between two probes of a daemon.
	probeInterval = 30 * time.Millisecond
	probeTimeout  = 3 * time.Second
	// minCopyAge and maxCopyAge bound the age of the copy to which the store returns.
	minCopyAge = 1500 * time.Millisecond
	maxCopyAge = 6 * time.Second
	// maxRewriteDelay is the greatest time from the restore until the operator writes a lost
	// configuration again.
	maxRewriteDelay = 8 * time.Second
	// Daemons are killed from killsBefore before the outage of a restore until killsAfter
	// after it, each but one with a probability of minKillShare to 1, and started again within
	// maxDown. With the probability togetherShare, all are started only after the outage, so
	// that the seeds that a daemon asks are down or have just started, too. cutShare is the probability that a daemon is cut off from the store.
	killsBefore   = time.Second
	killsAfter    = 3 * time.Second
	minKillShare  = 0.6
	maxDown       = 1500 * time.Millisecond
	togetherShare = 0.5
	cutShare      = 0.25
)

// restoreWork lists the faults that come at the rate Options.Restores.
var restoreWork = []faultType{{WholeSystem, RestoreAndRestart}}

// randomTime returns a time between two bounds.
func randomTime(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(max(high-low, 1))))
}

// probe is a request whose handling tells something about the configuration in force: a
// route, which is the first part of its path, and a key.
type probe struct {
	route platformtest.Kind
	key   string
}

// outcome is how a daemon handles a probe: the service that ran it, or one of the refusals.
type outcome string

const (
	noRoute    outcome = "no route"
	unknownKey outcome = "unknown key"
)

// configuration is a version of the configuration.
type configuration struct {
	version int
	// written is when the operator began to write it.
	written  time.Time
	services map[platformtest.Kind]string
	keys     map[string]bool
}

// outcome returns how a daemon handles a probe if the configuration is in force.
func (c configuration) outcome(p probe) outcome {
	service, known := c.services[p.route]
	switch {
	case !known:
		return noRoute
	case !c.keys[p.key]:
		return unknownKey
	}
	return outcome(service)
}

// operator changes the configuration. Soak.mu guards its fields.
type operator struct {
	random *rand.Rand
	// current is the newest configuration, probes are what its versions changed.
	current configuration
	probes  []probe
}

func newOperator(seed uint64) *operator {
	return &operator{random: rand.New(rand.NewPCG(seed, operatorSequence)), current: configuration{
		services: map[platformtest.Kind]string{platformtest.LookUp: plainService}, keys: map[string]bool{permanentKey: true},
	}}
}

// next returns the next configuration, which has another rotated key and differs in one
// more route or key.
func (o *operator) next(version, previous int) configuration {
	c := configuration{version: version, services: maps.Clone(o.current.services), keys: maps.Clone(o.current.keys)}
	delete(c.keys, rotatedKey(previous))
	routes := slices.DeleteFunc(slices.Sorted(maps.Keys(c.services)), func(k platformtest.Kind) bool { return k == platformtest.LookUp })
	keys := slices.DeleteFunc(slices.Sorted(maps.Keys(c.keys)), func(k string) bool { return k == permanentKey })
	changed := probe{platformtest.LookUp, permanentKey}
	switch change := o.random.IntN(5); {
	case len(routes) == 0, change == 0 && len(routes) < maxProbeRoutes:
		changed.route = platformtest.Kind(fmt.Sprintf("probe/%d", version))
		c.services[changed.route] = probeService
	case change == 1:
		changed.route = routes[o.random.IntN(len(routes))]
		delete(c.services, changed.route)
	case len(keys) == 0, change == 2 && len(keys) < maxProbeKeys:
		changed.key = fmt.Sprintf("added%d", version)
		c.keys[changed.key] = true
	case change == 3:
		changed.key = keys[o.random.IntN(len(keys))]
		delete(c.keys, changed.key)
	default:
		changed.route = routes[o.random.IntN(len(routes))]
		c.services[changed.route] = map[string]string{plainService: probeService, probeService: plainService}[c.services[changed.route]]
	}
	c.keys[rotatedKey(version)] = true
	o.probes = append(o.probes, changed, probe{platformtest.LookUp, rotatedKey(previous)}, probe{platformtest.LookUp, rotatedKey(version)})
	o.current = c
	return c
}

// changeConfiguration writes a further version of the configuration. The caller holds s.mu
// and has raised configVersion by one.
func (s *Soak) changeConfiguration() {
	s.configVersion += s.operator.random.IntN(maxVersionStep)
	c := s.operator.next(s.configVersion, s.previousVersion)
	var added []platformtest.Route
	for _, route := range slices.Sorted(maps.Keys(c.services)) {
		if route != platformtest.LookUp {
			added = append(added, platformtest.Route{Kind: route, Service: c.services[route]})
		}
	}
	c.written = time.Now()
	s.observed.configurations = append(s.observed.configurations, c)
	s.store.ConfigureRoutes(burstBodyBytes, c.version, added, slices.Sorted(maps.Keys(c.keys))...)
	s.observed.configEvents = append(s.observed.configEvents, configEvent{at: time.Now(), version: c.version})
}

// operate changes the configuration until the context ends, except while the store is not
// available or has lost the newest one.
func (s *Soak) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, operatorSequence))
	for pause.For(ctx, randomTime(random, minChangeInterval, maxChangeInterval)) {
		if !s.configLost.Load() && !s.store.Refuse.Load() {
			s.rotateKey()
		}
	}
}

// probe sends probes to a daemon until the context ends, most of them for recent changes.
func (s *Soak) probe(ctx context.Context, daemon int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: probeTimeout}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(s.seed, operatorSequence+uint64(daemon)+1))
	for n := 0; pause.For(ctx, probeInterval); n++ {
		s.mu.Lock()
		back := min(int(random.ExpFloat64()*4), len(s.operator.probes)-1)
		p := s.operator.probes[len(s.operator.probes)-1-back]
		s.mu.Unlock()
		id := fmt.Sprintf("q%d-%d", daemon, n)
		// Requests with a common body are quarantined after crashes of the upstreams that ran them.
		body := fmt.Sprintf(directWorkFormat, 0) + " for " + id
		call := platformtest.Call{ID: id, Kind: p.route, Key: p.key, Timeout: probeTimeout, Body: body}
		r, err := call.Request(ctx, s.clientLinks[daemon].address())
		if err != nil {
			panic(err) // cannot happen: the address is that of a proxy
		}
		a := answeredProbe{probe: p, id: id, daemon: daemon, sent: time.Now()}
		res, err := client.Do(r)
		if err != nil {
			continue // a fault acts on the daemon
		}
		answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
		_ = res.Body.Close()
		a.ended = time.Now()
		if a.outcome = s.probeOutcome(res.StatusCode, string(answer)); err == nil && a.outcome != "" {
			s.mu.Lock()
			s.observed.probes = append(s.observed.probes, a)
			s.mu.Unlock()
		}
	}
}

// probeOutcome returns the outcome of a probe; "" if its answer tells nothing about the
// configuration.
func (s *Soak) probeOutcome(status int, body string) outcome {
	number := 0
	if _, err := fmt.Sscanf(body, "whole answer of u%d-", &number); err == nil && status == http.StatusOK {
		return outcome(s.allUpstreams()[number].service)
	}
	return map[int]outcome{http.StatusNotFound: noRoute, http.StatusUnauthorized: unknownKey}[status]
}

// restoreAndRestart makes the store return to an older copy after an outage as long as the
// fault. Around it daemons are killed and started again, or cut off from the store. Upstreams
// register again within the time that the users state, the operator writes the lost
// configuration again later. It does nothing while another restore lasts.
func (s *Soak) restoreAndRestart(ctx context.Context, f Fault) {
	if !s.restoreMu.TryLock() {
		return
	}
	defer s.restoreMu.Unlock()
	random := rand.New(rand.NewPCG(s.seed, uint64(f.At)))
	copied := time.Now()
	s.mu.Lock()
	older, copiedVersion := s.store.Copy(), s.configVersion
	s.mu.Unlock()
	pause.For(ctx, randomTime(random, minCopyAge, maxCopyAge)-killsBefore)
	var others sync.WaitGroup
	defer others.Wait()
	cuts := []FaultKind{Reset, DropBoth, DropToServer, DropFromServer}
	outageEnd, together := killsBefore+f.Length, random.Float64() < togetherShare
	window := outageEnd + killsAfter
	survivor, killShare := random.IntN(len(s.daemons)), minKillShare+(1-minKillShare)*random.Float64()
	for i := range s.daemons {
		kill := Fault{Component: Daemons, Kind: Kill, Target: i, At: randomTime(random, 0, window), Length: randomTime(random, 0, maxDown)}
		if together {
			kill.At = randomTime(random, 0, outageEnd)
			kill.Length += outageEnd - kill.At
		}
		cut := Fault{Component: StoreLinks, Kind: cuts[random.IntN(len(cuts))], Target: i, At: randomTime(random, 0, window), Length: randomTime(random, minFault, maxFault)}
		inject := func(share float64, f Fault) {
			if random.Float64() < share && i != survivor {
				others.Go(func() {
					pause.For(ctx, f.At)
					s.injectFault(ctx, f)
				})
			}
		}
		inject(killShare, kill)
		inject(cutShare, cut)
	}
	registrations, rewrite := randomTime(random, 0, reregistrationTime), randomTime(random, 0, maxRewriteDelay)
	// Some daemons learn of a version that is written right before the outage, others do not.
	lastChange := randomTime(random, 0, killsBefore)
	pause.For(ctx, lastChange)
	s.rotateKey()
	pause.For(ctx, killsBefore-lastChange)
	began := time.Now()
	s.configLost.Store(true)
	s.store.Refuse.Store(true)
	pause.For(ctx, f.Length)
	s.mu.Lock()
	lost := s.configVersion
	writeAgain := s.store.Restore(older)
	s.observed.configEvents = append(s.observed.configEvents, configEvent{at: time.Now(), version: copiedVersion, restored: true})
	s.store.Refuse.Store(false)
	s.observed.faults.add(StoreServer, 0, interval{began, time.Now()})
	s.mu.Unlock()
	others.Go(func() {
		pause.For(ctx, registrations)
		writeAgain(platformtest.ReplicaKeys)
	})
	pause.For(ctx, rewrite)
	s.mu.Lock()
	writeAgain(platformtest.OperatorKeys)
	s.observed.configEvents = append(s.observed.configEvents, configEvent{at: time.Now(), version: lost})
	s.observed.faults.add(StoreContent, 0, interval{copied, time.Now()})
	s.mu.Unlock()
	s.configLost.Store(false)
}
