package document

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Problem is one mistake in a document or settings file.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	// Message says what is wrong and which range is accepted.
	Message string `json:"message"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Message)
}

// Problems lists all mistakes found in one file; empty means that it is valid.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Defaults of keys that a document may leave out.
const (
	DefaultWarm         = 30 * time.Minute
	DefaultStartShare   = 0.02
	DefaultRouteTimeout = 10 * time.Second
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxHeldBytes is the bound that the users require for one slow
	// reader.
	DefaultMaxHeldBytes = 64 << 10
	DefaultMaxTokens    = 16384
	DefaultMaxDuration  = 30 * time.Minute
	// MaxStartShare bounds the share of requests that a new version gets before
	// there is evidence that it works.
	MaxStartShare = 0.05
)

var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse parses a document. The service is nil when there are problems. The file
// argument is used only to name the document in the problems.
func Parse(file string, b []byte) (*Service, Problems) {
	f, err := ini.LoadSources(ini.LoadOptions{
		Insensitive: false, AllowShadows: false, SpaceBeforeInlineComment: true,
	}, b)
	if err != nil {
		return nil, Problems{{File: file, Section: "-", Key: "-", Message: "not a valid INI file: " + err.Error()}}
	}
	p := &parser{file: file}
	s := &Service{}
	p.service(f, s)
	p.versions(f, s)
	p.limits(f, s)
	for _, sec := range f.Sections() {
		p.namedSection(sec, s)
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].Name < s.Upstreams[j].Name })
	sort.Slice(s.Accounts, func(i, j int) bool { return s.Accounts[i].Name < s.Accounts[j].Name })
	p.checkAcrossSections(s)
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return s, nil
}

// parser collects the problems of one document.
type parser struct {
	file     string
	problems Problems
}

func (p *parser) addProblem(section, key, format string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.file, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// section returns the named section, or nil, and reports its unknown keys.
func (p *parser) section(f *ini.File, name string, known ...string) *ini.Section {
	if !f.HasSection(name) {
		return nil
	}
	sec := f.Section(name)
	p.rejectUnknownKeys(sec, known...)
	return sec
}

// rejectUnknownKeys reports the keys of a section that are not among the known ones.
func (p *parser) rejectUnknownKeys(sec *ini.Section, known ...string) {
next:
	for _, k := range sec.KeyStrings() {
		for _, n := range known {
			if k == n {
				continue next
			}
		}
		p.addProblem(sec.Name(), k, "unknown key; known keys: %s", strings.Join(known, ", "))
	}
}

func (p *parser) service(f *ini.File, s *Service) {
	sec := p.section(f, "service", "name", "team", "kind", "driver", "model",
		"resumes", "priorities", "checks_caller", "fencing")
	if sec == nil {
		p.addProblem("service", "-", "section is missing")
		return
	}
	s.Name = p.name(sec, "name")
	s.Team = p.name(sec, "team")
	s.Kind = Kind(p.oneOf(sec, "kind", string(KindModel), string(KindModel), string(KindPlain)))
	if s.Kind == KindModel {
		s.Driver = sec.Key("driver").MustString(DefaultDriver)
		s.Model = p.name(sec, "model")
	}
	s.Capabilities = Capabilities{
		Resumes:      p.boolean(sec, "resumes", false),
		Priorities:   p.boolean(sec, "priorities", false),
		ChecksCaller: p.boolean(sec, "checks_caller", false),
		Fencing:      Fencing(p.oneOf(sec, "fencing", string(FencingIgnores), string(FencingIgnores), string(FencingRefuses))),
	}
}

func (p *parser) versions(f *ini.File, s *Service) {
	s.Versions = Versions{Warm: DefaultWarm, StartShare: DefaultStartShare}
	sec := p.section(f, "versions", "serving", "next", "deadline", "warm", "start_share")
	if sec == nil {
		p.addProblem("versions", "serving", "section is missing; it names the version that serves")
		return
	}
	s.Versions.Serving = p.name(sec, "serving")
	if sec.HasKey("next") {
		s.Versions.Next = p.name(sec, "next")
		if s.Versions.Next == s.Versions.Serving {
			p.addProblem("versions", "next", "must differ from serving")
		}
		deadline, err := time.Parse(time.RFC3339, sec.Key("deadline").String())
		if err != nil {
			p.addProblem("versions", "deadline", "must be an RFC 3339 time such as 2026-12-04T18:00:00Z when next is set")
		}
		s.Versions.Deadline = deadline
	} else if sec.HasKey("deadline") {
		p.addProblem("versions", "deadline", "needs the key next")
	}
	s.Versions.Warm = p.duration(sec, "warm", DefaultWarm, 0, 7*24*time.Hour)
	s.Versions.StartShare = p.float(sec, "start_share", DefaultStartShare, 0.001, MaxStartShare)
}

func (p *parser) limits(f *ini.File, s *Service) {
	sec := p.section(f, "limits", "max_body_bytes", "max_held_bytes", "max_tokens", "max_duration")
	if sec == nil {
		sec = ini.Empty().Section("limits")
	}
	s.Limits = Limits{
		MaxBodyBytes: p.integer(sec, "max_body_bytes", DefaultMaxBodyBytes, 1024, 64<<20),
		MaxHeldBytes: p.integer(sec, "max_held_bytes", DefaultMaxHeldBytes, 16<<10, 16<<20),
		MaxTokens:    int(p.integer(sec, "max_tokens", DefaultMaxTokens, 1, 1<<20)),
		MaxDuration:  p.duration(sec, "max_duration", DefaultMaxDuration, time.Second, 24*time.Hour),
	}
}

// namedSection parses a section upstream.NAME, route.NAME or account.NAME, and
// reports unknown sections and keys outside of sections.
func (p *parser) namedSection(sec *ini.Section, s *Service) {
	group, name, ok := strings.Cut(sec.Name(), ".")
	if !ok {
		switch sec.Name() {
		case "service", "versions", "limits":
		case ini.DefaultSection:
			for _, k := range sec.KeyStrings() {
				p.addProblem("-", k, "key stands before the first section")
			}
		default:
			p.addProblem(sec.Name(), "-", "unknown section; known: service, versions, limits, upstream.NAME, route.NAME, account.NAME")
		}
		return
	}
	if !nameRE.MatchString(name) {
		p.addProblem(sec.Name(), "-", "the name must match %s", nameRE)
		return
	}
	switch group {
	case "upstream":
		p.upstream(sec, name, s)
	case "route":
		p.route(sec, name, s)
	case "account":
		p.account(sec, name, s)
	default:
		p.addProblem(sec.Name(), "-", "unknown section; known: service, versions, limits, upstream.NAME, route.NAME, account.NAME")
	}
}

func (p *parser) upstream(sec *ini.Section, name string, s *Service) {
	p.rejectUnknownKeys(sec, "address", "datacentre", "region", "version", "leaving", "memory_bytes", "max_in_flight")
	u := Upstream{
		Name:        name,
		Address:     sec.Key("address").String(),
		DataCentre:  p.name(sec, "datacentre"),
		Region:      p.name(sec, "region"),
		Version:     p.name(sec, "version"),
		Leaving:     p.boolean(sec, "leaving", false),
		MemoryBytes: p.integer(sec, "memory_bytes", 0, 0, 1<<50),
		MaxInFlight: int(p.integer(sec, "max_in_flight", 0, 0, 1<<20)),
	}
	if ap, err := netip.ParseAddrPort(u.Address); err != nil || ap.Port() == 0 {
		p.addProblem(sec.Name(), "address", "must be an IP number and a port between 1 and 65535, such as 10.0.0.7:9000")
	}
	s.Upstreams = append(s.Upstreams, u)
}

func (p *parser) route(sec *ini.Section, name string, s *Service) {
	p.rejectUnknownKeys(sec, "path", "methods", "idempotent", "timeout")
	r := Route{
		Name:       name,
		Path:       sec.Key("path").String(),
		Methods:    sec.Key("methods").Strings(","),
		Idempotent: p.boolean(sec, "idempotent", false),
		Timeout:    p.duration(sec, "timeout", DefaultRouteTimeout, 10*time.Millisecond, time.Hour),
	}
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(strings.TrimSuffix(r.Path, "*"), "*") {
		p.addProblem(sec.Name(), "path", "must begin with / and may hold * only as its last character")
	}
	for _, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) {
			p.addProblem(sec.Name(), "methods", "must be upper-case HTTP methods separated by commas")
		}
	}
	s.Routes = append(s.Routes, r)
}

func (p *parser) account(sec *ini.Section, name string, s *Service) {
	p.rejectUnknownKeys(sec, "key_sha256", "max_in_flight", "tokens_per_second", "weight")
	a := Account{
		Name:            name,
		KeySHA256:       strings.ToLower(sec.Key("key_sha256").String()),
		MaxInFlight:     int(p.integer(sec, "max_in_flight", 0, 0, 1<<20)),
		TokensPerSecond: p.float(sec, "tokens_per_second", 0, 0, 1e9),
		Weight:          p.float(sec, "weight", 1, 0.01, 1000),
	}
	if raw, err := hex.DecodeString(a.KeySHA256); err != nil || len(raw) != 32 {
		p.addProblem(sec.Name(), "key_sha256", "must be the SHA-256 of the account's key in 64 hex digits")
	}
	s.Accounts = append(s.Accounts, a)
}

// checkAcrossSections checks the rules that concern more than one section.
func (p *parser) checkAcrossSections(s *Service) {
	if s.Kind == KindModel && len(s.Routes) > 0 {
		p.addProblem("route."+s.Routes[0].Name, "-", "routes belong to services of kind plain")
	}
	if s.Kind == KindPlain && len(s.Routes) == 0 {
		p.addProblem("route.NAME", "-", "a service of kind plain needs at least one route")
	}
	seen := map[string]string{}
	for _, a := range s.Accounts {
		if other, ok := seen[a.KeySHA256]; ok {
			p.addProblem("account."+a.Name, "key_sha256", "is also the key of account %s", other)
		}
		seen[a.KeySHA256] = a.Name
	}
}

// name returns the value of a key that must be a valid name.
func (p *parser) name(sec *ini.Section, key string) string {
	v := sec.Key(key).String()
	if !nameRE.MatchString(v) {
		p.addProblem(sec.Name(), key, "must match %s", nameRE)
	}
	return v
}

func (p *parser) oneOf(sec *ini.Section, key, def string, accepted ...string) string {
	v := sec.Key(key).MustString(def)
	for _, a := range accepted {
		if v == a {
			return v
		}
	}
	p.addProblem(sec.Name(), key, "must be one of %s", strings.Join(accepted, ", "))
	return v
}

func (p *parser) boolean(sec *ini.Section, key string, def bool) bool {
	if !sec.HasKey(key) {
		return def
	}
	switch sec.Key(key).String() {
	case "true":
		return true
	case "false":
		return false
	}
	p.addProblem(sec.Name(), key, "must be true or false")
	return def
}

func (p *parser) integer(sec *ini.Section, key string, def, lo, hi int64) int64 {
	if !sec.HasKey(key) {
		return def
	}
	n, err := strconv.ParseInt(sec.Key(key).String(), 10, 64)
	if err != nil || n < lo || n > hi {
		p.addProblem(sec.Name(), key, "must be a whole number from %d to %d", lo, hi)
		return def
	}
	return n
}

func (p *parser) float(sec *ini.Section, key string, def, lo, hi float64) float64 {
	if !sec.HasKey(key) {
		return def
	}
	n, err := strconv.ParseFloat(sec.Key(key).String(), 64)
	if err != nil || !(n >= lo && n <= hi) {
		p.addProblem(sec.Name(), key, "must be a number from %g to %g", lo, hi)
		return def
	}
	return n
}

func (p *parser) duration(sec *ini.Section, key string, def, lo, hi time.Duration) time.Duration {
	if !sec.HasKey(key) {
		return def
	}
	d, err := time.ParseDuration(sec.Key(key).String())
	if err != nil || d < lo || d > hi {
		p.addProblem(sec.Name(), key, "must be a duration from %s to %s, such as 90s", lo, hi)
		return def
	}
	return d
}
