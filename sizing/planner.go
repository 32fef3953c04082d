package sizing

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
)

const (
	// learnTime is how long a planner observes a service before it orders anything but a
	// raise.
	learnTime = 10 * time.Second
	// minRaiseTime is how long it observes before it orders a raise: a few seconds of demand
	// tell little of the mean.
	minRaiseTime = 3 * time.Second
	// baseBins is the window of the base demand, which is a median, so that a burst of a few
	// seconds does not count as a lasting rise. recentBins is the window of the present
	// demand, and trendBins that of the means from which a trend is taken.
	baseBins, recentBins, trendBins = 20, 3, 5
	// peakBins is the window in which a higher demand than the present one is looked for.
	peakBins = 35
	// paceBins is the window in which the time of a prefill is measured.
	paceBins = 30
	// lookback is how long a lower number would have to have sufficed: 10 s are required,
	// the rest is the lag of the samples.
	lookback = 12 * time.Second
	// minLowerBins is the number of bins that are complete after learnTime.
	minLowerBins = int64((learnTime-settleTime)/interval) - 1
	// lowerInterval and lowerShare bound how fast the number of a data centre is lowered.
	lowerInterval = 3 * time.Second
	lowerShare    = 0.1
	// lowerMargin is by how much a lower number exceeds what sufficed, so that the noise of
	// a steady demand does not raise it again.
	lowerMargin = 0.03
	// lossHold is how long after upstreams were lost nothing is ordered: they are usually
	// back by then, and their replacements are not ordered by this system. If upstreams are
	// lost again and again, raises are held back for at most maxLossHold.
	lossHold    = 5 * time.Second
	maxLossHold = 10 * time.Second
	// resendInterval is the longest time between two orders for a data centre.
	resendInterval = 10 * time.Second
	// goneAfter is how long a data centre must be lost to count as removed.
	// Until then its loss is the one that the reserve is for.
	goneAfter = 20 * time.Second
	// forgetAfter is how long a data centre without upstreams still gets orders, so that its
	// replicas start again when it is back.
	forgetAfter = time.Minute

	// lateShare is the share of streams that may get their first event too late after the
	// loss of the largest data centre, if each went to an engine at random. They go to the
	// least loaded of several, so that far fewer do.
	lateShare = 0.08
	// minUse and maxUse bound the use that follows from it, defaultUse is that of a service
	// without an objective.
	minUse, maxUse, defaultUse = 0.3, 0.8, 0.5
	// presentUse is the use by the present demand. The queue hardly grows at it.
	presentUse = 0.9
	// burstFactor and burstTime are the largest burst that is served without more replicas,
	// since those would come too late. Its queue may take burstWait of the time to the
	// objective.
	burstFactor = 2.5
	burstTime   = 5 * time.Second
	burstWait   = 0.5
	// slotUse is the share of slots that running streams may take after the loss of a data
	// centre.
	slotUse = 0.8
	// learnUse is the use up to which measured paces are believed at once, and calmBins how
	// long after a higher use its queues are gone. Otherwise waits are part of them, and the
	// pace rises by at most paceRise a second.
	learnUse = 0.65
	calmBins = 4
	paceRise = 1.01
	// noiseFactor is the noise of a sum of prompt tokens in that of the number of requests:
	// prompts differ in length. medianNoise is the noise of a median in that of a mean.
	noiseFactor = 1.2
	medianNoise = 1.25
	// risingNoise is by how many standard deviations the last seconds exceed the base if
	// demand rises.
	risingNoise = 1.5
	// maxGrowth bounds the forecast.
	maxGrowth = 1.0
	// defaultSlots is used if engines do not report their slots.
	defaultSlots = 8
)

// Service is a service that this daemon sizes.
type Service struct {
	Name    string
	Scaling routes.Scaling
	// Objective is the shortest time to the first event that a route of the service
	// promises; 0 is none.
	Objective time.Duration
	// Moving says that there is an order to move the service to another version. Both
	// versions count as replicas then.
	Moving bool
	// Instances are the registered upstreams of the service, draining ones included.
	Instances []registry.Instance
	// Daemons is the number of registered daemons; 0 is unknown.
	Daemons int
	// LowerAfter is how long a planner observes the service before it orders a lower number,
	// if that is longer than it takes to learn the demand.
	LowerAfter time.Duration
}

