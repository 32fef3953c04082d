package gateway

import (
	"net/http"
	"time"

	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/internal/clientconn"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// Call is the decoded request of a client.
type Call struct {
	// ID identifies the client's attempt; empty if the client sent none.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path and the query of the request line.
	Path   string
	Target string
	// Key is the credential of the client account.
	Key string
	// Timeout is how long the client waits for the response; 0 is unknown.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the client has; 0 is none.
	LastEventID int64
	// PromptPartID identifies the last part of the prompt, which belongs to this
	// request or its session alone; empty if there is none.
	PromptPartID string
	// SharedPartIDs identify the other parts of the prompt, which other requests may
	// have too, in their order.
	SharedPartIDs []string
	// PartTokens holds the tokens of the parts in SharedPartIDs and then those of
	// PromptPartID; PromptTokens and MaxOutputTokens are those of the whole prompt and the
	// largest number that may be generated. 0 is unknown.
	PartTokens                    []int
	PromptTokens, MaxOutputTokens int
	// Header holds the fields that are forwarded, without those that the gateway
	// sets itself.
	Header http.Header
	Body   []byte
	// connection is nil if it is not known.
	connection *clientconn.Conn
	// original is the header as it arrived, for another daemon; nil if requests are not
	// forwarded.
	original http.Header
	// forwarded is set for a request that another daemon forwards.
	forwarded *forwardMark
}

// Attempt is what one upstream is told in addition to the client's own header.
type Attempt struct {
	Call     *Call
	Instance registry.Instance
	// Account is the name of the client account; empty on anonymous routes.
	Account string
	// TimeLeft is how long the upstream may work on the request.
	TimeLeft time.Duration
	// LastEventID is the ID of the last event that the client has; 0 is none.
	LastEventID int64
	// Priority is what the upstream is told of the request's priority, from 0, the most
	// urgent, to 9; nil tells it nothing.
	Priority *int
	// CopyTo is the address of the upstream that receives a copy of the run's KV
	// cache as it grows; empty for no copy.
	CopyTo string
	// RestoreFrom names a copy of the run's KV cache from which the run continues;
	// nil for a run that reads its prompt.
	RestoreFrom *CacheCopy
}

// CacheCopy names a copy of the KV cache of a run.
type CacheCopy struct {
	// Address is the address in the copy's name: that of the engine that holds the
	// copy, or, for a copy with a handle, that of the engine that made it.
	Address string
	// Handle is the name of a copy that was made by a call. It is empty for a copy
	// that an engine sent while the run went on.
	Handle string
}

// ResponseHead is the decoded head of an upstream's response.
type ResponseHead struct {
	// ID is the ID of the client's attempt to which the response belongs; empty if
	// the upstream sent none.
	ID string
	// Sealed says that the response carries the upstream's proof that it made the
	// response.
	Sealed bool
	// NotRun says that the upstream did not begin the request.
	NotRun bool
	// Misdirected says that another upstream than the expected one responded.
	// NotRun is set too.
	Misdirected bool
	// Load is nil if the upstream does not report its load.
	Load *placement.Load
	// Leaving says that the upstream leaves and wants no new requests.
	Leaving bool
	// Pause is how long the upstream wants nothing from this daemon; 0 is no pause.
	// PauseErr tells why a pause cannot be read.
	Pause    time.Duration
	PauseErr error
	// Limit is how many requests a second the upstream takes from all daemons together;
	// nil if it names no limit. LimitErr tells why a limit cannot be read.
	Limit    *float64
	LimitErr error
}

// EngineReport is the state that an engine reports.
type EngineReport struct {
	Load    placement.Load
	Verdict failover.Verdict
	// Events is the number of events that the engine has made of the run that it holds; 0 if
	// it is not known.
	Events int64
	// StartedMs is when the engine started, in Unix milliseconds; 0 is unknown.
	StartedMs int64
	// Models are the names of the models that the engine serves.
	Models []string
	// Runs are the runs that the engine lists.
	Runs []EngineRun
	// UsedTokens is the part of the KV cache that running requests need, in tokens, and
	// TotalTokens the whole KV cache; 0 is unknown.
	UsedTokens, TotalTokens int
}

// EngineRun is a run that an engine lists in its report.
type EngineRun struct {
	// ID is the ID of the client's attempt.
	ID string
	// Tokens is the number of its tokens in the KV cache, Events that of the events
	// generated so far: a run without any is still reading its prompt.
	Tokens int
	Events int64
	// Priority is 0 for the most urgent runs.
	Priority int
}

// Protocol translates between the types of this package and the wire format of
// a deployment.
type Protocol interface {
	// DecodeRequest decodes the head of a client's request.
	DecodeRequest(r *http.Request) Call
	// RequestHeader returns the header fields that are sent with an attempt.
	RequestHeader(a Attempt) http.Header
	// DecodeResponseHead decodes the head of an upstream's response.
	DecodeResponseHead(status int, h http.Header) ResponseHead
	// ReportTarget is the path at which engines report their state.
	ReportTarget() string
	// DecodeReport decodes an engine's report, which also tells whether the engine
	// holds the run of the attempt with the given ID.
	DecodeReport(body []byte, id string) (EngineReport, error)
	// CacheTarget is the path at which engines list the prompts in their KV cache.
	CacheTarget() string
	// DecodeCachedTokens returns how many tokens of a prompt's last part an engine
	// keeps in its KV cache.
	DecodeCachedTokens(body []byte, prompt string) (int, error)
	// StopRequest returns the path and the body of the call that stops a run, after which
	// another engine goes on with its KV cache; DecodeCopyHandle decodes its response.
	StopRequest(id, to string) (target string, body []byte)
	// CopyRequest returns the path and the body of the call that copies a run's KV
	// cache to another engine; DecodeCopyHandle decodes its response.
	CopyRequest(id, to string) (target string, body []byte)
	DecodeCopyHandle(body []byte) (string, error)
	// FreeCopyTarget returns the path of the call that frees a copy at the engine
	// that made it.
	FreeCopyTarget(handle string) string
	// InstanceID returns the ID that an upstream states in its response to a health
	// check; empty if it states none.
	InstanceID(h http.Header) string
	// SetErrorHeader sets the header fields of a response that the gateway
	// generates itself.
	SetErrorHeader(h http.Header, id string, retryAfter time.Duration)
}
