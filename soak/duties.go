package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// usageWindow is the length of the windows of usage reports, dutyLease the lease of
	// their holder: both shorter than on the users' sites, so that more of them end in a soak.
	usageWindow = time.Second
	dutyLease   = 1500 * time.Millisecond
	// thawTime is how long after the end of a pause, or of a fault of its way to the control
	// service, a daemon's calls may still be those of an earlier holder.
	thawTime = 300 * time.Millisecond
)

// checkReportsGoOn waits until a window that began after the faults had ended is
// reported, and returns a violation if none is within maxRecoveryTime.
func (s *Soak) checkReportsGoOn(ctx context.Context, since time.Time) string {
	for {
		for _, call := range s.control.Calls() {
			if !windowStart(call).Before(since) {
				return ""
			}
		}
		if time.Since(since) > maxRecoveryTime || !pause.For(ctx, pollInterval) {
			return "duty: no usage of the time after the faults was reported"
		}
	}
}

func windowStart(c platformtest.ControlCall) time.Time {
	return time.Unix(0, 0).Add(time.Duration(c.Window) * usageWindow)
}

// checkDuties returns where the calls to the control service, in the order in which it
// took them, are not those of one holder at a time.
func (obs *observations) checkDuties(calls []platformtest.ControlCall) []string {
	var out []string
	report := func(c platformtest.ControlCall, format string, args ...any) {
		out = append(out, fmt.Sprintf("duty: window %d by %s with token %d at %s: %s", c.Window, c.Holder, c.Token, c.At.Format("15:04:05.000"), fmt.Sprintf(format, args...)))
	}
	holders := map[uint64]string{}
	counts := map[int64]map[string]int64{}
	// last is the last call of each holder, previous that of any. Calls that may be late do not
	// count in the order of holders.
	last := map[string]platformtest.ControlCall{}
	var previous platformtest.ControlCall
	for _, c := range calls {
		if other := holders[c.Token]; other != "" && other != c.Holder {
			report(c, "%s used this token", other)
		}
		holders[c.Token] = c.Holder
		if before, known := counts[c.Window]; known && !maps.Equal(before, c.Counts) {
			report(c, "reported as %v, before as %v", c.Counts, before)
		}
		counts[c.Window] = c.Counts
		if obs.late(c) {
			continue
		}
		if c.Token < previous.Token {
			report(c, "%s acted with token %d before", previous.Holder, previous.Token)
		}
		if own, known := last[c.Holder]; known && previous.Holder != c.Holder && c.At.Sub(own.At) < dutyLease {
			report(c, "%s acted %.2f s after this daemon's last call, within a lease", previous.Holder, previous.At.Sub(own.At).Seconds())
		}
		last[c.Holder], previous = c, c
	}
	return out
}

// late reports whether a call may have been made long before it arrived: its daemon was
// paused, or its way to the control service was disturbed, until shortly before.
func (obs *observations) late(c platformtest.ControlCall) bool {
	for i := range obs.daemons {
		if daemonName(i) != c.Holder {
			continue
		}
		for _, iv := range slices.Concat(obs.pauses[i], obs.stalls, obs.daemonStalls[i], obs.faults[componentID{ControlLinks, i}]) {
			if !c.At.Before(iv.from) && c.At.Before(iv.to.Add(thawTime)) {
				return true
			}
		}
	}
	return false
}

func daemonName(number int) string { return fmt.Sprintf("d%d", number) }
