package directory

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/bounds"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// DefaultMaxStaleness is the bound on stale content where the settings name none.
const DefaultMaxStaleness = 2 * time.Second

const (
	// maxConfirmInterval and maxCallTimeout apply where the bound on stale content is
	// wide. A slow store takes some hundred milliseconds.
	maxConfirmInterval = 1500 * time.Millisecond
	maxCallTimeout     = 700 * time.Millisecond
	// storeAnswerTime is how long a store that works takes for a call that asks for no
	// wait, also when it is slow.
	storeAnswerTime = 200 * time.Millisecond
)

// timing holds the times that follow from the bound on stale content. A source that
// goes silent is noticed by the daemons that follow it confirmInterval and callTimeout
// after its last confirmation; the rest of the bound is left for them to read the store
// themselves.
type timing struct {
	// confirmInterval is the time after which the daemon that reads the store has its
	// content confirmed again, pauses between watches included. Each confirmation is a
	// call to the store.
	confirmInterval time.Duration
	// callTimeout is the time that a call to the store may take in addition to the wait
	// that it asks for.
	callTimeout time.Duration
	// maxAge is the time since the store's last confirmation after which content is out
	// of date: a call that was held and answered late, and some hops.
	maxAge time.Duration
}

func newTiming(maxStaleness time.Duration) timing {
	if maxStaleness <= 0 {
		maxStaleness = DefaultMaxStaleness
	}
	t := timing{
		confirmInterval: min(maxStaleness*2/5, maxConfirmInterval),
		callTimeout:     min(maxStaleness*7/20, maxCallTimeout),
	}
	t.maxAge = t.confirmInterval + t.callTimeout + maxStaleness/20
	return t
}

// confirmation is a moment at which the store confirmed content.
type confirmation struct {
	at time.Time
	// renewed is closed at the next confirmation.
	renewed chan struct{}
}

// StalenessChain returns what follows on a change of the configuration, which includes
// the keys of accounts, when the daemon that reads the store is cut off without a sign
// right after a confirmation: its followers have to notice it and read the store
// themselves. maxStaleness is the bound; 0 stands for DefaultMaxStaleness.
func StalenessChain(promise string, maxStaleness time.Duration) bounds.Chain {
	if maxStaleness <= 0 {
		maxStaleness = DefaultMaxStaleness
	}
	t := newTiming(maxStaleness)
	return bounds.Chain{Promise: promise, Bound: maxStaleness, Links: []bounds.Link{
		{Name: "next confirmation", Longest: t.confirmInterval},
		{Name: "call without answer", Longest: t.callTimeout},
		{Name: "hops between daemons", Longest: t.maxAge - t.confirmInterval - t.callTimeout},
		{Name: "own call", Longest: storeAnswerTime},
	}}
}

// RemovalChain returns what follows on the removal of an upstream shortly after an outage
// of the store, when its registration may only have expired: the daemons keep it for a
// while and then have the store confirm that it is missing. bound is the time within
// which a removed upstream must get no more requests.
func RemovalChain(bound time.Duration) bounds.Chain {
	return bounds.Chain{Promise: "removed upstreams", Bound: bound, Links: []bounds.Link{
		{Name: "pause between watches", Longest: longWatchPause},
		{Name: "grace", Longest: registry.RemovalGrace},
		{Name: "margin", Longest: graceEndMargin},
		{Name: "confirmation", Longest: storeAnswerTime},
		{Name: "hop to followers", Longest: confirmationDelay},
	}}
}
