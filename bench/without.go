package bench

import (
	"fmt"
	"sort"

	"github.com/rotisserie/eris"
)

// withoutText is the mechanism by which callers return the text that they hold.
const mechanismReturnedText = "returned-text"

// mechanism is something that a run can do without. Each is an option of the
// document, of the stand-ins or of the callers, never a switch in a decision.
type mechanism struct {
	help    string
	disable func(s *Scenario)
}

var mechanisms = map[string]mechanism{
	"resume":              {"engines resume streams (document: resumes = false)", func(s *Scenario) { s.Fleet.NoResume = true }},
	"peers":               {"daemons link to each other (settings: no seeds)", func(s *Scenario) { s.Fleet.NoSeeds = true }},
	"priorities":          {"engines serve continuations first (option of the stand-in)", func(s *Scenario) { s.Fleet.Engine.NoPriorities = true }},
	"prefix-cache":        {"engines cache prefixes (option of the stand-in)", func(s *Scenario) { s.Fleet.Engine.CacheTokens = -1 }},
	mechanismReturnedText: {"callers return their text with the cursor (option of the caller)", func(*Scenario) {}},
}

// Mechanisms returns the names that --without takes, in order.
func Mechanisms() []string {
	return sortedKeys(mechanisms)
}

// DescribeMechanisms returns one line for each mechanism.
func DescribeMechanisms() []string {
	var lines []string
	for _, name := range Mechanisms() {
		lines = append(lines, fmt.Sprintf("%-22s %s", name, mechanisms[name].help))
	}
	return lines
}

func (r *run) disableMechanism(name string) error {
	if name == "" {
		return nil
	}
	m, ok := mechanisms[name]
	if !ok {
		return eris.Errorf("unknown mechanism %q; known: %v", name, Mechanisms())
	}
	m.disable(&r.scenario)
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
