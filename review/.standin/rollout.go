package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["rollout"] = rolloutCase }

const (
	// orderTime is the time budget of an order, badShare the share of orders that the bad
	// version answers with a failure. It is bad on that route only.
	orderTime = 8 * time.Second
	badShare  = 0.5
	// drainDelay is how long after "reverted" the new replicas drain, nextOrderDelay how
	// long after it the operator gives the next order.
	drainDelay     = 6 * time.Second
	nextOrderDelay = time.Second
	exposureShare  = 0.1
	exposureSlack  = 50
	rollbackBound  = 5 * time.Second
)

func (w *World) order(service, target string) time.Time {
	w.store.put("op/rollout/"+service, map[string]any{"service": service, "target": target, "over-s": orderTime.Seconds()})
	w.note("the operator orders %s for %s", target, service)
	return time.Now()
}

// rolloutState returns the state of an order to move to target; empty if there is none.
func (w *World) rolloutState(service, target string) string {
	var status struct {
		State  string `json:"state"`
		Target string `json:"target"`
	}
	if json.Unmarshal(w.store.get("status/rollout/"+service), &status) != nil || status.Target != target {
		return ""
	}
	return status.State
}

func (w *World) startVersion(version string, bad float64, count int) ([]*Replica, error) {
	var out []*Replica
	for i := range count {
		r, err := w.startReplica(&Replica{
			id: fmt.Sprintf("i-%s%06x", version, 0x3a91c0+i), service: "wuno96b", zone: []string{"nord-a", "nord-b"}[i%2],
			version: version, work: 60 * time.Millisecond, slots: 6, badShare: bad, badMethod: "POST",
		})
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// rolloutCase: an order moves a service to a bad version and is reverted. A second later,
// while the replicas of that version are still there, the operator orders another version.
// The bad version must not get more than the exposure share of the requests of its order,
// and nothing later than rollback-ms after its 50th bad answer.
func rolloutCase(w *World) (bool, error) {
	w.configure(7)
	old, err := w.startVersion("v1", 0, 4)
	if err != nil {
		return false, err
	}
	for _, d := range []struct{ name, zone string }{{"front-nord-a-1", "nord-a"}, {"front-nord-a-2", "nord-a"}, {"front-nord-b-1", "nord-b"}} {
		if _, err := w.addDaemon(d.name, d.zone, 134); err != nil {
			return false, err
		}
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(w.began.Add(10 * time.Second)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &results{}
	var waits []*sync.WaitGroup
	for _, d := range w.daemons {
		waits = append(waits, w.clients(ctx, d, 70, 0.15, out))
	}
	time.Sleep(8 * time.Second)
	ordered := w.order("wuno96b", "v2")
	bad, err := w.startVersion("v2", badShare, 4)
	if err != nil {
		return false, err
	}
	until := ordered.Add(orderTime + 2*time.Second)
	for w.rolloutState("wuno96b", "v2") != "reverted" {
		if time.Now().After(until) {
			return false, fmt.Errorf("%w: the bad version was not reverted", errCannotRun)
		}
		time.Sleep(10 * time.Millisecond)
	}
	reverted := time.Now()
	w.note("reverted after %.3f s", reverted.Sub(ordered).Seconds())
	var next []*Replica
	if w.trouble {
		time.Sleep(nextOrderDelay)
		w.order("wuno96b", "v3")
		if next, err = w.startVersion("v3", 0, 4); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(reverted.Add(drainDelay)))
	for _, r := range bad {
		r.register("draining")
	}
	w.note("the replicas of v2 drain")
	time.Sleep(time.Until(reverted.Add(drainDelay + drainBound + time.Second)))
	for _, r := range bad {
		r.unregister()
		r.exit()
	}
	time.Sleep(time.Until(ordered.Add(orderTime + 5*time.Second)))
	cancel()
	for _, wg := range waits {
		wg.Wait()
	}
	all, exposed, late := 0, 0, 0
	var badAnswers []time.Time
	for _, r := range bad {
		badAnswers = append(badAnswers, r.badAnswers()...)
	}
	sortTimes(badAnswers)
	var after time.Time
	if len(badAnswers) >= 50 {
		after = badAnswers[49].Add(rollbackBound)
	}
	byID := out.byID()
	for _, group := range [][]*Replica{old, bad, next} {
		for _, r := range group {
			for _, a := range r.seen() {
				if a.at.After(ordered) && a.at.Before(ordered.Add(orderTime)) {
					all++
					if r.version == "v2" {
						exposed++
					}
				}
				if r.version == "v2" && !after.IsZero() && byID[a.id].sent.After(after) {
					late++
				}
			}
		}
	}
	limit := int(exposureShare*float64(all)) + exposureSlack
	w.note("clients saw %s", out.summary())
	w.note("between the order for v2 and its time budget v2 got %d of %d requests, allowed are %d; it gave %d bad answers; requests sent to it later than rollback-ms after the 50th: %d",
		exposed, all, limit, len(badAnswers), late)
	return exposed > limit || late > 0, nil
}
