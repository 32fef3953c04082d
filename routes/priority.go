package routes

// MaxPriority is the priority of the least urgent requests; 0 is the most urgent.
const MaxPriority = 9

// DefaultPriority is the priority of routes for which the configuration states none.
const DefaultPriority = 5

// Priority returns the priority of a request of a route: that of its client account, if
// the account has one, or else that of the route. account is empty if there is none.
func (t *Table) Priority(r *Route, account string) int {
	if p, ok := t.accountPriorities[account]; ok {
		return p
	}
	return r.Priority
}

// RanksRequests reports whether requests for a service can differ in priority.
func (t *Table) RanksRequests(service string) bool { return t.ranked[service] }

// rankedServices returns the services for which requests can differ in priority.
func rankedServices(c Config) map[string]bool {
	accountPriorities, allHavePriority := map[int]bool{}, len(c.Accounts) > 0
	for _, a := range c.Accounts {
		if a.Priority == nil {
			allHavePriority = false
			continue
		}
		accountPriorities[*a.Priority] = true
	}
	priorities := map[string]map[int]bool{}
	for _, r := range c.Routes {
		for _, s := range r.Shares {
			if s.Weight <= 0 {
				continue
			}
			if priorities[s.Service] == nil {
				priorities[s.Service] = map[int]bool{}
			}
			for p := range accountPriorities {
				priorities[s.Service][p] = true
			}
			if r.Anonymous || !allHavePriority {
				priorities[s.Service][r.Priority] = true
			}
		}
	}
	ranked := map[string]bool{}
	for service, p := range priorities {
		ranked[service] = len(p) > 1
	}
	return ranked
}
