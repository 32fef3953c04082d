package bench

import (
	"fmt"
	"sort"

	"github.com/rotisserie/eris"
)

// mechanismReturnedText names the mechanism by which reconnecting callers return
// the text that they have received.
const mechanismReturnedText = "returned-text"

// mechanism is a feature that a run can disable. It is disabled by an option of
// the document, the settings, the stand-ins or the callers, never by a switch in
// the daemons' decision code.
type mechanism struct {
	help    string
	disable func(s *Scenario)
}

var mechanisms = map[string]mechanism{
	"resume":              {"engines resume streams (disabled by resumes = false in the document)", func(s *Scenario) { s.Fleet.NoResume = true }},
	"peers":               {"daemons link to each other (disabled by settings without seeds)", func(s *Scenario) { s.Fleet.NoSeeds = true }},
	"priorities":          {"engines serve continuations first (disabled by an option of the stand-in)", func(s *Scenario) { s.Fleet.Engine.NoPriorities = true }},
	"prefix-cache":        {"engines cache prefixes (disabled by an option of the stand-in)", func(s *Scenario) { s.Fleet.Engine.CacheTokens = -1 }},
	mechanismReturnedText: {"callers return the received text with the cursor (disabled by an option of the caller)", func(*Scenario) {}},
}

// Mechanisms returns the names that --without takes, in alphabetical order.
func Mechanisms() []string {
	return sortedKeys(mechanisms)
}

// DescribeMechanisms returns one line of help for each mechanism.
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
