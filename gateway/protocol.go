package gateway

import (
	"net/http"
	"time"

	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// Call is a decoded request of a client.
type Call struct {
	// ID names the client's attempt; empty when the client sent none.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the request line's path and query.
	Path   string
	Target string
	// Key is the account's credential.
	Key string
	// Wait is how long the client waits; 0 is unknown.
	Timeout time.Duration
	// After is the last event that the client has; 0 is none.
	LastEventID int64
	// Prompt names the last part of the prompt, which belongs to the request or its
	// session; empty when there is none.
	PromptPartID string
	// Header holds what is passed on, without what the system sets itself.
	Header http.Header
	Body   []byte
}

// Attempt is what one upstream is told beside the client's own header.
type Attempt struct {
	Call     *Call
	Instance registry.Instance
	// Account is the name of the client account; empty on anonymous routes.
	Account string
	// Left is how long the upstream may work.
	TimeLeft time.Duration
	// After is the last event delivered; 0 is none.
	LastEventID int64
	// Copy receives the memory of the run as it grows; empty for none.
	CopyTo string
	// Restore names a copy of the run's memory; nil for a run that reads its
	// prompt.
	RestoreFrom *CacheCopy
}

// Copy names a copy of a run's memory.
type CacheCopy struct {
	// Address is the upstream that the copy is asked for under its name: the one
	// that holds it, or the source of a copy with a handle.
	Address string
	// Handle is empty for a copy that an engine made as the run went on.
	Handle string
}

// Head is the decoded head of an upstream's answer.
type ResponseHead struct {
	// ID is the client's attempt that the answer is to.
	ID string
	// Sealed answers carry the upstream's proof that it made them.
	Sealed bool
	// NotRun answers say that the upstream did not begin the request.
	NotRun bool
	// Misdirected answers come from another upstream than the expected one. They
	// are NotRun too.
	Misdirected bool
	// Load is nil when the upstream does not tell it.
	Load *placement.Load
}

// Report is an engine's state.
type EngineReport struct {
	Load    placement.Load
	Verdict failover.Verdict
	// Born is the start of the engine in Unix milliseconds; 0 is unknown.
	StartedMs int64
	// Models are the names of the models that the engine serves.
	Models []string
}

// Protocol translates between calls and the wire of a deployment.
type Protocol interface {
	// Decode reads the head of a client's request.
	DecodeRequest(r *http.Request) Call
	// Header returns the header of an attempt.
	RequestHeader(a Attempt) http.Header
	// Head reads the head of an answer.
	DecodeResponseHead(status int, h http.Header) ResponseHead
	// ReportTarget is the path at which engines report their state.
	ReportTarget() string
	// Report reads an engine's state and whether it holds the run of an attempt.
	DecodeReport(body []byte, id string) (EngineReport, error)
	// CacheTarget is the path at which engines list the prompts in their memory.
	CacheTarget() string
	// CachedTokens returns how much of a prompt's last part an engine keeps.
	DecodeCachedTokens(body []byte, prompt string) (int, error)
	// CopyCall returns the path and the body of a call that copies a run's memory
	// to another engine, and CopyHandle reads its answer.
	CopyRequest(id, to string) (target string, body []byte)
	DecodeCopyHandle(body []byte) (string, error)
	// FreeTarget is the path at which a copy that is no longer needed is freed, at
	// the engine that made it.
	FreeTarget(handle string) string
	// InstanceID returns the ID that an upstream states in the answer to a health
	// check; empty when it states none.
	InstanceID(h http.Header) string
	// ErrorHeader adds what a client must be told about an answer of our own.
	SetErrorHeader(h http.Header, id string, retryAfter time.Duration)
}