// Reasons are the figures from which an order follows. Demand is in engines that would be
// busy all the time.
type Reasons struct {
	// Base is the lasting demand, Recent that of the last seconds, Growth the factor by
	// which demand is expected to grow until new replicas serve.
	Base, Recent, Growth float64
	// Local is the recent demand of the daemons in the order's data centre.
	Local float64
	// Prefill is the measured time to read the mean prompt, Use the share of the time for
	// which engines may be busy after the loss of a data centre.
	Prefill time.Duration
	Use     float64
	// Running is the number of runs.
	Running float64
	// DataCentres is the number of data centres among which the demand is divided, Reserve
	// the number of replicas in
	// each beyond those that the demand needs while all are there.
	DataCentres, Reserve int
	// Binding names the rule that gives the number: "loss", "present", "forecast", "burst", "slots",
	// "min", "max", "moving", "kept" while a lower number is not ordered yet.
	Binding string
}

// Order is the number of replicas that a service should have in a data centre.
type Order struct {
	Service, DataCentre string
	// Number is the number to order, Previous that of the last order, or the number of
	// upstreams before the first.
	Number, Previous int
	Reasons          Reasons
}

// Planner orders the numbers of replicas of the services that this daemon holds.
type Planner struct {
	samples  samples
	services map[string]*plan
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(now time.Time) *Planner {
	return &Planner{samples: samples{epoch: now, daemons: map[string]*source{}}, services: map[string]*plan{}}
}

// Merge adds the samples of a daemon. It returns an error that tells which of them were
// ignored.
func (p *Planner) Merge(daemon string, m Message, now time.Time) error {
	return p.samples.merge(daemon, m, now)
}

// SetServices sets the services that this daemon holds. One that it did not hold before is
// observed anew.
func (p *Planner) SetServices(held []Service, now time.Time) {
	names := map[string]bool{}
	for _, s := range held {
		names[s.Name] = true
		if p.services[s.Name] == nil {
			p.services[s.Name] = &plan{since: now, dataCentres: map[string]*dataCentre{}, needs: map[int64]need{}}
		}
		p.services[s.Name].set(s, now)
	}
	maps.DeleteFunc(p.services, func(name string, _ *plan) bool { return !names[name] })
}

// Order returns the orders that are due: those whose number changes, and one for each data
// centre at least every 10 s. It is called about once a second.
func (p *Planner) Order(now time.Time) []Order {
	p.samples.forget(p.samples.lastBin(now))
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		out = append(out, p.services[name].order(&p.samples, now)...)
	}
	return out
}

// MaySend reports whether an order that Order returned may still be sent: not if upstreams
// were lost since, or the service is not held any more.
func (p *Planner) MaySend(o Order, now time.Time) bool {
	s := p.services[o.Service]
	return s != nil && !s.silent(now)
}

// Failed makes an order due again whose outcome is not known, that was rejected or not sent.
func (p *Planner) Failed(o Order) {
	if s := p.services[o.Service]; s != nil && s.dataCentres[o.DataCentre] != nil {
		s.dataCentres[o.DataCentre].sentAt = time.Time{}
	}
}

// dataCentre is what a plan knows of one data centre.
type dataCentre struct {
	// serving and draining count the upstreams.
	serving, draining int
	// full is the largest number of serving upstreams, at most the ordered number.
	full int
	// lostSince is when fewer than half of these were left, zero if there are more; planned
	// says that they left as announced.
	lostSince time.Time
	planned   bool
	// number is the last order, or the number of upstreams before the first one.
	number  int
	ordered bool
	// sentAt is zero if an order is due, loweredAt is when a lower number was last ordered.
	sentAt, loweredAt time.Time
}

// need is what one bin requires.
type need struct {
	number int
	// covered says that enough daemons were heard for a lower number.
	covered bool
}

