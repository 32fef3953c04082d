// Package refusal writes refusals to callers as JSON with a machine-readable
// code and outcome.
package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells the caller whether its call may have had an effect.
type Outcome string

const (
	// NotRun means that the call did not run and never will.
	NotRun Outcome = "not_run"
	// MayHaveRun means that the call, or an earlier one with the same
	// idempotency key, may have run.
	MayHaveRun Outcome = "may_have_run"
)

// Refusal is an error response that the daemon sends in place of an upstream's
// response.
type Refusal struct {
	// Status is the HTTP status.
	Status  int
	Code    string
	Message string
	Outcome Outcome
	// RetryAfter is sent in whole seconds, rounded up; 0 sends no header.
	RetryAfter time.Duration
}

type body struct {
	Error struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Code    string  `json:"code"`
		Outcome Outcome `json:"outcome"`
	} `json:"error"`
}

// Type returns the class of the refusal, which is sent in the field type.
func (r Refusal) Type() string {
	switch {
	case r.Status == http.StatusUnauthorized || r.Status == http.StatusForbidden:
		return "authentication_error"
	case r.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case r.Status >= 500:
		return "server_error"
	}
	return "invalid_request_error"
}

// Write sends the refusal. Header fields that were set on w before are kept.
func (r Refusal) Write(w http.ResponseWriter) {
	var b body
	b.Error.Message, b.Error.Type, b.Error.Code, b.Error.Outcome = r.Message, r.Type(), r.Code, r.Outcome
	out, err := json.Marshal(b)
	if err != nil {
		// The type has no field that can fail to encode.
		panic("refusal: cannot encode the body: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(out)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	// The error is ignored: the caller may have disconnected, and there is nobody
	// else to tell.
	_, _ = w.Write(out)
}
