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
	localScouts  = 3
	remoteScouts = 2
	// maxScoutRounds bounds how often further engines are asked when all that
	// answered are full: beyond a dozen the others are likely to be full too.
	maxScoutRounds = 3
)

// Scouts is the search for an engine with a place by questions for the load, which
// cost no repeat, while a full engine's refusal does.
type ProbePlan struct {
	prompt, dataCentre string
	rest               []Ranked
	answered           []registry.Instance
	rounds             int
}

// NewScouts begins a search among ranked engines for a prompt.
func NewProbePlan(ranked []Ranked, prompt, dataCentre string) *ProbePlan {
	return &ProbePlan{prompt: prompt, dataCentre: dataCentre, rest: ranked}
}

// Next returns the engines to ask now; none when the search is over. The prompt
// decides which engines of the own data centre are asked first, so that every
// daemon of the data centre looks for a prompt in the same few places.
func (s *ProbePlan) Next() []registry.Instance {
	if s.rounds++; s.rounds > maxScoutRounds {
		return nil
	}
	var asked []registry.Instance
	var others []Ranked
	local, remote := 0, 0
	for _, c := range ByAffinity(s.rest, s.prompt) {
		switch {
		case c.Paused:
			others = append(others, c)
		case c.DataCentre == s.dataCentre && local < localScouts:
			local++
			asked = append(asked, c.Instance)
		case c.DataCentre != s.dataCentre && remote < remoteScouts:
			remote++
			asked = append(asked, c.Instance)
		default:
			others = append(others, c)
		}
	}
	if s.rounds == 1 && len(asked) < 2 {
		// Nothing to choose from.
		return nil
	}
	s.rest = others
	return asked
}

// Answered notes an engine that told its load.
func (s *ProbePlan) Answered(in registry.Instance) { s.answered = append(s.answered, in) }

// Order returns the engines that answered and those that were not asked, best
// first; rank orders some of them by what is known now.
func (s *ProbePlan) Order(rank func([]registry.Instance) []Ranked) []Ranked {
	others := make([]registry.Instance, 0, len(s.rest))
	for _, c := range s.rest {
		others = append(others, c.Instance)
	}
	return orderScouted(rank(s.answered), rank(others))
}

// orderScouted puts those that answered first, then the others, then those that
// answered that all places are taken.
func orderScouted(answered, others []Ranked) []Ranked {
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
func (s *ProbePlan) FoundFreeSlot(rank func([]registry.Instance) []Ranked) bool {
	return slices.ContainsFunc(rank(s.answered), func(r Ranked) bool { return !r.SlotsTaken })
}

// ByAffinity orders engines by the rendezvous hash of a prompt.
func ByAffinity(ranked []Ranked, prompt string) []Ranked {
	out := slices.Clone(ranked)
	slices.SortStableFunc(out, func(a, b Ranked) int {
		return cmp.Compare(membership.RendezvousWeight(prompt, b.Address), membership.RendezvousWeight(prompt, a.Address))
	})
	return out
}
