package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"sort"
	"strings"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Record is one revision of one service.
type Record struct {
	Service string
	// Revision is the store index of the entry, or the one after the revision that the entry
	// replaced, if that is higher.
	Revision uint64
	// Raw is the stored value as read, which is sent to peers.
	Raw      []byte
	Envelope Envelope
	// Doc is nil for a tombstone and for a document with problems.
	Doc      *document.Service
	Problems document.Problems
}

// Accepted reports whether the record may be in force: a document without
// problems, or a tombstone.
func (r *Record) Accepted() bool { return len(r.Problems) == 0 }

// Deleted reports whether the record is a tombstone.
func (r *Record) Deleted() bool { return r.Accepted() && r.Envelope.Deleted }

// serviceState holds the known records of one service.
type serviceState struct {
	// inForce is the accepted record with the highest revision, or nil.
	inForce *Record
	// rejected is a record with problems and a revision above the one in
	// force, or nil.
	rejected *Record
}

// Set holds the documents of all services.
type Set struct {
	services map[string]*serviceState
	hash     uint64
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{services: map[string]*serviceState{}} }

// Outcome tells what an offered entry changed.
type Outcome int

const (
	// Ignored entries were known, older than the one in force, or not below
	// Prefix.
	Ignored Outcome = iota
	// InForce entries are now the revision in force of their service.
	InForce
	// Rejected entries have problems and took no effect.
	Rejected
)

// Offer adds a store entry and returns what it changed, with its record unless it
// was ignored. An entry whose revision is not above the one in force is ignored,
// whether it came from the store or a peer. The highest accepted revision wins, so
// that daemons that saw a bad revision in different orders agree.
func (s *Set) Offer(e store.Entry) (Outcome, *Record) {
	name, ok := strings.CutPrefix(e.Key, Prefix)
	if !ok || name == "" || e.Index == 0 {
		return Ignored, nil
	}
	st := s.services[name]
	if st == nil {
		st = &serviceState{}
	}
	if st.inForce != nil && e.Index <= st.inForce.Revision && (bytes.Equal(e.Value, st.inForce.Raw) || Of(e) <= st.inForce.Revision) {
		return Ignored, nil
	}
	if st.rejected != nil && e.Index <= st.rejected.Revision && bytes.Equal(e.Value, st.rejected.Raw) {
		return Ignored, nil
	}
	r := parse(name, e)
	if !r.Accepted() {
		if st.rejected != nil && r.Revision <= st.rejected.Revision {
			return Ignored, nil
		}
		st.rejected = r
		s.services[name] = st
		return Rejected, r
	}
	s.hash ^= entryHash(st.inForce) ^ entryHash(r)
	st.inForce = r
	if st.rejected != nil && st.rejected.Revision < r.Revision {
		st.rejected = nil
	}
	s.services[name] = st
	return InForce, r
}

// Of returns the revision of a store entry. A store that was restored from an older copy
// gives indexes out again; an entry that replaces a revision is above it nevertheless.
func Of(e store.Entry) uint64 {
	env, err := Decode(e.Value)
	if err != nil {
		return e.Index
	}
	return env.revision(e.Index)
}

func (e Envelope) revision(index uint64) uint64 {
	if e.Base == math.MaxUint64 {
		return index // no write has such a base
	}
	return max(index, e.Base+1)
}

func parse(name string, e store.Entry) *Record {
	r := &Record{Service: name, Revision: e.Index, Raw: e.Value}
	env, err := Decode(e.Value)
	if err != nil {
		r.Problems = document.Problems{{File: e.Key, Section: "-", Key: "-", Message: err.Error()}}
		return r
	}
	r.Envelope, r.Revision = env, env.revision(e.Index)
	if env.Deleted {
		return r
	}
	r.Doc, r.Problems = document.Parse(e.Key, []byte(env.Document))
	if r.Doc != nil && r.Doc.Name != name {
		r.Problems = document.Problems{{File: e.Key, Section: "service", Key: "name",
			Message: "must be " + name + ", the name that the document is stored under"}}
		r.Doc = nil
	}
	return r
}

// InForce returns the record in force of a service, which may be a tombstone,
// or nil.
func (s *Set) InForce(service string) *Record {
	if st := s.services[service]; st != nil {
		return st.inForce
	}
	return nil
}

// RevisionOf returns the revision in force of a service; 0 when there is none.
func (s *Set) RevisionOf(service string) uint64 {
	if r := s.InForce(service); r != nil {
		return r.Revision
	}
	return 0
}

// HighestOf returns the highest revision in force that is one of the entries; 0 when none
// is.
func (s *Set) HighestOf(entries []store.Entry) uint64 {
	highest := uint64(0)
	for _, e := range entries {
		if r := s.InForce(strings.TrimPrefix(e.Key, Prefix)); r != nil && bytes.Equal(r.Raw, e.Value) {
			highest = max(highest, r.Revision)
		}
	}
	return highest
}

// RejectedOf returns the highest record above the one in force that has problems,
// or nil.
func (s *Set) RejectedOf(service string) *Record {
	if st := s.services[service]; st != nil {
		return st.rejected
	}
	return nil
}

// Names returns the sorted names of all known services, also of deleted ones.
func (s *Set) Names() []string {
	names := make([]string, 0, len(s.services))
	for n := range s.services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Hash identifies the revisions in force of all services. Equal sets have
// equal hashes whatever the order in which their entries arrived.
func (s *Set) Hash() uint64 { return s.hash }

func entryHash(r *Record) uint64 {
	if r == nil {
		return 0
	}
	return EntryHash(Prefix+r.Service, r.Revision)
}

// EntryHash returns the hash of one entry; the hash of a set is the exclusive or of
// the hashes of its entries. It consists of the first 8 bytes of a SHA-256 sum.
// With FNV, different sets had equal hashes, because the differences between
// neighbouring revisions of two services can be equal and cancel out.
func EntryHash(key string, revision uint64) uint64 {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(key+"\x00"), revision))
	return binary.BigEndian.Uint64(sum[:8])
}
