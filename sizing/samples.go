package sizing

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// keptIntervals is the number of intervals that are kept of each daemon. It covers the
	// longest window of the planner.
	keptIntervals = 40
	// maxSampleAge is the age at which a sample is too old to change a decision.
	maxSampleAge = 20 * time.Second
	// settleTime is how long after its end an interval is used: messages leave every half
	// second, and the intervals of daemons do not begin together.
	settleTime = 1500 * time.Millisecond
	// silentAfter is how long after its last sample a daemon is assumed to have as many
	// streams as before. Clients of a daemon that stopped are at others after about a second,
	// a link that is cut is often back after a few.
	silentAfter = 6 * time.Second
	// maxScale bounds the factor by which the samples are scaled for silent daemons. With
	// fewer than a quarter heard, the rest says little of the others.
	maxScale = 4
	// minCoverage is the share of the daemons that must be heard for an interval to justify
	// a lower number.
	minCoverage = 0.5
	// maxDrift is by how many intervals those of a process may move against the planner's
	// clock before they are placed anew, for example after the daemon's VM was suspended;
	// minDriftMessages is how many messages have to show it.
	maxDrift         = 2
	minDriftMessages = 3
)

// Limits of the values of one sample. Larger ones are faults of the sender.
const (
	maxCount       = 100_000
	maxPaceEntries = maxPaceClass - minPaceClass + 1
	maxTotalMs     = maxCount * 3_600_000
)

// valid reports whether a daemon can have made the sample.
func (s *Sample) valid() bool {
	for _, n := range []int{s.Arrived, s.First, s.Ended, s.Running} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	if s.Tokens < 0 || s.Tokens > maxCount*maxPromptTokens || s.FirstMs < 0 || s.FirstMs > maxTotalMs ||
		s.OutputMs < 0 || s.OutputMs > maxTotalMs || len(s.Pace) > maxPaceEntries {
		return false
	}
	clear := 0
	for class, n := range s.Pace {
		if class < minPaceClass || class > maxPaceClass || n < 0 || n > maxCount {
			return false
		}
		clear += n
	}
	return clear <= s.First
}

func (in IntervalSamples) age() time.Duration { return time.Duration(in.AgeMs) * time.Millisecond }

// source is one daemon; its intervals are those of its last process.
type source struct {
	process    int64
	dataCentre string
	// offset places the intervals: that with the number seq is in the bin seq + offset.
	offset int64
	placed bool
	// lastSeq is the largest number of an interval, drifted the number of messages in a row
	// whose intervals came later than expected.
	lastSeq int64
	drifted int
	bins    map[int64]map[string]Sample
	// first and last are the first and the last bin with a sample.
	first, last int64
}

// samples holds the samples of all daemons. Bins are seconds of the planner's clock.
type samples struct {
	epoch   time.Time
	daemons map[string]*source
}

// binAt returns the bin in which an interval that ended at a time is placed.
func (s *samples) binAt(end time.Time) int64 {
	return int64(math.Round(end.Sub(s.epoch).Seconds())) - 1
}

// lastBin returns the last bin that is complete at a time.
func (s *samples) lastBin(now time.Time) int64 {
	return int64(math.Floor(now.Add(-settleTime).Sub(s.epoch).Seconds())) - 1
}

// merge adds the samples of a message. It returns an error for those that it ignored; the
// others count.
func (s *samples) merge(daemon string, m Message, now time.Time) error {
	d := s.daemons[daemon]
	// A process that was started with its VM's clock set back counts once the other is silent.
	if d != nil && m.Process < d.process && d.known(s.binAt(now)) {
		return fmt.Errorf("samples of an earlier process of %s", daemon)
	}
	if len(m.Intervals) > keptIntervals {
		return fmt.Errorf("%d intervals in a message of %s", len(m.Intervals), daemon)
	}
	switch {
	case d == nil:
		d = &source{process: m.Process, bins: map[int64]map[string]Sample{}}
		s.daemons[daemon] = d
	case m.Process != d.process:
		// What the earlier process counted stays part of the past.
		d = &source{process: m.Process, bins: d.bins, first: d.first, last: d.last}
		s.daemons[daemon] = d
	}
	d.dataCentre = m.DataCentre
	var ignored error
	var accepted []IntervalSamples
	for _, in := range m.Intervals {
		if in.Seq < 0 || in.Seq > math.MaxInt32 || in.AgeMs < 0 || in.AgeMs > maxSampleAge.Milliseconds() {
			ignored = fmt.Errorf("interval %d of %s has an age of %d ms", in.Seq, daemon, in.AgeMs)
			continue
		}
		valid := true
		for service, sample := range in.Services {
			if !sample.valid() {
				valid = false
				ignored = fmt.Errorf("impossible sample of %s for %s in interval %d", daemon, service, in.Seq)
			}
		}
		if valid {
			accepted = append(accepted, in)
		}
	}
	if len(accepted) > 0 {
		newest := accepted[len(accepted)-1]
		d.checkPlace(newest.Seq, s.binAt(now.Add(-newest.age())))
	}
	for _, in := range accepted {
		d.put(in, s.binAt(now.Add(-in.age())))
	}
	return ignored
}

// put stores an interval that ended, by its age at the arrival, in a bin.
func (d *source) put(in IntervalSamples, bin int64) {
	if !d.placed {
		if d.placed, d.offset, d.lastSeq = true, bin-in.Seq, in.Seq; len(d.bins) == 0 {
			d.first, d.last = bin, bin
		}
	}
	bin = in.Seq + d.offset
	d.lastSeq = max(d.lastSeq, in.Seq)
	d.bins[bin] = in.Services
	d.first, d.last = min(d.first, bin), max(d.last, bin)
	for b := range d.bins {
		if b <= d.last-keptIntervals {
			delete(d.bins, b)
		}
	}
}

