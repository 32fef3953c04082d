package placement

import (
	"cmp"
	"slices"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// localScouts and remoteScouts are the engines that are asked for their load at
	// once before a stream is placed. A stream is worth far more than the questions.
	localProbes  = 3
	remoteProbes = 2
	// maxScoutRounds bounds how often further engines are asked when all that
	// answered are full: beyond a dozen the others are likely to be full too.
	maxProbeRounds = 3
)

// Scouts is the search for an engine with a place by questions for the load, which
// cost no repeat, while a full engine's refusal does.
type ProbePlan struct {
	prompt, dataCentre string
	unprobed           []Ranked
	answered           []registry.Instance
	rounds             int
}

// NewScouts begins a search among ranked engines for a prompt.
func NewProbePlan(ranked []Ranked, prompt, dataCentre string) *ProbePlan {
	return &ProbePlan{prompt: prompt, dataCentre: dataCentre, unprobed: ranked}
}

// Next returns the engines to ask now; none when the search is over. The prompt
// decides which engines of the own data centre are asked first, so that every
// daemon of the data centre looks for a prompt in the same few places.
func (p *ProbePlan) Next() []registry.Instance {
	if p.rounds++; p.rounds > maxProbeRounds {
		return nil
	}
	var targets []registry.Instance
	var others []Ranked
	local, remote := 0, 0
	for _, c := range ByAffinity(p.unprobed, p.prompt) {
		switch {
		case c.Paused:
			others = append(others, c)
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
	if p.rounds == 1 && len(targets) < 2 {
		// Nothing to choose from.
		return nil
	}
	p.unprobed = others
	return targets
}

// Answered notes an engine that told its load.
func (p *ProbePlan) Answered(in registry.Instance) { p.answered = append(p.answered, in) }

// Order returns the engines that answered and those that were not asked, best
// first; rank orders some of them by what is known now.
func (p *ProbePlan) Order(rank func([]registry.Instance) []Ranked) []Ranked {
	others := make([]registry.Instance, 0, len(p.unprobed))
	for _, c := range p.unprobed {
		others = append(others, c.Instance)
	}
	return orderProbed(rank(p.answered), rank(others))
}

// orderScouted puts those that answered first, then the others, then those that
// answered that all places are taken.
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

// Found reports whether an engine that answered has a place.
func (p *ProbePlan) FoundFreeSlot(rank func([]registry.Instance) []Ranked) bool {
	return slices.ContainsFunc(rank(p.answered), func(r Ranked) bool { return !r.SlotsTaken })
}

// ByAffinity orders engines by the rendezvous hash of a prompt.
func ByAffinity(ranked []Ranked, prompt string) []Ranked {
	out := slices.Clone(ranked)
	slices.SortStableFunc(out, func(a, b Ranked) int {
		return cmp.Compare(membership.Rendezvous(prompt, b.Address), membership.Rendezvous(prompt, a.Address))
	})
	return out
}
