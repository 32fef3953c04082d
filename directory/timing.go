package directory

import "time"

// DefaultMaxStaleness is the bound on stale content where the settings name none.
const DefaultMaxStaleness = 2 * time.Second

const (
	// maxConfirmInterval and maxCallTimeout apply where the bound on stale content is
	// wide. A slow store takes some hundred milliseconds.
	maxConfirmInterval = 1500 * time.Millisecond
	maxCallTimeout     = 700 * time.Millisecond
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
