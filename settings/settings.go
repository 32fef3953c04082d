// Package settings parses the INI settings file of a daemon. All settings have
// defaults except the daemon's name, data centre, region and addresses, the
// address of the store and the keys.
package settings

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/gooseberryroad/gooseberryroad/document"
)

// Settings are the effective settings of one daemon.
type Settings struct {
	Daemon  Daemon
	Store   Driver
	VMs     Driver
	Peers   Peers
	Cursor  Cursor
	Drain   Drain
	Memory  Memory
	Log     Log
	Trace   Trace
	Teams   map[string]string // team name to the hex SHA-256 of its key
	entries []setting
}

// Daemon names the process, where it runs and its listeners.
type Daemon struct {
	Name            string
	DataCentre      string
	Region          string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
}

// Driver selects a module, and the address and timeout of the system that it
// talks to.
type Driver struct {
	Driver  string
	Address string
	Timeout time.Duration
	// Interval is the time between two reads of a list; unused for the store.
	Interval time.Duration
}

// Peers configures links to other daemons.
type Peers struct {
	// Seeds are peer addresses tried before any other is known.
	Seeds []string
	// Key is shared by all daemons. Links to peers that do not prove it are
	// refused.
	Key string
}

// Cursor configures resume cursors.
type Cursor struct {
	// Key seals cursors; all daemons share it.
	Key string
	// Lifetime is how long a caller may reconnect with a cursor.
	Lifetime time.Duration
	// AbandonGrace is how long a generation continues after its caller has
	// disconnected.
	AbandonGrace time.Duration
}

// Drain configures a graceful shutdown.
type Drain struct {
	// Notice is how long the daemon still accepts connections after it reports
	// that it is not ready, so that the load balancer has time to notice.
	Notice time.Duration
	// Deadline is how long running requests may take to finish, after Notice.
	// Streams that still run then are handed over with a cursor.
	Deadline time.Duration
}

// Memory bounds the memory that the daemon uses for callers.
type Memory struct {
	// HeldBytes bounds the bytes held for all callers together.
	HeldBytes int64
}

// Log configures logging.
type Log struct {
	Level  string // debug, info, warn, error
	Format string // text, json
}

// Trace configures the exporter of traces.
type Trace struct {
	Exporter string // none, stdout, otlp
	Endpoint string // HOST:PORT of an OTLP/HTTP receiver
}

// setting is one effective setting, with its description for operators.
type setting struct{ section, key, value, help string }

// secretKeys are the settings whose values Print replaces by a placeholder.
var secretKeys = map[string]bool{"peers.key": true, "cursor.key": true}

// Parse parses a settings file. The settings are nil when there are problems. The
// file argument is used only to name the file in the problems.
func Parse(file string, b []byte) (*Settings, document.Problems) {
	f, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, b)
	if err != nil {
		return nil, document.Problems{{File: file, Section: "-", Key: "-", Message: "not a valid INI file: " + err.Error()}}
	}
	r := &reader{file: file, ini: f, known: map[string]bool{}}
	s := &Settings{Teams: map[string]string{}}
	r.readAll(s)
	r.readTeams(s)
	r.rejectUnknownKeys()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	s.entries = r.entries
	return s, nil
}

