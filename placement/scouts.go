package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// localProbes and remoteProbes are the numbers of engines of the daemon's data
	// centre and of other data centres that are asked for their load at once before
	// a stream is placed. The cost of these questions is small against that of a stream.
	localProbes  = 3
	remoteProbes = 2
	// minChoice is how many of the engines that answered should be left to choose from: the
	// less loaded of two is often loaded too when few engines take streams.
	minChoice = 3
	// maxProbeRounds bounds how often further engines are asked when all that
	// answered are full: after a dozen full engines the others are likely to be full
	// too.
	maxProbeRounds = 3
)

// ProbePlan is the search for an engine with a free slot by asking engines for
// their load. Such a question does not count against the retry budget, while a
// refusal by a full engine does.
type ProbePlan struct {
	prompt, dataCentre string
	unprobed           []Ranked
	answered           []registry.Instance
	rounds             int
	// limitedProbes is how many of the engines asked at once name a limit, as far as there
	// are permits for them.
	limitedProbes int
	// preferred are the IDs of engines that are asked first, whatever their rank.
	preferred []string
	// repeat says that a refusal would count against the retry budget.
	repeat bool
}

// NewProbePlan returns a plan that searches among ranked engines for one that
// can run a prompt.
func NewProbePlan(ranked []Ranked, prompt, dataCentre string) *ProbePlan {
	return &ProbePlan{prompt: prompt, dataCentre: dataCentre, unprobed: ranked}
}

// ForRepeat makes the plan ask an engine that is the only choice too: the refusal of a
// repeat counts against the retry budget.
func (p *ProbePlan) ForRepeat() { p.repeat = true }

// ForEngines makes the plan ask some engines in its first round in addition to the others.
func (p *ProbePlan) ForEngines(ids []string) { p.preferred = ids }

// ForLimits gives engines that name a limit their share of the questions. share is the part
// of all engines that name one, with or without a permit at this daemon. Those with a
// permit are few in a large fleet; without it, the other engines would get nearly all
// streams.
func (p *ProbePlan) ForLimits(share float64) {
	p.limitedProbes = int(math.Round(share * (localProbes + remoteProbes)))
}

// Next returns the engines to ask now, or none when the search is over. The
// prompt decides which engines of the daemon's data centre are asked first, so
// that all daemons of the data centre look for a prompt at the same few engines.
func (p *ProbePlan) Next() []registry.Instance {
	if p.rounds++; p.rounds > maxProbeRounds {
		return nil
	}
	var targets []registry.Instance
	var others []Ranked
	ordered := ByAffinity(p.unprobed, p.prompt)
	limited := min(p.limitedProbes, countLimited(ordered))
	// Those with a limit take the places of remote engines first: most of them are remote.
	local, remote := max(limited-remoteProbes, 0), min(limited, remoteProbes)
	for _, c := range ordered {
		switch {
		case c.Paused:
			others = append(others, c)
		case slices.Contains(p.preferred, c.ID):
			targets = append(targets, c.Instance)
		case c.Limited && limited > 0:
			limited--
			targets = append(targets, c.Instance)
		case c.DataCentre == p.dataCentre && local < localProbes:
			local++
			targets = append(targets, c.Instance)
		case c.DataCentre != p.dataCentre && remote < remoteProbes:
			remote++
			targets = append(targets, c.Instance)
		default:
			others = append(others, c)
		}
	}
	if p.rounds == 1 && len(targets) < 2 && !p.repeat {
		// There is no choice between engines, so their load need not be asked.
		return nil
	}
	p.unprobed = others
	return targets
}

// countLimited returns how many engines that may be asked name a limit.
func countLimited(engines []Ranked) int {
	n := 0
	for _, c := range engines {
		if c.Limited && !c.Paused {
			n++
		}
	}
	return n
}

// Answered records an engine that reported its load.
func (p *ProbePlan) Answered(in registry.Instance) { p.answered = append(p.answered, in) }

// Choices returns the engines that answered, in their order. rank orders a list of engines
// by what is known now.
func (p *ProbePlan) Choices(rank func([]registry.Instance) []Ranked) []Ranked {
	return rank(p.answered)
}

// Order returns the engines that answered and those that were not asked: those
// with a free slot first, those whose slots are all taken last. rank orders a
// list of engines by what is known now.
func (p *ProbePlan) Order(rank func([]registry.Instance) []Ranked) []Ranked {
	others := make([]registry.Instance, 0, len(p.unprobed))
	for _, c := range p.unprobed {
		others = append(others, c.Instance)
	}
	return orderProbed(rank(p.answered), rank(others))
}

// orderProbed returns first the engines that answered, then the others, then
// those that answered that all their slots are taken.
func orderProbed(answered, others []Ranked) []Ranked {
	var free, taken []Ranked
	for _, r := range answered {
		if r.SlotsTaken {
			taken = append(taken, r)
		} else {
			free = append(free, r)
		}
	}
	return slices.Concat(free, others, taken)
}

// FoundFreeSlot reports whether an engine that answered has a free slot, and enough of them
// are left to choose from although others named a limit in their answers.
func (p *ProbePlan) FoundFreeSlot(rank func([]registry.Instance) []Ranked) bool {
	ranked := rank(p.answered)
	return len(ranked) >= min(minChoice, len(p.answered)) && slices.ContainsFunc(ranked, func(r Ranked) bool { return !r.SlotsTaken })
}

// ByAffinity returns engines ordered by the rendezvous hash of a prompt and
// their addresses.
func ByAffinity(ranked []Ranked, prompt string) []Ranked {
	out := slices.Clone(ranked)
	slices.SortStableFunc(out, func(a, b Ranked) int {
		return cmp.Compare(membership.RendezvousWeight(prompt, b.Address), membership.RendezvousWeight(prompt, a.Address))
	})
	return out
}