// plan is the state of one service.
type plan struct {
	service     Service
	since       time.Time
	instances   map[string]registry.Instance
	dataCentres map[string]*dataCentre
	// lostAt is when upstreams were last lost, lostSince the first of the losses without a
	// pause of lossHold.
	lostAt, lostSince time.Time
	// pace is the time for a prompt token in seconds; 0 is not known yet. paceBin is the
	// bin of its last change.
	pace    float64
	paceBin int64
	// calmFrom is the first bin since which use was low.
	calmFrom int64
	// needs holds what the last bins required.
	needs map[int64]need
}

// set takes over the configuration and the registered upstreams.
func (p *plan) set(s Service, now time.Time) {
	p.service = s
	before := p.instances
	p.instances = make(map[string]registry.Instance, len(s.Instances))
	for _, dc := range p.dataCentres {
		dc.serving, dc.draining = 0, 0
	}
	for _, in := range s.Instances {
		p.instances[in.ID] = in
		dc := p.dataCentres[in.DataCentre]
		if dc == nil {
			dc = &dataCentre{}
			p.dataCentres[in.DataCentre] = dc
		}
		if in.Draining {
			dc.draining++
		} else {
			dc.serving++
		}
	}
	unplanned := map[string]bool{}
	for id, old := range before {
		in, present := p.instances[id]
		if old.Draining || present && in.StartUnixMilli == old.StartUnixMilli {
			continue
		}
		// An idle upstream that leaves because of a lower number may be gone before it is seen
		// to drain.
		if dc := p.dataCentres[old.DataCentre]; present || dc == nil || !dc.ordered || dc.serving < dc.number {
			unplanned[old.DataCentre] = true
		}
	}
	if len(unplanned) > 0 {
		if p.lostAt.IsZero() || now.Sub(p.lostAt) >= lossHold {
			p.lostSince = now
		}
		p.lostAt = now
	}
	for name, dc := range p.dataCentres {
		if !dc.ordered {
			dc.number = max(dc.number, dc.serving)
		}
		dc.full = min(max(dc.full, dc.serving), dc.number)
		switch {
		case 2*dc.serving >= dc.full && (dc.serving > 0 || dc.ordered && dc.number == 0):
			dc.lostSince, dc.planned = time.Time{}, false
		case dc.lostSince.IsZero():
			dc.lostSince, dc.planned = now, !unplanned[name]
		}
	}
}

// demand is what the planner derives from the samples of one bin.
type demand struct {
	Reasons
	// covered is set if enough daemons were heard in the bin.
	covered bool
	// local is the recent demand by data centre of the daemons.
	local map[string]float64
	// noise and baseNoise are the relative standard deviations of Recent and Base.
	noise, baseNoise float64
	// rising says that demand is above its base, so that a lower number would soon be raised
	// again.
	rising bool
	// bins is the number of bins with samples.
	bins int
}

// observe derives the demand at the end of a bin.
func (p *plan) observe(s *samples, bin int64) (demand, bool) {
	d := demand{local: map[string]float64{}}
	firstBin := max(bin-baseBins+1, s.binAt(p.since))
	var tokens, earlier []float64
	for b := max(bin-peakBins+1, s.binAt(p.since)); b < firstBin; b++ {
		if t := s.of(p.service.Name, b); t.heard > 0 {
			earlier = append(earlier, t.tokens)
		}
	}
	var mean [3][]float64
	recent, runningRecently := 0.0, 0.0
	recentCount, countedRecently, counted := 0, 0, 0
	arrived, allTokens := 0.0, 0.0
	for b := firstBin; b <= bin; b++ {
		t := s.of(p.service.Name, b)
		if t.heard == 0 {
			continue
		}
		tokens = append(tokens, t.tokens)
		arrived += t.arrived
		counted += t.counted
		allTokens += t.tokens
		if i := (bin - b) / trendBins; i < int64(len(mean)) {
			mean[i] = append(mean[i], t.tokens)
		}
		if bin-b < recentBins {
			recentCount++
			recent += t.tokens
			countedRecently += t.counted
			runningRecently = max(runningRecently, t.running)
			for dc, n := range t.byDataCentre {
				d.local[dc] += n
			}
		}
		if b == bin {
			d.covered = float64(t.heard) >= minCoverage*float64(max(t.expected, p.service.Daemons))
		}
	}
	d.bins = len(tokens)
	if recentCount == 0 {
		return d, false
	}
	p.learnPace(s, bin, max(allTokens/float64(len(tokens)), recent/float64(recentCount)))
	if p.pace == 0 && allTokens > 0 {
		if p.pace = s.firstEventTime(p.service.Name, firstBin, bin) * arrived / allTokens; p.pace == 0 {
			return d, false
		}
	}
	peak := highestMean(append(earlier, tokens...), trendBins)
	slices.Sort(tokens)
	d.Base = median(tokens) * p.pace
	d.Recent = recent / float64(recentCount) * p.pace
	for dc := range d.local {
		d.local[dc] *= p.pace / float64(recentCount)
	}
	d.noise = noiseFactor / math.Sqrt(float64(max(countedRecently, 1)))
	d.baseNoise = noiseFactor * medianNoise / math.Sqrt(float64(max(counted, 1)))
	d.Growth = p.growth(mean, peak, d.noise)
	if n := len(mean[0]); n >= trendBins-1 {
		lately := sum(mean[0]) / float64(n) * p.pace
		d.rising = lately*(1-risingNoise*d.noise*math.Sqrt(float64(recentBins)/trendBins)) > d.Base
	}
	d.Prefill = time.Duration(allTokens / max(arrived, 1) * p.pace * float64(time.Second))
	d.Use = targetUse(p.service.Objective, d.Prefill)
	// The runs that the base demand leads to, or those that run, if these are more.
	streams := arrived / float64(len(tokens))
	d.Running = max(runningRecently, streams*(d.Prefill.Seconds()+s.outputTime(p.service.Name, firstBin, bin)))
	return d, true
}

