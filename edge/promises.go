package edge

import (
	"log/slog"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/gateway"
	"github.com/gooseberryroad/gooseberryroad/internal/bounds"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

// Promises returns the promises that have a time, each with the timers that keep it under
// the settings. Those whose bound is unknown are left out. docs/design.md explains them.
func (s Settings) Promises() []bounds.Chain {
	out := []bounds.Chain{
		directory.StalenessChain("configuration", s.MaxStaleness),
		gateway.ResumeChain(failover.DefaultOptions(), upstream.DefaultOptions().DialTimeout),
	}
	if s.StopGrace > 0 {
		out = append(out, drain.Chain(s.StopGrace))
	}
	if s.MaxRevocationTime > 0 {
		revocation := directory.StalenessChain("revoked keys", s.MaxStaleness)
		revocation.Bound = s.MaxRevocationTime
		out = append(out, revocation)
	}
	if s.MaxDrainTime > 0 {
		out = append(out, directory.RemovalChain(s.MaxDrainTime))
	}
	return out
}

// logBrokenPromises logs the promises that the settings leave too little time for.
func (s Settings) logBrokenPromises(l *slog.Logger) {
	for _, c := range s.Promises() {
		if c.Margin() < 0 {
			l.Warn("the settings leave too little time for a promise", "promise", c.Promise, "bound", c.Bound, "timers", c.String())
		}
	}
}
