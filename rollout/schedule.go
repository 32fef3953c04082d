package rollout

import (
	"math"
	"time"
)

const (
	// MaxProbeShare bounds the mean share before growth. It is below the 5% of
	// the requests that a bad version may get, to allow for chance and for the
	// requests that are sent between the last outcome and the verdict.
	MaxProbeShare = 0.035

	// Probing ends at probeEndFraction, and growth at growthEndFraction, of the
	// time from the start of the move to its deadline. Most of the time is spent at
	// a small share, where a bad version does the least harm; the last tenth allows
	// for an owner or a store that is late.
	probeEndFraction  = 0.6
	growthEndFraction = 0.9

	// baselineFraction (of the time from start to deadline) and maxBaseline bound
	// the time at the start in which only the old version serves, so that its rates
	// and quantiles are known first.
	baselineFraction = 0.05
	maxBaseline      = 30 * time.Second

	// startFraction is the fraction of probing that is spent at StartShare. In the
	// rest, one replica of the new version gets the load of an old replica.
	startFraction = 0.25

	// Load bursts are used when an old replica's load is more than MaxProbeShare
	// of the requests. meanBurstShare is what the bursts add to the mean share,
	// restShare the share between bursts, and maxBurstShare the largest share of a
	// burst. There are burstCount bursts, as long as the time allows, because load
	// builds up over the duration of the answers; there are more of them when they
	// would be longer than maxBurst.
	burstCount     = 2
	meanBurstShare = 0.03
	restShare      = 0.005
	maxBurstShare  = 0.5
	minBurst       = 2 * time.Second
	maxBurst       = 2 * time.Minute

	// growthSteps is the number of steps, by equal factors, in which the share
	// grows. Each step adds about a quarter, which is less than a replica's spare
	// capacity.
	growthSteps = 16

	// unexaminedShare is the share of a new version whose move is done without
	// enough evidence. The other half of the requests is the control group.
	unexaminedShare = 0.5
	// minExaminedOutcomes is the least number of outcomes with which a version
	// counts as examined; a verdict needs at least 5 bad outcomes.
	minExaminedOutcomes = 8
)

// atFraction returns the time at the fraction p of the way from start to deadline.
func (m Move) atFraction(p float64) time.Time {
	return m.Started.Add(time.Duration(p * float64(m.Deadline.Sub(m.Started))))
}

// GrowsAt returns when the share begins to grow.
func (m Move) GrowsAt() time.Time { return m.atFraction(probeEndFraction) }

// FinishesAt returns when the share reaches 1, which is before the deadline.
func (m Move) FinishesAt() time.Time { return m.atFraction(growthEndFraction) }

func (m Move) baselineEnds() time.Time {
	return m.Started.Add(min(maxBaseline, time.Duration(baselineFraction*float64(m.Deadline.Sub(m.Started)))))
}

// PhaseAt returns the phase in force at now. It follows the schedule without a
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

// DoneAt returns when the move was done, or is scheduled to be done.
func (m Move) DoneAt() time.Time {
	if m.Phase == PhaseDone {
		return m.PhaseSince
	}
	return m.FinishesAt()
}

// WarmUntil returns when the old version need no longer be kept ready.
func (m Move) WarmUntil() time.Time { return m.DoneAt().Add(m.Versions.Warm) }

// ShareAt returns the share of To that the record gives at now. All daemons get
// the same result from the same record.
func (m Move) ShareAt(now time.Time) float64 {
	s, _ := m.shareAt(now)
	return s
}

// shareAt returns the result of ShareAt and when it changes next (the zero time if
// it does not).
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
		// Rounding must not result in a time that has passed.
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
	loadAt := base.Add(time.Duration(startFraction * float64(grows.Sub(base))))
	if now.Before(loadAt) {
		return start, loadAt
	}
	fullShare := 1 / float64(max(m.Replicas, 1))
	if fullShare <= MaxProbeShare {
		return max(start, fullShare), grows
	}
	fullShare = min(fullShare, maxBurstShare)
	dutyCycle := meanBurstShare / fullShare
	burst := time.Duration(dutyCycle * float64(grows.Sub(loadAt)) / burstCount)
	burst = min(max(burst, minBurst), maxBurst)
	period := time.Duration(float64(burst) / dutyCycle)
	// The burst comes at the end of its period, so that the mean share up to any
	// time is not above that of a whole period.
	elapsed := now.Sub(loadAt) % period
	periodEnd := now.Add(period - elapsed)
	if rest := period - burst; elapsed < rest {
		return restShare, earlierOf(now.Add(rest-elapsed), grows)
	}
	return fullShare, earlierOf(periodEnd, grows)
}

// largestShare returns an upper bound of the shares that the schedule has given up
// to now: in probing, the largest share of that phase.
func (m Move) largestShare(now time.Time) float64 {
	if m.PhaseAt(now) != PhaseProbing {
		return m.ShareAt(now)
	}
	return max(m.Versions.StartShare, min(1/float64(max(m.Replicas, 1)), maxBurstShare))
}

func earlierOf(a, b time.Time) time.Time {
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

// loadTolerance is the factor by which the load of the replicas that carry a small
// share may exceed that of an old replica.
const loadTolerance = 1.2

// replicasFor returns the number of replicas that carry a share of the requests,
// given that n old replicas carry all of them.
func replicasFor(share float64, n int) int {
	return max(1, int(math.Ceil(share*float64(n)/loadTolerance)))
}