// checkPlace moves the intervals of the process if they have drifted. A message that was
// long on its way looks like a drift to later bins, so that is believed only when several
// messages with new intervals show it.
func (d *source) checkPlace(seq, bin int64) {
	if !d.placed {
		return
	}
	drift := bin - seq - d.offset
	switch {
	case drift < -maxDrift:
	case drift <= maxDrift:
		d.drifted = 0
		return
	case seq <= d.lastSeq:
		return
	default:
		if d.drifted++; d.drifted < minDriftMessages {
			return
		}
	}
	moved := make(map[int64]map[string]Sample, len(d.bins))
	for b, of := range d.bins {
		moved[b+drift] = of
	}
	d.bins, d.drifted = moved, 0
	d.offset += drift
	d.first += drift
	d.last += drift
}

// known reports whether the daemon is taken to have streams in a bin.
func (d *source) known(bin int64) bool {
	return len(d.bins) > 0 && d.first <= bin && bin <= d.last+int64(silentAfter/interval)
}

// share is the daemon's part of a service's streams before a bin. It is not 0, so that
// idle daemons count too.
func (d *source) share(service string, bin int64) float64 {
	tokens, bins := 1.0, 0
	for b := bin - 10; b <= bin; b++ {
		if of, ok := d.bins[b]; ok {
			bins++
			tokens += float64(of[service].Tokens)
		}
	}
	return tokens / float64(max(bins, 1))
}

// totals is what all daemons together asked for in one bin.
type totals struct {
	arrived, tokens, running float64
	// counted is the number of arrivals that were reported.
	counted int
	// byDataCentre holds the tokens by the data centre of the daemon.
	byDataCentre map[string]float64
	// heard and expected count the daemons.
	heard, expected int
}

// of returns the totals of a service in a bin, scaled for silent daemons.
func (s *samples) of(service string, bin int64) totals {
	t := totals{byDataCentre: map[string]float64{}}
	reporting, all := 0.0, 0.0
	for _, d := range s.daemons {
		if !d.known(bin) {
			continue
		}
		t.expected++
		share := d.share(service, bin)
		all += share
		of, ok := d.bins[bin]
		if !ok {
			continue
		}
		t.heard++
		reporting += share
		sample := of[service]
		t.counted += sample.Arrived
		t.arrived += float64(sample.Arrived)
		t.tokens += float64(sample.Tokens)
		t.running += float64(sample.Running)
		t.byDataCentre[d.dataCentre] += float64(sample.Tokens)
	}
	if t.heard == 0 {
		return t
	}
	scale := min(all/reporting, maxScale)
	t.arrived *= scale
	t.tokens *= scale
	t.running *= scale
	for dc := range t.byDataCentre {
		t.byDataCentre[dc] *= scale
	}
	return t
}

// minPaceSamples is the number of first events that a measured pace needs.
const minPaceSamples = 20

// pace returns the time in seconds that engines need for one prompt token, as measured in
// the bins from first to last by runs with little ahead of them. Other daemons' prompts
// that were ahead make some runs look slow, so each counts for at most a fifth more than
// the median. ok is false if there are too few.
func (s *samples) pace(service string, first, last int64) (seconds float64, ok bool) {
	counts := map[int]int{}
	total := 0
	for _, d := range s.daemons {
		for b := first; b <= last; b++ {
			for class, n := range d.bins[b][service].Pace {
				counts[class] += n
				total += n
			}
		}
	}
	if total < minPaceSamples {
		return 0, false
	}
	classes := make([]int, 0, len(counts))
	for class := range counts {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	median, mean, below := 0.0, 0.0, 0
	for _, class := range classes {
		if below += counts[class]; median == 0 && 2*below >= total {
			median = paceOfClass(class)
		}
		mean += paceOfClass(class) * float64(counts[class]) / float64(total)
	}
	// Where most prompts are cached, the median is that of the cached ones.
	limit := max(1.2*median, mean)
	for _, class := range classes {
		seconds += min(paceOfClass(class), limit) * float64(counts[class]) / float64(total)
	}
	return seconds, true
}

// firstEventTime returns the mean time from sending to the first event, waits included.
func (s *samples) firstEventTime(service string, first, last int64) float64 {
	return s.mean(service, first, last, func(sample Sample) (int, int64) { return sample.First, sample.FirstMs })
}

// outputTime returns the mean time from the first event to the end.
func (s *samples) outputTime(service string, first, last int64) float64 {
	return s.mean(service, first, last, func(sample Sample) (int, int64) { return sample.Ended, sample.OutputMs })
}

// mean returns the mean of a time in seconds over the samples of some bins, 0 if there is
// none.
func (s *samples) mean(service string, first, last int64, of func(Sample) (n int, ms int64)) float64 {
	count, total := 0, 0.0
	for _, d := range s.daemons {
		for b := first; b <= last; b++ {
			n, ms := of(d.bins[b][service])
			count += n
			total += float64(ms) / 1000
		}
	}
	return total / float64(max(count, 1))
}

// forget drops daemons whose samples are all too old.
func (s *samples) forget(bin int64) {
	for name, d := range s.daemons {
		if d.last < bin-keptIntervals {
			delete(s.daemons, name)
		}
	}
}
