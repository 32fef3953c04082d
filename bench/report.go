package bench

import (
	"encoding/json"
	"fmt"
	"io"
)

// Report is the result of one run. Times are in milliseconds unless a name
// says otherwise.
type Report struct {
	Scenario        string  `json:"scenario"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_s"`
	Processors      int     `json:"processors"`

	Requests      int `json:"requests"`
	AnswersWhole  int `json:"answers_whole"`
	AnswersBroken int `json:"answers_broken"`
	// Refused requests were told not_run before any token.
	Refused int `json:"refused"`

	FirstTokenMS    Quantiles `json:"first_token_ms"`
	BetweenTokensMS Quantiles `json:"between_tokens_ms"`
	// ResumeLatencyMS is measured at callers whose connection broke. Losses
	// that the daemon hides show in BetweenTokensMS.
	ResumeLatencyMS Quantiles `json:"resume_latency_ms"`

	TokensDelivered      int64   `json:"tokens_delivered"`
	TokensGenerated      int64   `json:"tokens_generated"`
	TokensPrefilledAgain int64   `json:"tokens_prefilled_again"`
	ExtraTokensRatio     float64 `json:"extra_tokens_ratio"`
	EngineCrashes        int64   `json:"engine_crashes"`
	// ProcessCPUPerTokenUS is the processor time of daemons, stand-ins and
	// callers together for each delivered token.
	ProcessCPUPerTokenUS float64 `json:"process_cpu_us_per_token"`

	// Extra holds figures of single scenarios by their key.
	Extra map[string]float64 `json:"extra,omitempty"`

	Faults   []FaultMark `json:"faults,omitempty"`
	Failures []string    `json:"failures,omitempty"`
	Points   []Point     `json:"-"`
}

// FaultMark is a fault as it was injected.
type FaultMark struct {
	AtSeconds float64 `json:"at_s"`
	Name      string  `json:"name"`
}

// Point is one request, for plots.
type Point struct {
	AtSeconds, FirstTokenMS, MaxGapMS float64
	Reconnects                        int
	Broken, Refused                   bool
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	q := func(q Quantiles) string {
		return fmt.Sprintf("p50 %.1f  p95 %.1f  p99 %.1f  max %.1f ms (%d)", q.P50, q.P95, q.P99, q.Max, q.Count)
	}
	lines := []string{
		fmt.Sprintf("scenario        %s (seed %d, %.0f s)", r.Scenario, r.Seed, r.DurationSeconds),
		fmt.Sprintf("requests        %d: %d whole, %d broken, %d refused as not run", r.Requests, r.AnswersWhole, r.AnswersBroken, r.Refused),
		"first token     " + q(r.FirstTokenMS),
		"between tokens  " + q(r.BetweenTokensMS),
		"resume latency  " + q(r.ResumeLatencyMS),
		fmt.Sprintf("extra tokens    %.2f%% of %d delivered", 100*r.ExtraTokensRatio, r.TokensDelivered),
		fmt.Sprintf("engine crashes  %d", r.EngineCrashes),
		fmt.Sprintf("processor       %.1f us a token, all processes", r.ProcessCPUPerTokenUS),
	}
	for _, k := range sortedKeys(r.Extra) {
		lines = append(lines, fmt.Sprintf("%-15s %g", k, r.Extra[k]))
	}
	for _, f := range r.Failures {
		lines = append(lines, "broken          "+f)
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}