// readAll reads all settings but those of the teams. Reference makes the reference
// for operators from the same calls.
func (r *reader) readAll(s *Settings) {
	d := &s.Daemon
	r.text(&d.Name, "daemon", "name", "", `^[a-z0-9][a-z0-9._-]{0,62}$`, "Name of this daemon, unique in the fleet. Required.")
	r.text(&d.DataCentre, "daemon", "datacentre", "", `^[a-z0-9][a-z0-9._-]{0,62}$`, "Data centre of this VM. Required.")
	r.text(&d.Region, "daemon", "region", "", `^[a-z0-9][a-z0-9._-]{0,62}$`, "Region of this VM. Required.")
	r.address(&d.CallerAddress, "daemon", "caller_address", "", true, "Listener for callers. Required.")
	r.address(&d.OperatorAddress, "daemon", "operator_address", "", true, "Listener for the operator API, metrics and health. Required.")
	r.address(&d.PeerAddress, "daemon", "peer_address", "", true, "Listener for other daemons; they connect to this address. Required.")

	r.text(&s.Store.Driver, "store", "driver", "store.consulkv", `^store\.[a-z0-9]+$`, "Module that talks to the platform's key-value service.")
	r.address(&s.Store.Address, "store", "address", "", true, "Address of the platform's key-value service. Required.")
	r.duration(&s.Store.Timeout, "store", "timeout", time.Second, 10*time.Millisecond, time.Minute, "Longest wait for an answer of the store, watches excepted.")

	r.text(&s.VMs.Driver, "vms", "driver", "vmlist.httpsd", `^vmlist\.[a-z0-9]+$`, "Module that reads the platform's list of VMs.")
	r.address(&s.VMs.Address, "vms", "address", "", false, "Address of the platform's list of VMs. Empty: no list is read.")
	r.duration(&s.VMs.Timeout, "vms", "timeout", time.Second, 10*time.Millisecond, time.Minute, "Longest wait for the list.")
	r.duration(&s.VMs.Interval, "vms", "interval", 2*time.Second, 100*time.Millisecond, time.Hour, "Time between two reads of the list.")

	r.addresses(&s.Peers.Seeds, "peers", "seeds", "Peer addresses of other daemons, separated by commas, tried until peers are known.")
	r.text(&s.Peers.Key, "peers", "key", "", `^.{16,256}$`, "Key that daemons prove to each other, 16 to 256 characters, the same on all of them. Required.")

	r.text(&s.Cursor.Key, "cursor", "key", "", `^.{16,256}$`, "Key that seals resume cursors, 16 to 256 characters, the same on all daemons. Required.")
	r.duration(&s.Cursor.Lifetime, "cursor", "lifetime", 10*time.Minute, time.Second, 24*time.Hour, "How long a caller may reconnect with a cursor.")

	r.duration(&s.Cursor.AbandonGrace, "cursor", "abandon_grace", 15*time.Second, 100*time.Millisecond, time.Hour, "How long a generation goes on for a caller that is gone and may reconnect.")

	r.duration(&s.Drain.Notice, "drain", "notice", 2*time.Second, 0, 5*time.Minute, "Time between reporting not ready and closing the caller listener.")
	r.duration(&s.Drain.Deadline, "drain", "deadline", 30*time.Second, 0, time.Hour, "Time for running requests to finish; later streams are handed over with a cursor.")

	r.integer(&s.Memory.HeldBytes, "memory", "held_bytes", 64<<20, 1<<20, 1<<40, "Bytes that the daemon holds for all callers together.")

	r.text(&s.Log.Level, "log", "level", "info", `^(debug|info|warn|error)$`, "Lowest level that is logged: debug, info, warn or error.")
	r.text(&s.Log.Format, "log", "format", "text", `^(text|json)$`, "Format of log lines: text or json.")

	r.text(&s.Trace.Exporter, "trace", "exporter", "none", `^(none|stdout|otlp)$`, "Where traces go: none, stdout or otlp.")
	r.address(&s.Trace.Endpoint, "trace", "endpoint", "", false, "Address of an OTLP/HTTP receiver for exporter otlp.")
}

// reader reads settings from a file and collects their effective values and the
// problems.
type reader struct {
	file     string
	ini      *ini.File
	known    map[string]bool // SECTION.KEY of the settings that exist
	entries  []setting
	problems document.Problems
}

