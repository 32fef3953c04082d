package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"
)

// Kind tells what the upstreams of a service are.
type Kind string

const (
	// KindModel marks a service whose upstreams are model engines.
	KindModel Kind = "model"
	// KindPlain marks a service whose upstreams are plain HTTP servers.
	KindPlain Kind = "plain"
)

// Fencing tells what engines do with the fencing number of an order.
type Fencing string

const (
	// FencingRefuses marks engines that refuse an order with an old number.
	FencingRefuses Fencing = "refuses"
	// FencingIgnores marks engines that carry out every order.
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
	// Upstreams, Routes and Accounts are sorted by name, except that routes
	// keep the order of the document: the first match wins.
	Upstreams []Upstream
	Routes    []Route
	Accounts  []Account
	Limits    Limits
}

// Capabilities are what the service's upstreams can do. Decisions depend on
// these and never on the name of a driver.
type Capabilities struct {
	// Resumes: a new connection can go on with a running generation.
	Resumes bool
	// Priorities: waiting requests run in order of priority.
	Priorities bool
	// ChecksCaller: the upstream checks who gives it an order.
	ChecksCaller bool
	Fencing      Fencing
}

// Versions tells which version serves and which one is to take over.
type Versions struct {
	Serving string
	// Next is empty when no move is asked for.
	Next string
	// Deadline is when the move must be done or taken back.
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
	// Leaving upstreams get no new work.
	Leaving bool
	// MemoryBytes is the memory for held requests; 0 means unknown.
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
	Methods    []string
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
	// Weight is the account's share of a contended service.
	Weight float64
}

// Limits bound every request of the service.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeldBytes bounds what a daemon holds for one caller.
	MaxHeldBytes int64
	MaxTokens    int
	MaxDuration  time.Duration
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
// compares with every account in constant time, so that its duration does not
// depend on how much of a hash matches.
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