// growth returns by which factor demand is expected to grow until replicas that are ordered
// now serve. windows holds the tokens of the last windows, newest first, and peak is the
// highest mean of an earlier one. A step is no trend: the demand must rise in both pairs of
// windows, by more than its noise. Demand that was higher lately is expected to rise to
// that: it may be a wave.
func (p *plan) growth(windows [3][]float64, peak, noise float64) float64 {
	var means [3]float64
	for i, w := range windows {
		if len(w) < trendBins-1 {
			return 1
		}
		means[i] = sum(w) / float64(len(w))
	}
	if means[1] <= 0 || means[2] <= 0 {
		return 1
	}
	// The noise of the mean of a window is less than that of the recent demand.
	rise := min(means[0]-means[1], means[1]-means[2])/means[1] - noise*math.Sqrt(2*float64(recentBins)/trendBins)
	horizon := (p.service.Scaling.StartTime+settleTime).Seconds()/trendBins + 0.5
	factor := 1 + min(max(rise, 0)*horizon, maxGrowth)
	if means[0] < peak*(1+noise) {
		return min(factor, max(peak/means[0], 1))
	}
	return factor
}

// learnPace takes over the measured time for a prompt token. tokens is how many are asked
// for in a second.
func (p *plan) learnPace(s *samples, bin int64, tokens float64) {
	if p.pace > 0 && bin <= p.paceBin {
		return
	}
	serving := 0
	for _, dc := range p.dataCentres {
		serving += dc.serving
	}
	if p.pace > 0 && tokens*p.pace > learnUse*float64(serving) {
		p.calmFrom = bin + calmBins
	}
	first := bin - paceBins + 1
	if calm, ok := s.pace(p.service.Name, max(first, p.calmFrom), bin); ok {
		p.pace, p.paceBin = calm, bin
		return
	}
	if measured, ok := s.pace(p.service.Name, first, bin); ok {
		if p.pace > 0 {
			measured = min(measured, p.pace*paceRise)
		}
		p.pace, p.paceBin = measured, bin
	}
}

// targetUse returns the share of the time for which engines may be busy. An engine reads
// one prompt after the other. With random arrivals and equal prompts the wait exceeds w
// with the probability exp(-2(1-u)/u*w/s), u being the use and s the time of a prefill.
func targetUse(objective, prefill time.Duration) float64 {
	if objective <= 0 || prefill <= 0 {
		return defaultUse
	}
	wait := max(float64(objective-prefill)/float64(prefill), 0)
	if wait == 0 {
		return minUse
	}
	return min(max(1/(1+math.Log(1/lateShare)/(2*wait)), minUse), maxUse)
}

