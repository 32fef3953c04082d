package rollout

import (
	"math"
	"time"
)

const (
	// MaxProbeShare bounds the mean share before growth. It leaves a part
	// of the 5% that a bad version may get to chance and to the time between the
	// last outcome and the verdict.
	MaxProbeShare = 0.035

	// probeEnds and growthEnds are parts of the time from the start of the move
	// to its deadline. Most of it is spent at a small share, where a bad version
	// does least harm; the last tenth is left for a late owner or store.
	probeEnds  = 0.6
	growthEnds = 0.9

	// baselinePart and baselineMax bound the time at the start in which only the
	// old version serves, so that its rates and quantiles are known first.
	baselinePart = 0.05
	baselineMax  = 30 * time.Second

	// startPart is the part of probing at StartShare; the rest is at the load of
	// a full replica.
	startPart = 0.25

	// Load bursts are used when a full replica's load is more than
	// MaxProbeShare of the requests. burstMean is their mean share over time,
	// restShare the share in between, maxBurstShare the largest share. Two bursts
	// are as long as the time allows, because load builds up over the length of
	// the answers; more are made when they would be longer than maxBurst.
	bursts        = 2
	burstMean     = 0.03
	restShare     = 0.005
	maxBurstShare = 0.5
	minBurst      = 2 * time.Second
	maxBurst      = 2 * time.Minute

	// growthSteps is the number of equal factors by which the share grows. A
	// step is about a quarter more, less than a replica's spare capacity.
	growthSteps = 16

	// unexaminedShare is the share of a version that is done without enough
	// evidence: half of the requests are the control group.
	unexaminedShare = 0.5
	// examinedMin is the number of outcomes that count as an examination; at
	// least 5 bad outcomes are needed for a verdict.
	examinedMin = 8
)

func (m Move) part(p float64) time.Time {
	return m.Started.Add(time.Duration(p * float64(m.Deadline.Sub(m.Started))))
}

// GrowsAt is when the share begins to grow.
func (m Move) GrowsAt() time.Time { return m.part(probeEnds) }

// FinishesAt is when the share reaches 1. It lies before the deadline.
func (m Move) FinishesAt() time.Time { return m.part(growthEnds) }

func (m Move) baselineEnds() time.Time {
	return m.Started.Add(min(baselineMax, time.Duration(baselinePart*float64(m.Deadline.Sub(m.Started)))))
}

// PhaseAt is the phase in force at the time. It follows the schedule without a
// new record, so that a move goes on while its owner or the store is down.
func (m Move) PhaseAt(now time.Time) Phase {
	switch {
	case m.Phase != PhaseProbing && m.Phase != PhaseGrowing:
		return m.Phase
	case !now.Before(m.FinishesAt()):
		return PhaseDone
	case !now.Before(m.GrowsAt()):
		return PhaseGrowing
	}
	return m.Phase
}

// DoneAt is when the move was done, or is to be done.
func (m Move) DoneAt() time.Time {
	if m.Phase == PhaseDone {
		return m.PhaseSince
	}
	return m.FinishesAt()
}

// WarmUntil is when the old version may go.
func (m Move) WarmUntil() time.Time { return m.DoneAt().Add(m.Versions.Warm) }

// ShareAt is the share of To that the record gives at the time, and NextShare
// when it changes next (zero if it does not). All daemons get the same result
// from the same record.
func (m Move) ShareAt(now time.Time) float64 {
	s, _ := m.shareAt(now)
	return s
}

func (m Move) shareAt(now time.Time) (float64, time.Time) {
	switch m.PhaseAt(now) {
	case PhaseDone:
		return 1, time.Time{}
	case PhaseProbing:
		return m.probeShare(now)
	case PhaseGrowing:
		length := m.FinishesAt().Sub(m.GrowsAt())
		step := int(float64(growthSteps) * float64(now.Sub(m.GrowsAt())) / float64(length))
		step = min(max(step, 0), growthSteps-1)
		next := m.GrowsAt().Add(time.Duration(float64(step+1) * float64(length) / growthSteps))
		// Rounding must not give a time that has passed.
		if !next.After(now) {
			next = now.Add(time.Millisecond)
		}
		return math.Pow(MaxProbeShare, 1-float64(step)/growthSteps), next
	}
	return 0, time.Time{}
}

func (m Move) probeShare(now time.Time) (float64, time.Time) {
	base, grows := m.baselineEnds(), m.GrowsAt()
	if now.Before(base) {
		return 0, base
	}
	start := min(m.Versions.StartShare, MaxProbeShare)
	loadAt := base.Add(time.Duration(startPart * float64(grows.Sub(base))))
	if now.Before(loadAt) {
		return start, loadAt
	}
	full := 1 / float64(max(m.Replicas, 1))
	if full <= MaxProbeShare {
		return max(start, full), grows
	}
	full = min(full, maxBurstShare)
	duty := burstMean / full
	burst := time.Duration(duty * float64(grows.Sub(loadAt)) / bursts)
	burst = min(max(burst, minBurst), maxBurst)
	period := time.Duration(float64(burst) / duty)
	// The burst ends its period, so that the mean share never runs ahead.
	into := now.Sub(loadAt) % period
	end := now.Add(period - into)
	if rest := period - burst; into < rest {
		return restShare, earlier(now.Add(rest-into), grows)
	}
	return full, earlier(end, grows)
}

// largestShare is the largest share that the schedule gave up to the time.
func (m Move) largestShare(now time.Time) float64 {
	if m.PhaseAt(now) != PhaseProbing {
		return m.ShareAt(now)
	}
	return max(m.Versions.StartShare, min(1/float64(max(m.Replicas, 1)), maxBurstShare))
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// loadTolerance is how much more than an ordinary replica's load the replicas
// of a small share may get.
const loadTolerance = 1.2

// replicasFor is the number of replicas that carry a share of the requests when
// n old replicas carry all of them.
func replicasFor(share float64, n int) int {
	return max(1, int(math.Ceil(share*float64(n)/loadTolerance)))
}