func (r *reader) addProblem(section, key, format string, args ...any) {
	r.problems = append(r.problems, document.Problem{File: r.file, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// value returns the text of a key, or its default, and records it as the effective
// value. It marks the key as known.
func (r *reader) value(section, key, def, help string) string {
	r.known[section+"."+key] = true
	v := def
	if r.ini.HasSection(section) && r.ini.Section(section).HasKey(key) {
		v = r.ini.Section(section).Key(key).String()
	}
	r.entries = append(r.entries, setting{section, key, v, help})
	return v
}

func (r *reader) text(dst *string, section, key, def, pattern, help string) {
	*dst = r.value(section, key, def, help)
	if !regexp.MustCompile(pattern).MatchString(*dst) {
		r.addProblem(section, key, "must match %s", pattern)
	}
}

func (r *reader) address(dst *string, section, key, def string, required bool, help string) {
	*dst = r.value(section, key, def, help)
	if *dst == "" && !required {
		return
	}
	r.checkAddress(section, key, *dst)
}

func (r *reader) checkAddress(section, key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addProblem(section, key, "must be an IP number and a port from 0 to 65535, such as 10.0.0.7:8080")
	}
}

func (r *reader) addresses(dst *[]string, section, key, help string) {
	v := r.value(section, key, "", help)
	for _, a := range strings.Split(v, ",") {
		if a = strings.TrimSpace(a); a != "" {
			r.checkAddress(section, key, a)
			*dst = append(*dst, a)
		}
	}
}

func (r *reader) duration(dst *time.Duration, section, key string, def, lo, hi time.Duration, help string) {
	v := r.value(section, key, def.String(), help)
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		r.addProblem(section, key, "must be a duration from %s to %s, such as 90s", lo, hi)
	}
	*dst = d
}

func (r *reader) integer(dst *int64, section, key string, def, lo, hi int64, help string) {
	v := r.value(section, key, strconv.FormatInt(def, 10), help)
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < lo || n > hi {
		r.addProblem(section, key, "must be a whole number from %d to %d", lo, hi)
	}
	*dst = n
}

// readTeams reads the sections team.NAME.
func (r *reader) readTeams(s *Settings) {
	for _, sec := range r.ini.Sections() {
		name, ok := strings.CutPrefix(sec.Name(), "team.")
		if !ok {
			continue
		}
		r.known[sec.Name()+".key_sha256"] = true
		hash := strings.ToLower(sec.Key("key_sha256").String())
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
			r.addProblem(sec.Name(), "key_sha256", "must be the SHA-256 of the team's key in 64 hex digits")
		}
		s.Teams[name] = hash
		r.entries = append(r.entries, setting{sec.Name(), "key_sha256", hash, "SHA-256 of the key that the team's operators present."})
	}
}

// rejectUnknownKeys reports keys that are not settings.
func (r *reader) rejectUnknownKeys() {
	for _, sec := range r.ini.Sections() {
		for _, k := range sec.KeyStrings() {
			if !r.known[sec.Name()+"."+k] {
				r.addProblem(sec.Name(), k, "unknown key")
			}
		}
	}
}

// Print writes the effective settings as INI, with a placeholder for secrets.
func (s *Settings) Print(w io.Writer) error {
	section := ""
	for _, e := range s.entries {
		if e.section != section {
			section = e.section
			if _, err := fmt.Fprintf(w, "[%s]\n", section); err != nil {
				return err
			}
		}
		v := e.value
		if secretKeys[e.section+"."+e.key] {
			v = "(set)"
		}
		if _, err := fmt.Fprintf(w, "%s = %s\n", e.key, v); err != nil {
			return err
		}
	}
	return nil
}

// Reference returns a Markdown table of all settings with their defaults.
func Reference() string {
	r := &reader{ini: ini.Empty(), known: map[string]bool{}}
	r.readAll(&Settings{})
	var b strings.Builder
	b.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range r.entries {
		fmt.Fprintf(&b, "| `%s` | `%s` | `%s` | %s |\n", e.section, e.key, e.value, e.help)
	}
	b.WriteString("| `team.NAME` | `key_sha256` | `` | SHA-256 of the key that the team's operators present. |\n")
	return strings.ReplaceAll(b.String(), "``", "")
}

// TeamNames returns the configured teams in order.
func (s *Settings) TeamNames() []string {
	names := make([]string, 0, len(s.Teams))
	for n := range s.Teams {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
