package bench

import (
	"encoding/json"
	"fmt"
	"io"
)

// Report is the result of one run. The units of times are given by the names of
// the fields.
type Report struct {
	Scenario        string  `json:"scenario"`
	Seed            uint64  `json:"seed"`
	Without         string  `json:"without,omitempty"`
	DurationSeconds float64 `json:"duration_s"`
	Processors      int     `json:"processors"`
	Daemons         int     `json:"daemons"`

	Requests      int `json:"requests"`
	AnswersWhole  int `json:"answers_whole"`
	AnswersBroken int `json:"answers_broken"`
	// Refused counts requests that were refused with the outcome not_run before any
	// token.
	Refused int `json:"refused"`

	FirstTokenMS    Quantiles `json:"first_token_ms"`
	BetweenTokensMS Quantiles `json:"between_tokens_ms"`
	// ResumeLatencyMS is the longest time without output at the caller that overlaps
	// the loss of the request's engine, connection or daemon.
	ResumeLatencyMS Quantiles `json:"resume_latency_ms"`

	TokensDelivered      int64   `json:"tokens_delivered"`
	TokensGenerated      int64   `json:"tokens_generated"`
	TokensPrefilledAgain int64   `json:"tokens_prefilled_again"`
	ExtraTokensRatio     float64 `json:"extra_tokens_ratio"`
	EngineCrashes        int64   `json:"engine_crashes"`
	// ProcessCPUPerTokenUS is the processor time of this process per delivered token,
	// in microseconds: that of stand-ins, callers and, unless they run as processes,
	// daemons together.
	ProcessCPUPerTokenUS float64 `json:"process_cpu_us_per_token"`

	// ControlBytesPerSecond is the rate at which a daemon sends and receives on peer
	// links, the mean over the daemons that were alive throughout the run.
	ControlBytesPerSecond float64 `json:"control_bytes_per_s"`
	StoreCallsPerSecond   float64 `json:"store_calls_per_s"`
	// LoadAverage is the machine's load average over the last minute, read at the end
	// of the run.
	LoadAverage float64 `json:"load_average"`

	// DirectFirstTokenMS and DirectBetweenTokensMS are the figures of the baseline;
	// nil without one.
	DirectFirstTokenMS    *Quantiles `json:"direct_first_token_ms,omitempty"`
	DirectBetweenTokensMS *Quantiles `json:"direct_between_tokens_ms,omitempty"`

	// Extra holds figures that only some scenarios have, by key. In JSON they are
	// fields of the report.
	Extra map[string]float64 `json:"-"`

	Faults   []InjectedFault `json:"faults,omitempty"`
	Failures []string        `json:"failures,omitempty"`
	Points   []Point         `json:"-"`
	Samples  []Sample        `json:"-"`
}

// InjectedFault is a fault and when it was injected, in seconds since the start of
// the run.
type InjectedFault struct {
	AtSeconds float64 `json:"at_s"`
	Name      string  `json:"name"`
}

// Point describes one request for plots.
type Point struct {
	AtSeconds, FirstTokenMS, MaxGapMS float64
	Reconnects                        int
	Broken, Refused                   bool
}

// MarshalJSON encodes the figures of Extra as fields of the report.
func (r *Report) MarshalJSON() ([]byte, error) {
	type plain Report
	b, err := json.Marshal((*plain)(r))
	if err != nil || len(r.Extra) == 0 {
		return b, err
	}
	extra, err := json.Marshal(r.Extra)
	if err != nil {
		return nil, err
	}
	return append(append(b[:len(b)-1], ','), extra[1:]...), nil
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as lines for a terminal.
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
		fmt.Sprintf("processor       %.1f us a token, this process", r.ProcessCPUPerTokenUS),
	}
	lines = append(lines,
		fmt.Sprintf("control         %.0f B/s a daemon", r.ControlBytesPerSecond),
		fmt.Sprintf("store           %.1f calls/s", r.StoreCallsPerSecond),
		fmt.Sprintf("load average    %.1f", r.LoadAverage))
	if r.DirectFirstTokenMS != nil && r.DirectBetweenTokensMS != nil {
		lines = append(lines, "direct first    "+q(*r.DirectFirstTokenMS), "direct between  "+q(*r.DirectBetweenTokensMS))
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
