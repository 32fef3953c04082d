package directory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryroad/gooseberryroad/era"
	"github.com/gooseberryroad/gooseberryroad/store"
)

const (
	// exchangeInterval is the time between two rounds of exchanges. With maxAsked daemons a
	// round, a daemon reaches eight others within 1.5 s.
	exchangeInterval = 500 * time.Millisecond
	// lateExchangeInterval is the time between two rounds once the entries that the store
	// lost were written again. Only daemons that have not answered yet are asked then.
	lateExchangeInterval = 5 * time.Second
	// maxAsked is the number of daemons that are asked in a round.
	maxAsked = 3
)

// ErrNoExchange says that a daemon is of a build that does not exchange configurations.
var ErrNoExchange = errors.New("the daemon does not exchange configurations")

// ConfigRelay is a Relay that exchanges configurations with other daemons. Without it,
// the whole content of the others is fetched.
type ConfigRelay interface {
	// ExchangeConfig tells a daemon which version of the configuration this one has in
	// force, and the relay address at which it can be asked for it. It returns the entry of
	// the other daemon's configuration if that is newer, and ErrNoExchange if the daemon
	// cannot tell. The answer has to begin within slack; ctx bounds the transfer.
	ExchangeConfig(ctx context.Context, address string, version int64, self string, slack time.Duration) (e store.Entry, newer bool, err error)
}

// ExchangeConfig answers another daemon that has a version of the configuration in force:
// it returns the entry of this daemon's configuration if it is newer. If it is older, the
// other daemon is asked for its own at the given relay address.
func (c *Content) ExchangeConfig(version int64, address string) (e store.Entry, newer bool) {
	if c.exchange != nil {
		c.exchange.contacted(address, version, c.version)
	}
	return c.configEntry, c.version > version
}

// exchange decides which daemons are asked for their configuration. A store that was
// restored from an older copy may lack the newest configuration, and the daemons that know
// it may be any. Indexes do not show it: contents with the same index may differ in it.
// It is safe for concurrent use.
type exchange struct {
	mu  sync.Mutex
	era store.Era
	// until is the end of the time in which all daemons are asked again and again: others
	// start meanwhile, and registrations are written again.
	until, nextAt time.Time
	// asked holds the number of exchanges with each daemon, by relay address, and fetched the
	// daemons of an earlier build whose whole content was fetched.
	asked   map[string]int
	fetched map[string]bool
	// source is a daemon that has the version sourceVersion, newer than the one here.
	source        string
	sourceVersion int64
	// wake has room for one value.
	wake chan struct{}
}

func newExchange() *exchange {
	return &exchange{asked: map[string]int{}, fetched: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// contacted records that another daemon told its version; own is the version in force here.
func (x *exchange) contacted(address string, version, own int64) {
	if address == "" {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if version <= own {
		x.asked[address]++
		return
	}
	if version < x.sourceVersion {
		return
	}
	x.source, x.sourceVersion = address, version
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// answered records an answer of a daemon; fetched says that it is its whole content.
func (x *exchange) answered(address string, fetched bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asked[address]++
	if fetched {
		x.fetched[address] = true
	}
}

// restart makes all daemons count as not asked: this one has a newer configuration, which
// they may lack.
func (x *exchange) restart() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asked, x.nextAt = map[string]int{}, time.Time{}
}

// next returns the daemons to ask now, of all whose addresses are known, in an era of the
// store; own is the version in force. In era 0 the store has not been restored.
func (x *exchange) next(e store.Era, own int64, known []string, now time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e == 0 {
		return nil
	}
	if e > x.era {
		x.era, x.until, x.nextAt = e, now.Add(era.KeepFor), time.Time{}
		x.asked, x.fetched = map[string]int{}, map[string]bool{}
	}
	source, version := x.source, x.sourceVersion
	x.source, x.sourceVersion = "", 0
	if source != "" && version > own {
		return []string{source}
	}
	if now.Before(x.nextAt) {
		return nil
	}
	late := !now.Before(x.until)
	x.nextAt = now.Add(exchangeInterval)
	if late {
		x.nextAt = now.Add(lateExchangeInterval)
	}
	out := slices.DeleteFunc(slices.Clone(known), func(a string) bool { return x.fetched[a] || late && x.asked[a] > 0 })
	slices.SortStableFunc(out, func(a, b string) int { return x.asked[a] - x.asked[b] })
	return out[:min(len(out), maxAsked)]
}

// exchangeConfigs asks other daemons for newer configurations until ctx ends.
func (f *Follower) exchangeConfigs(ctx context.Context) {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-f.exchange.wake:
		}
		c := f.Content()
		addresses := f.exchange.next(store.EraOf(c.Revision), c.version, f.otherAddresses(f.View().PeerList), time.Now())
		if len(addresses) == 0 {
			continue
		}
		entries, _ := f.askConfigs(ctx, addresses, c.version)
		if len(entries) == 0 {
			continue
		}
		select {
		case f.learned <- entries:
		case <-ctx.Done():
			return
		}
	}
}

// askConfigs asks daemons at once for configurations newer than a version. It returns those
// that they have, and the number of daemons that answered.
func (f *Follower) askConfigs(ctx context.Context, addresses []string, version int64) (newer []store.Entry, answered int) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout+transferTimeout)
	defer cancel()
	type result struct {
		entries []store.Entry
		err     error
	}
	results := make(chan result, len(addresses))
	for _, a := range addresses {
		go func() {
			entries, err := f.askConfig(ctx, a, version)
			results <- result{entries, err}
		}()
	}
	for range addresses {
		r := <-results
		metrics.GetOrCreateCounter(map[bool]string{
			true:  `gooseberryroad_config_exchanges_total{answered="true"}`,
			false: `gooseberryroad_config_exchanges_total{answered="false"}`,
		}[r.err == nil]).Inc()
		if r.err == nil {
			newer = append(newer, r.entries...)
			answered++
		}
	}
	return newer, answered
}

// askConfig asks one daemon. A daemon of an earlier build is asked for its whole content.
func (f *Follower) askConfig(ctx context.Context, address string, version int64) ([]store.Entry, error) {
	err := ErrNoExchange
	if r, ok := f.options.Relay.(ConfigRelay); ok {
		var e store.Entry
		var newer bool
		e, newer, err = r.ExchangeConfig(ctx, address, version, f.options.Self.Address, followTimeout)
		if err == nil {
			f.exchange.answered(address, false)
		}
		if newer {
			return []store.Entry{e}, err
		}
	}
	if !errors.Is(err, ErrNoExchange) {
		return nil, err
	}
	u, err := f.options.Relay.Fetch(ctx, address, 0, 0, followTimeout)
	if err == nil {
		f.exchange.answered(address, true)
	}
	return slices.DeleteFunc(u.Entries, func(e store.Entry) bool {
		_, ok, _ := f.options.Decoder.Config(store.Entry{Key: e.Key})
		return !ok
	}), err
}