// require returns the number of replicas for each of n data centres, without bounds;
// reserve says whether the loss of one is provided for.
func (p *plan) require(d *demand, n int, reserve bool) (int, string) {
	left := float64(n)
	if reserve && n > 1 {
		left--
	}
	ceil := func(x float64) int { return int(math.Ceil(x - 1e-9)) }
	number, binding := ceil(d.Base/d.Use/left), "loss"
	raise := func(x float64, rule string) {
		if c := ceil(x); c > number {
			number, binding = c, rule
		}
	}
	raise(d.Recent*d.Growth/presentUse/float64(n), "present")
	// The forecast and a loss at the same time may use up what is left for waits.
	raise(d.Base*d.Growth/presentUse/left, "forecast")
	wait := burstWait * max(p.service.Objective-d.Prefill, 0).Seconds()
	raise(burstFactor*d.Base*burstTime.Seconds()/(burstTime.Seconds()+wait)/float64(n), "burst")
	raise(d.Running*d.Growth/(slotUse*float64(p.slots()))/left, "slots")
	return number, binding
}

// slots returns the smallest number of slots of an engine.
func (p *plan) slots() int {
	slots := 0
	for _, in := range p.instances {
		if in.Slots > 0 && (slots == 0 || in.Slots < slots) {
			slots = in.Slots
		}
	}
	if slots == 0 {
		return defaultSlots
	}
	return slots
}

// present returns the number of data centres among which the demand is divided, and
// whether the loss of another one is provided for.
func (p *plan) present(now time.Time) (n int, reserve bool) {
	reserve = true
	for _, dc := range p.dataCentres {
		if dc.lostSince.IsZero() {
			n++
		} else if !dc.planned && now.Sub(dc.lostSince) < goneAfter {
			reserve = false
		}
	}
	return n, reserve
}

// held reports whether upstreams were lost a short time ago, and silent whether nothing is
// ordered for that.
func (p *plan) held(now time.Time) bool { return !p.lostAt.IsZero() && now.Sub(p.lostAt) < lossHold }

func (p *plan) silent(now time.Time) bool { return p.held(now) && now.Sub(p.lostSince) < maxLossHold }

// order returns the orders of the service that are due.
func (p *plan) order(s *samples, now time.Time) []Order {
	maps.DeleteFunc(p.dataCentres, func(_ string, dc *dataCentre) bool {
		return dc.serving+dc.draining == 0 && !dc.lostSince.IsZero() && now.Sub(dc.lostSince) >= forgetAfter
	})
	if p.silent(now) {
		return nil
	}
	bin := s.lastBin(now)
	d, ok := p.observe(s, bin)
	n, reserve := p.present(now)
	if !ok || n == 0 || d.bins < int(minRaiseTime/interval) {
		return p.repeat(now)
	}
	number, binding := p.require(&d, n, reserve)
	d.DataCentres, d.Reserve = n, number-int(math.Ceil(d.Base/d.Use/float64(n)))
	// Noise alone raises nothing.
	likely := d
	likely.Recent /= 1 + d.noise
	likely.Base /= 1 + d.baseNoise
	raiseTo, _ := p.require(&likely, n, reserve)
	p.needs[bin] = need{number: number, covered: d.covered}
	sufficed, covered := p.sufficed(s, bin, n, reserve)
	maps.DeleteFunc(p.needs, func(b int64, _ need) bool { return b < bin-2*int64(lookback/interval) })

	learning := now.Sub(p.since) < learnTime
	mayLower := !learning && now.Sub(p.since) >= p.service.LowerAfter && !p.held(now) && covered && !d.rising && !p.service.Moving
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(p.dataCentres)) {
		dc := p.dataCentres[name]
		next, rule := p.next(dc, number, raiseTo, sufficed, binding, mayLower, now)
		changed := next != dc.number
		// While learning, only a changed number or one that did not go through is sent.
		if !changed && (!dc.due(now) || learning && !dc.ordered) || dc.removed() {
			continue
		}
		o := Order{Service: p.service.Name, DataCentre: name, Number: next, Previous: dc.number, Reasons: d.Reasons}
		o.Reasons.Binding, o.Reasons.Local = rule, d.local[name]
		out = append(out, o)
		if next < dc.number || dc.failed() {
			dc.loweredAt = now
		}
		dc.number, dc.ordered, dc.sentAt = next, true, now
	}
	return out
}

