package revision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

func TestRevision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

func documentText(name, version string) string {
	return "[service]\nname = " + name + "\nteam = registro\nmodel = m\n[versions]\nserving = " + version + "\n"
}

func entry(name string, index uint64, body string) store.Entry {
	return store.Entry{Key: revision.Prefix + name, Index: index,
		Value: revision.Envelope{Team: "registro", WriteID: fmt.Sprint(index), Document: body}.Encode()}
}

func tombstone(name string, index uint64) store.Entry {
	return store.Entry{Key: revision.Prefix + name, Index: index,
		Value: revision.Envelope{Team: "registro", Deleted: true}.Encode()}
}

var _ = Describe("Set", func() {
	// Guards against a stale list or a late message of a peer that puts an old
	// document in force again.
	It("never goes back to an older revision", func() {
		s := revision.NewSet()
		out, _ := s.Offer(entry("a", 7, documentText("a", "v2")))
		Expect(out).To(Equal(revision.InForce))
		out, _ = s.Offer(entry("a", 5, documentText("a", "v1")))
		Expect(out).To(Equal(revision.Ignored))
		Expect(s.InForce("a").Doc.Versions.Serving).To(Equal("v2"))
	})

	// Guards against a late entry that puts a deleted service in force again.
	It("keeps a tombstone against older entries and lets a newer document replace it", func() {
		s := revision.NewSet()
		s.Offer(entry("a", 3, documentText("a", "v1")))
		s.Offer(tombstone("a", 9))
		Expect(s.InForce("a").Deleted()).To(BeTrue())
		s.Offer(entry("a", 8, documentText("a", "v1")))
		Expect(s.InForce("a").Deleted()).To(BeTrue())
		s.Offer(entry("a", 10, documentText("a", "v2")))
		Expect(s.InForce("a").Doc.Versions.Serving).To(Equal("v2"))
	})

	// Guards against a change that was accepted and is never in force: a store that was
	// restored from an older copy gives indexes out again.
	It("puts a document in force that replaces the one in force, whatever its index", func() {
		replacing := store.Entry{Key: revision.Prefix + "a", Index: 4,
			Value: revision.Envelope{Team: "registro", WriteID: "w", Base: 9, Document: documentText("a", "v3")}.Encode()}
		inForce, older := entry("a", 9, documentText("a", "v2")), entry("a", 3, documentText("a", "v1"))
		for _, order := range [][]store.Entry{{inForce, older, replacing}, {replacing, inForce, older}, {older, replacing, inForce, replacing}} {
			s := revision.NewSet()
			for _, e := range order {
				s.Offer(e)
			}
			Expect(s.InForce("a").Doc.Versions.Serving).To(Equal("v3"))
			Expect(s.RevisionOf("a")).To(Equal(uint64(10)))
			Expect(s.HighestOf([]store.Entry{older, replacing})).To(Equal(uint64(10)))
			Expect(s.HighestOf([]store.Entry{older})).To(BeZero())
			By("it has the same revision at a daemon that gets it from another one")
			peer := revision.NewSet()
			peer.Offer(store.Entry{Key: replacing.Key, Value: replacing.Value, Index: s.RevisionOf("a")})
			Expect(peer.Hash()).To(Equal(s.Hash()))
		}
	})

	// Guards against a bad document that takes effect, or that keeps the last good
	// one or another service's document from taking effect.
	DescribeTable("a document with problems takes no effect and blocks nothing",
		func(bad store.Entry, message string) {
			s := revision.NewSet()
			s.Offer(entry("a", 3, documentText("a", "v1")))
			out, r := s.Offer(bad)
			Expect(out).To(Equal(revision.Rejected))
			Expect(r.Problems[0].Message).To(ContainSubstring(message))
			Expect(s.RevisionOf("a")).To(Equal(uint64(3)))
			Expect(s.RejectedOf("a").Revision).To(Equal(uint64(6)))
			out, _ = s.Offer(entry("b", 7, documentText("b", "v1")))
			Expect(out).To(Equal(revision.InForce))
			By("a good revision below the bad one still takes effect, so that daemons agree")
			out, _ = s.Offer(entry("a", 5, documentText("a", "v2")))
			Expect(out).To(Equal(revision.InForce))
			Expect(s.RejectedOf("a").Revision).To(Equal(uint64(6)))
			out, _ = s.Offer(entry("a", 8, documentText("a", "v3")))
			Expect(out).To(Equal(revision.InForce))
			Expect(s.RejectedOf("a")).To(BeNil())
		},
		Entry("not an envelope", store.Entry{Key: "config/a", Index: 6, Value: []byte("junk")}, "not an envelope"),
		Entry("not a document", entry("a", 6, "[service]\nname = a\n"), "must match"),
		Entry("the name of another service", entry("a", 6, documentText("b", "v1")), "must be a"),
	)

	It("ignores keys that are not below the prefix", func() {
		out, _ := revision.NewSet().Offer(store.Entry{Key: "moves/a", Index: 1, Value: []byte("{}")})
		Expect(out).To(Equal(revision.Ignored))
	})

	// Guards against daemons that disagree permanently because they received the
	// same entries in different orders.
	It("ends in the same state for every order of arrival", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "entries")
			entries := make([]store.Entry, n)
			for i := range entries {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
				index := uint64(i + 1)
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0:
					entries[i] = tombstone(name, index)
				case 1:
					entries[i] = entry(name, index, "bad")
				default:
					entries[i] = entry(name, index, documentText(name, fmt.Sprint("v", index)))
				}
			}
			first := revision.NewSet()
			for _, e := range entries {
				first.Offer(e)
			}
			rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			second, last := revision.NewSet(), map[string]uint64{}
			for range 2 {
				for _, i := range rnd.Perm(n) {
					second.Offer(entries[i])
					for _, name := range second.Names() {
						if rev := second.RevisionOf(name); rev < last[name] {
							t.Fatalf("revision of %s went back from %d to %d", name, last[name], rev)
						} else {
							last[name] = rev
						}
					}
				}
			}
			if first.Hash() != second.Hash() {
				t.Fatalf("hashes differ: %x and %x", first.Hash(), second.Hash())
			}
			for _, name := range first.Names() {
				if first.RevisionOf(name) != second.RevisionOf(name) {
					t.Fatalf("service %s: %d and %d", name, first.RevisionOf(name), second.RevisionOf(name))
				}
			}
		})
	})

	// Guards against different sets with equal hashes, which made a daemon treat
	// its documents as the same as those of a peer. Two services that both went from
	// one revision to a neighbouring one were enough.
	It("has a hash that differs between sets of neighbouring revisions", func() {
		seen := map[uint64][3]uint64{}
		for a := uint64(1); a <= 40; a++ {
			for b := uint64(1); b <= 40; b++ {
				for c := uint64(1); c <= 40; c++ {
					h := revision.EntryHash("config/s0", a) ^ revision.EntryHash("config/s1", b) ^ revision.EntryHash("config/s2", c)
					if old, ok := seen[h]; ok {
						Fail(fmt.Sprintf("revisions %v and %v have the same hash", old, []uint64{a, b, c}))
					}
					seen[h] = [3]uint64{a, b, c}
				}
			}
		}
	})
})
