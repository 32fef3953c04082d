package routes

import (
	"cmp"
	"maps"
	"slices"
)

// MaxPriority is the priority of the least urgent requests; 0 is the most urgent.
const MaxPriority = 9

// DefaultPriority is the priority of routes for which the configuration states none.
const DefaultPriority = 5

// rank orders the requests of a configuration: the priority of the client account comes
// first, and that of the route decides among accounts of equal priority. Without it the
// priorities of routes would have no effect where all accounts have one.
type rank struct{ account, route int }

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
}

// rankOf returns the rank of a request of a route. An account without a priority, or none,
// has that of the route.
func (t *Table) rankOf(r *Route, account string) rank {
	p, ok := t.accountPriorities[account]
	if !ok {
		p = r.Priority
	}
	return rank{account: p, route: r.Priority}
}

// Priority returns the position of a request of a route among the ranks that requests for
// the same services can have, from 0, the most urgent, to MaxPriority.
func (t *Table) Priority(r *Route, account string) int {
	own, position := t.rankOf(r, account), 0
	for _, s := range r.Shares {
		p, _ := slices.BinarySearchFunc(t.ranks[s.Service], own, rank.compare)
		position = max(position, p)
	}
	return min(position, MaxPriority)
}

// RanksRequests reports whether the routes to a service of engines differ in priority, which
// engines can be told.
func (t *Table) RanksRequests(service string) bool { return t.ranked[service] }

// RanksStreams reports whether RanksRequests is true for any service: the operators of the
// deployment then say who is to be served first when there is not room for all.
func (t *Table) RanksStreams() bool { return len(t.ranked) > 0 }

// setRanks determines the ranks that the requests for each service can have, and the
// services of engines whose routes differ in priority.
func (t *Table) setRanks(c Config) {
	accountPriorities := map[int]bool{}
	for _, p := range t.accountPriorities {
		accountPriorities[p] = true
	}
	seen := map[string]map[rank]bool{}
	first := map[string]int{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, s := range r.Shares {
			if s.Weight <= 0 {
				continue
			}
			if seen[s.Service] == nil {
				seen[s.Service] = map[rank]bool{}
				first[s.Service] = r.Priority
			}
			seen[s.Service][rank{r.Priority, r.Priority}] = true
			for p := range accountPriorities {
				seen[s.Service][rank{p, r.Priority}] = true
			}
			if service := t.services[s.Service]; service != nil && service.Engine != nil && r.Priority != first[s.Service] {
				t.ranked[s.Service] = true
			}
		}
	}
	for service, ranks := range seen {
		t.ranks[service] = slices.SortedFunc(maps.Keys(ranks), rank.compare)
	}
}