// repeat returns the last orders that are due again, for a time without samples.
func (p *plan) repeat(now time.Time) []Order {
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(p.dataCentres)) {
		if dc := p.dataCentres[name]; dc.ordered && dc.due(now) && !dc.removed() {
			out = append(out, Order{Service: p.service.Name, DataCentre: name, Number: dc.number, Previous: dc.number, Reasons: Reasons{Binding: "kept"}})
			dc.sentAt = now
		}
	}
	return out
}

// failed reports whether the last order did not go through.
func (dc *dataCentre) failed() bool { return dc.ordered && dc.sentAt.IsZero() }

// due reports whether an unchanged order must be sent again.
func (dc *dataCentre) due(now time.Time) bool {
	return dc.sentAt.IsZero() || now.Sub(dc.sentAt) >= resendInterval
}

// removed reports whether the upstreams left as announced, so that nothing is ordered.
func (dc *dataCentre) removed() bool { return !dc.lostSince.IsZero() && dc.planned }

// sufficed returns the number that would have sufficed in every bin of the lookback, with
// the margin of a lower number, and whether enough daemons were heard in all of them.
func (p *plan) sufficed(s *samples, bin int64, n int, reserve bool) (number int, covered bool) {
	first := max(bin-int64(lookback/interval)+1, s.binAt(p.since)+1)
	for b := first; b <= bin; b++ {
		past, known := p.needs[b]
		if !known {
			// No order was asked for in that bin.
			d, ok := p.observe(s, b)
			if !ok {
				return 0, false
			}
			past.number, _ = p.require(&d, n, reserve)
			past.covered = d.covered
			p.needs[b] = past
		}
		if !past.covered {
			return 0, false
		}
		number = max(number, past.number)
	}
	return int(math.Ceil(float64(number) * (1 + lowerMargin))), bin-first+1 >= minLowerBins
}

// next returns the number for a data centre and the rule that gives it.
func (p *plan) next(dc *dataCentre, number, raiseTo, sufficed int, binding string, mayLower bool, now time.Time) (int, string) {
	low, high := p.service.Scaling.Min, p.service.Scaling.Max
	bound := func(n int) (int, string) {
		switch {
		case high > 0 && n >= high:
			return high, "max"
		case n <= low:
			return low, "min"
		}
		return n, binding
	}
	wanted, rule := bound(number)
	if !dc.lostSince.IsZero() {
		// A lost data centre keeps its number until it is back or forgotten.
		kept, _ := bound(dc.number)
		return kept, "kept"
	}
	likely, _ := bound(raiseTo)
	switch {
	case likely > dc.number:
		return wanted, rule
	case dc.number > high && high > 0:
		return high, "max"
	case p.service.Moving && dc.serving > dc.number && dc.number < high:
		// The control service counts both versions: it would stop replicas of one of them.
		return min(dc.serving, high), "moving"
	}
	target, rule := bound(sufficed)
	// The steps of orders that did not go through would add up to one large step.
	if !mayLower || dc.failed() || target >= dc.number || now.Sub(dc.loweredAt) < lowerInterval {
		return dc.number, "kept"
	}
	step := max(int(float64(dc.number)*lowerShare), 1)
	if dc.number-step > target {
		return dc.number - step, rule
	}
	return target, rule
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// highestMean returns the highest mean of n values in a row, the last n left out.
func highestMean(values []float64, n int) (highest float64) {
	for end := n; end <= len(values)-n; end++ {
		highest = max(highest, sum(values[end-n:end])/float64(n))
	}
	return highest
}

func median(sorted []float64) float64 {
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// String returns the figures for logs.
func (r Reasons) String() string {
	return fmt.Sprintf("%s: base %.1f recent %.1f growth %.2f engines, prefill %s, use %.2f, running %.0f, reserve %d in each of %d data centres",
		r.Binding, r.Base, r.Recent, r.Growth, r.Prefill.Round(time.Millisecond), r.Use, r.Running, r.Reserve, r.DataCentres)
}
