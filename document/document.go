package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"
)

// Kind is the kind of a service's upstreams.
type Kind string

const (
	// KindModel marks a service whose upstreams are model engines.
	KindModel Kind = "model"
	// KindPlain marks a service whose upstreams are plain HTTP servers.
	KindPlain Kind = "plain"
)

// Fencing says how engines treat the fencing number (token) of an order.
type Fencing string

const (
	// FencingRefuses marks engines that refuse an order with an old fencing number.
	FencingRefuses Fencing = "refuses"
	// FencingIgnores marks engines that ignore the number and carry out every
	// order.
	FencingIgnores Fencing = "ignores"
)

// DefaultDriver is the engine driver of model services that name none.
const DefaultDriver = "engine.completions"

// Service is a parsed service document. It is immutable once parsed.
type Service struct {
	Name string
	Team string
	Kind Kind
	// Driver is the module ID of the engine driver; empty for plain services.
	Driver string
	// Model is the model name given to engines; empty for plain services.
	Model        string
	Capabilities Capabilities
	Versions     Versions
	// Upstreams and Accounts are sorted by name. Routes keep the order of the
	// document, because the first match applies.
	Upstreams []Upstream
	Routes    []Route
	Accounts  []Account
	Limits    Limits
}

// Capabilities say what the service's upstreams can do. Decisions depend on them
// and never on the name of a driver.
type Capabilities struct {
	// Resumes is set when a new connection can continue a running generation.
	Resumes bool
	// Priorities is set when waiting requests run in order of priority.
	Priorities bool
	// ChecksCaller is set when the upstream checks who sends it an order.
	ChecksCaller bool
	Fencing      Fencing
}

// Versions names the version that serves and the one that is to replace it.
type Versions struct {
	Serving string
	// Next is the version to move to, empty when no move is requested.
	Next string
	// Deadline is the time by which the move must be done or taken back.
	Deadline time.Time
	// Warm is how long the old version stays ready after the move.
	Warm time.Duration
	// StartShare is the share of requests that the new version gets at first,
	// between 0 and 1.
	StartShare float64
}

// Upstream is one back end of a service.
type Upstream struct {
	Name       string
	Address    string // HOST:PORT
	DataCentre string
	Region     string
	Version    string
	// Leaving is set for an upstream that is to get no new work.
	Leaving bool
	// MemoryBytes is the upstream's memory for the requests it holds; 0 means
	// unknown.
	MemoryBytes int64
	// MaxInFlight bounds requests in flight from all daemons together; 0
	// means that only the adaptive limit applies.
	MaxInFlight int
}

// Route is a group of calls of a plain service.
type Route struct {
	Name string
	// Path matches exactly, or as a prefix when it ends in "*".
	Path string
	// Methods is empty when all methods match.
	Methods []string
	// Idempotent is set when a call may safely be repeated.
	Idempotent bool
	Timeout    time.Duration
}

// Account is a client account of the service.
type Account struct {
	Name string
	// KeySHA256 is the hex SHA-256 of the account's bearer key.
	KeySHA256 string
	// MaxInFlight bounds the account's requests in flight; 0 means no bound.
	MaxInFlight int
	// TokensPerSecond bounds the account's generated tokens; 0 means no bound.
	TokensPerSecond float64
	// Weight is the account's relative share of a contended service.
	Weight float64
}

// Limits bound each request of the service.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeldBytes bounds the bytes that a daemon holds for one caller.
	MaxHeldBytes int64
	// MaxTokens bounds the generated tokens of a request.
	MaxTokens   int
	MaxDuration time.Duration
}

// RouteFor returns the first route that matches, or nil.
func (s *Service) RouteFor(method, path string) *Route {
	for i := range s.Routes {
		if s.Routes[i].matches(method, path) {
			return &s.Routes[i]
		}
	}
	return nil
}

func (r *Route) matches(method, path string) bool {
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		if !strings.HasPrefix(path, prefix) {
			return false
		}
	} else if r.Path != path {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// HashKey returns the hex SHA-256 of a bearer key as documents store it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountFor returns the account that a bearer key belongs to, or nil. It
// compares with the hashes of all accounts in constant time, so that its duration
// does not depend on how much of a hash matches.
func (s *Service) AccountFor(key string) *Account {
	hash := []byte(HashKey(key))
	var found *Account
	for i := range s.Accounts {
		if subtle.ConstantTimeCompare(hash, []byte(s.Accounts[i].KeySHA256)) == 1 {
			found = &s.Accounts[i]
		}
	}
	return found
}

// UpstreamNamed returns the upstream with the given name, or nil.
func (s *Service) UpstreamNamed(name string) *Upstream {
	for i := range s.Upstreams {
		if s.Upstreams[i].Name == name {
			return &s.Upstreams[i]
		}
	}
	return nil
}
