package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/operator"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/rollout"
	"github.com/gooseberryroad/gooseberryroad/store"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// fakeStore is a store in memory. Its hooks inject faults into single calls.
type fakeStore struct {
	mu      sync.Mutex
	index   uint64
	entries map[string]store.Entry
	// casFault, when set, runs before a compare-and-swap without the lock. When
	// it returns an error, the call returns this error; the write is made only
	// if the second result is true.
	casFault func() (error, bool)
	// getFault, when set, runs before a read. If it returns an error, the read
	// returns this error.
	getFault func() error
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	if f.getFault != nil {
		if err := f.getFault(); err != nil {
			return store.Entry{}, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (f *fakeStore) List(context.Context, string, uint64, time.Duration) ([]store.Entry, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (f *fakeStore) Txn(context.Context, []store.Op) ([]store.OpResult, error) {
	return nil, store.ErrUnavailable
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (uint64, error) {
	var fault error
	applied := false
	if f.casFault != nil {
		fault, applied = f.casFault()
	}
	if fault != nil && !applied {
		return 0, fault
	}
	n, err := f.put(key, value, index)
	if fault != nil {
		return 0, fault
	}
	return n, err
}

func (f *fakeStore) put(key string, value []byte, index uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries[key].Index != index {
		return 0, store.ErrConflict
	}
	f.index += 3
	f.entries[key] = store.Entry{Key: key, Value: value, Index: f.index}
	return f.index, nil
}

func documentText(name, team, version string) string {
	return "[service]\nname = " + name + "\nteam = " + team + "\nmodel = m\n[versions]\nserving = " + version + "\n"
}

// fixture is a server with a fake store. It also is the server's Control, with a
// node that runs the events at once.
type fixture struct {
	store    *fakeStore
	node     *node.Node
	ring     *control.Ring
	srv      *operator.Server
	writeIDs int
}

func (f *fixture) Snapshot() *node.Snapshot { return f.node.Snapshot() }
func (f *fixture) Events() *control.Ring    { return f.ring }
func (f *fixture) Post(ev node.Event) bool {
	for _, a := range f.node.Step(testTime, ev) {
		if e, ok := a.(node.Explain); ok {
			f.ring.Add(testTime, e.Subject, e.Text)
		}
	}
	return true
}

var testTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

type responseBody struct {
	Service  string
	Revision uint64
	Error    struct {
		Message, Code, Outcome string
		Problems               document.Problems
		Winner                 *operator.Winner
	}
}

// call sends a request with the key of a team, which is the name of the team. It
// returns the status, the decoded body and the recorder.
func (f *fixture) call(method, path, team, ifMatch, body string) (int, responseBody, *httptest.ResponseRecorder) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if team != "" {
		r.Header.Set("Authorization", "Bearer "+team)
	}
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	r.Header.Set(operator.OperatorHeader, "op-of-"+team)
	w := httptest.NewRecorder()
	f.srv.Handler().ServeHTTP(w, r)
	var a responseBody
	if strings.Contains(w.Header().Get("Content-Type"), "json") {
		Expect(json.Unmarshal(w.Body.Bytes(), &a)).To(Succeed())
	}
	return w.Code, a, w
}

var _ = Describe("Server", func() {
	var f *fixture
	BeforeEach(func() {
		f = &fixture{store: &fakeStore{entries: map[string]store.Entry{}}, ring: control.NewRing(100),
			node: node.New(node.Options{Name: "d1", Rand: rand.New(rand.NewPCG(1, 0))})}
		f.srv = operator.New(operator.Options{
			Daemon: "d1", Control: f, Store: f.store, Timeout: 300 * time.Millisecond,
			Teams:      map[string]string{"registro": document.HashKey("registro"), "apiario": document.HashKey("apiario")},
			NewWriteID: func() string { f.writeIDs++; return fmt.Sprint("w", f.writeIDs) },
			Now:        func() time.Time { return testTime },
		})
	})

	It("creates, replaces, lists and deletes a document", func() {
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		Expect(code).To(Equal(200))
		first := a.Revision
		code, a, w := f.call("PUT", "/v1/services/tags", "registro", fmt.Sprintf("%q", fmt.Sprint(first)), documentText("tags", "registro", "v2"))
		Expect(code).To(Equal(200))
		Expect(a.Revision).To(BeNumerically(">", first))
		Expect(w.Header().Get("ETag")).To(Equal(fmt.Sprintf("%q", fmt.Sprint(a.Revision))))
		_, _, w = f.call("GET", "/v1/services", "", "", "")
		Expect(w.Body.String()).To(ContainSubstring(`"serving":"v2"`))
		_, _, w = f.call("GET", "/v1/services/tags", "registro", "", "")
		Expect(w.Body.String()).To(ContainSubstring(`op-of-registro`))
		code, _, _ = f.call("GET", "/v1/services/tags", "", "", "")
		Expect(code).To(Equal(401))
		code, _, _ = f.call("DELETE", "/v1/services/tags", "registro", fmt.Sprint(a.Revision), "")
		Expect(code).To(Equal(200))
		code, _, _ = f.call("GET", "/v1/services/tags", "registro", "", "")
		Expect(code).To(Equal(404))
		By("replacing a deleted service by a new one of another team")
		code, _, _ = f.call("PUT", "/v1/services/tags", "apiario", "0", documentText("tags", "apiario", "v1"))
		Expect(code).To(Equal(200))
	})

	// Guards against a change that overwrites one that its author has not seen,
	// and against a conflict response that does not name the other author.
	It("answers the loser of a race with the winner's revision and name", func() {
		_, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		code, conflict, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v2"))
		Expect(code).To(Equal(409))
		Expect(conflict.Error.Outcome).To(Equal("not_run"))
		Expect(conflict.Error.Winner.Revision).To(Equal(a.Revision))
		Expect(conflict.Error.Winner.Operator).To(Equal("op-of-registro"))
		Expect(f.Snapshot().Services["tags"].Doc.Versions.Serving).To(Equal("v1"))
	})

	// Guards against the same race when the other write takes effect between the
	// read and the compare-and-swap.
	It("answers with the winner when the store reports the conflict", func() {
		_, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		f.store.casFault = func() (error, bool) {
			f.store.casFault = nil
			_, err := f.store.put("config/tags", revision.Envelope{Team: "registro", Operator: "other", WriteID: "x",
				Base: a.Revision, Document: documentText("tags", "registro", "v9")}.Encode(), a.Revision)
			return err, false
		}
		code, conflict, _ := f.call("PUT", "/v1/services/tags", "registro", fmt.Sprint(a.Revision), documentText("tags", "registro", "v2"))
		Expect(code).To(Equal(409))
		Expect(conflict.Error.Winner.Operator).To(Equal("other"))
	})

	// Guards against a write whose answer was lost being reported as failed,
	// or being made twice.
	DescribeTable("reads the document back to settle a write whose answer was lost", func(tookEffect bool) {
		calls := 0
		f.store.casFault = func() (error, bool) {
			calls++
			if calls == 1 {
				return store.ErrUnknown, tookEffect
			}
			return nil, false
		}
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		Expect(code).To(Equal(200))
		Expect(a.Revision).To(Equal(uint64(3)))
		Expect(f.store.index).To(Equal(uint64(3)), "the document was written once")
	},
		Entry("when the write took effect", true),
		Entry("when the write did not take effect", false),
	)

	// Guards against not_run for a change that conflicts with another one, but
	// was in force until the other one replaced it.
	It("does not answer not_run when another change may have replaced this one", func() {
		f.store.casFault = func() (error, bool) {
			f.store.casFault = nil
			_, err := f.store.put("config/tags", revision.Envelope{Team: "registro", WriteID: "w1"}.Encode(), 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = f.store.put("config/tags", revision.Envelope{Team: "registro", Operator: "other", WriteID: "x",
				Base: 3, Document: documentText("tags", "registro", "v9")}.Encode(), 3)
			Expect(err).NotTo(HaveOccurred())
			return store.ErrUnknown, false
		}
		code, conflict, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		Expect(code).To(Equal(409))
		Expect(conflict.Error.Outcome).To(Equal("may_have_run"))
	})

	// Guards against a wrong outcome for a change during an outage of the store.
	It("distinguishes a change that was not made from one with an unknown outcome during an outage", func() {
		f.store.getFault = func() error { return store.ErrUnavailable }
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		Expect(code).To(Equal(503))
		Expect(a.Error.Outcome).To(Equal("not_run"))
		f.store.getFault = nil
		f.store.casFault = func() (error, bool) {
			f.store.getFault = func() error { return store.ErrUnavailable }
			return store.ErrUnknown, true
		}
		code, a, _ = f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		Expect(code).To(Equal(503))
		Expect(a.Error.Outcome).To(Equal("may_have_run"))
	})

	// Guards against teams changing each other's services.
	It("lets a team change only its own document", func() {
		_, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		for _, body := range []string{documentText("tags", "registro", "v2"), documentText("tags", "apiario", "v2")} {
			code, _, _ := f.call("PUT", "/v1/services/tags", "apiario", fmt.Sprint(a.Revision), body)
			Expect(code).To(Equal(403))
		}
		code, _, _ := f.call("PUT", "/v1/services/new", "registro", "0", documentText("new", "apiario", "v1"))
		Expect(code).To(Equal(403))
		code, _, _ = f.call("DELETE", "/v1/services/tags", "apiario", fmt.Sprint(a.Revision), "")
		Expect(code).To(Equal(403))
		code, _, _ = f.call("PUT", "/v1/services/tags", "nobody", fmt.Sprint(a.Revision), documentText("tags", "registro", "v2"))
		Expect(code).To(Equal(401))
		Expect(f.store.index).To(Equal(uint64(3)))
	})

	// Guards against a document with mistakes that is stored, or that is
	// refused without a list of all its mistakes.
	It("refuses a document and lists all of its mistakes", func() {
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", "[service]\nname = tags\nteam = registro\nbad = 1\n")
		Expect(code).To(Equal(400))
		Expect(len(a.Error.Problems)).To(BeNumerically(">=", 3))
		code, a, _ = f.call("PUT", "/v1/services/tags", "registro", "0", documentText("other", "registro", "v1"))
		Expect(code).To(Equal(400))
		Expect(a.Error.Problems[0].Key).To(Equal("name"))
		code, _, _ = f.call("PUT", "/v1/services/tags", "registro", "", documentText("tags", "registro", "v1"))
		Expect(code).To(Equal(428))
		code, _, _ = f.call("PUT", "/v1/services/tags", "registro", "0", strings.Repeat("#", 1<<20))
		Expect(code).To(Equal(413))
		Expect(f.store.index).To(BeZero())
	})

	It("takes a version move back by removing it from the document", func() {
		body := strings.Replace(documentText("tags", "registro", "v1"), "serving = v1",
			"serving = v1\nnext = v2\ndeadline = 2026-12-04T18:00:00Z", 1) +
			"[upstream.a]\naddress = 127.0.0.1:1\ndatacentre = dc1\nregion = r\nversion = v1\n" +
			"[upstream.b]\naddress = 127.0.0.1:2\ndatacentre = dc1\nregion = r\nversion = v2\n"
		code, a, w := f.call("PUT", "/v1/services/tags", "registro", "0", body)
		Expect(code).To(Equal(200), w.Body.String())
		code, _, _ = f.call("POST", "/v1/services/tags/take-back", "apiario", "", "")
		Expect(code).To(Equal(403))
		code, _, _ = f.call("POST", "/v1/services/tags/take-back", "registro", "1", "")
		Expect(code).To(Equal(409))
		code, b, _ := f.call("POST", "/v1/services/tags/take-back", "registro", fmt.Sprint(a.Revision), "")
		Expect(code).To(Equal(200))
		Expect(b.Revision).To(BeNumerically(">", a.Revision))
		Expect(f.Snapshot().Services["tags"].Doc.Versions.Next).To(BeEmpty())
		code, _, _ = f.call("POST", "/v1/services/tags/take-back", "registro", "", "")
		Expect(code).To(Equal(409))
	})

	// Each guards against a change that is accepted and is never in force, because the store was
	// restored from an older copy and gives lower indexes out again.
	Describe("after the store was restored from an older copy", func() {
		const path = "/v1/services/tags"
		inForce := uint64(0)
		move := strings.Replace(documentText("tags", "registro", "v3"), "serving = v3",
			"serving = v3\nnext = v4\ndeadline = 2026-12-04T18:00:00Z", 1) +
			"[upstream.a]\naddress = 127.0.0.1:1\ndatacentre = dc1\nregion = r\nversion = v3\n" +
			"[upstream.b]\naddress = 127.0.0.1:2\ndatacentre = dc1\nregion = r\nversion = v4\n"
		restoreAfter := func(change func(revision uint64) uint64) {
			_, a, _ := f.call("PUT", path, "registro", "0", documentText("tags", "registro", "v1"))
			older, index := f.store.entries["config/tags"], f.store.index
			inForce = change(a.Revision)
			f.store.entries["config/tags"], f.store.index = older, index
		}
		put := func(body string) func(uint64) uint64 {
			return func(base uint64) uint64 {
				code, a, _ := f.call("PUT", path, "registro", fmt.Sprint(base), body)
				Expect(code).To(Equal(200))
				return a.Revision
			}
		}

		It("replaces what is in force, and not what the store has", func() {
			restoreAfter(func(base uint64) uint64 {
				for _, version := range []string{"v2", "v3"} {
					base = put(documentText("tags", "registro", version))(base)
				}
				return base
			})
			code, a, _ := f.call("PUT", path, "registro", fmt.Sprint(f.store.index), documentText("tags", "registro", "v4"))
			Expect(code).To(Equal(409))
			Expect(a.Error.Outcome).To(Equal("not_run"))
			Expect(a.Error.Winner.Revision).To(Equal(inForce))
			for _, version := range []string{"v4", "v5"} {
				inForce = put(documentText("tags", "registro", version))(inForce)
				Expect(f.Snapshot().Services["tags"].Doc.Versions.Serving).To(Equal(version))
				Expect(f.Snapshot().Services["tags"].Revision).To(Equal(inForce))
			}
		})

		It("creates a service that the store lost", func() {
			restoreAfter(put(documentText("tags", "registro", "v2")))
			delete(f.store.entries, "config/tags")
			code, _, _ := f.call("PUT", path, "registro", "0", documentText("tags", "registro", "v3"))
			Expect(code).To(Equal(409))
			put(documentText("tags", "registro", "v3"))(inForce)
			Expect(f.Snapshot().Services["tags"].Doc.Versions.Serving).To(Equal("v3"))
		})

		It("creates a service again whose deletion the store lost", func() {
			restoreAfter(func(base uint64) uint64 {
				code, a, _ := f.call("DELETE", path, "registro", fmt.Sprint(base), "")
				Expect(code).To(Equal(200))
				return a.Revision
			})
			code, _, _ := f.call("PUT", path, "apiario", "0", documentText("tags", "apiario", "v3"))
			Expect(code).To(Equal(200))
			Expect(f.Snapshot().Services["tags"].Doc.Versions.Serving).To(Equal("v3"))
		})

		It("takes back a version move that the store lost", func() {
			restoreAfter(put(move))
			code, _, _ := f.call("POST", path+"/take-back", "registro", "", "")
			Expect(code).To(Equal(200))
			Expect(f.Snapshot().Services["tags"].Doc.Versions.Serving).To(Equal("v3"))
			Expect(f.Snapshot().Services["tags"].Doc.Versions.Next).To(BeEmpty())
		})
	})

	It("reports a stored document that takes no effect, in sentences and in JSON", func() {
		f.call("PUT", "/v1/services/tags", "registro", "0", documentText("tags", "registro", "v1"))
		f.Post(node.StoreListed{Prefix: "config/", Index: 7, Entries: []store.Entry{{Key: "config/tags", Index: 7, Value: []byte("junk")}}})
		f.Post(node.Tick{})
		_, _, w := f.call("GET", "/v1/services/tags/status", "", "", "")
		Expect(w.Body.String()).To(ContainSubstring(`"rejected":{"revision":7`))
		Expect(w.Body.String()).To(ContainSubstring("Version v1 serves."))
		_, _, w = f.call("GET", "/v1/events?subject=service/tags", "", "", "")
		Expect(w.Body.String()).To(ContainSubstring("takes no effect"))
	})

	// Guards against a version move whose state operators and the flag --wait
	// cannot see.
	It("reports the phase of a version move and its reason", func() {
		body := strings.Replace(documentText("tags", "registro", "v1"), "serving = v1",
			"serving = v1\nnext = v2\ndeadline = 2026-12-04T18:00:00Z", 1) +
			"[upstream.a]\naddress = 127.0.0.1:1\ndatacentre = dc1\nregion = r\nversion = v1\n" +
			"[upstream.b]\naddress = 127.0.0.1:2\ndatacentre = dc1\nregion = r\nversion = v2\n"
		f.call("PUT", "/v1/services/tags", "registro", "0", body)
		doc := f.Snapshot().Services["tags"].Doc
		rec := rollout.Move{Service: "tags", From: "v1", To: "v2", Began: 3, DocRevision: 3, Deadline: doc.Versions.Deadline,
			Phase: rollout.PhaseRolledBack, Reason: "too many failures", PhaseSince: testTime, Started: testTime, Fence: 3, Versions: doc.Versions}
		b, err := rec.Encode()
		Expect(err).NotTo(HaveOccurred())
		f.Post(node.StoreListed{Prefix: "moves/", Index: 9, Entries: []store.Entry{{Key: "moves/tags", Index: 9, Value: b}}})
		f.Post(node.Tick{})
		_, _, w := f.call("GET", "/v1/services/tags/status", "", "", "")
		Expect(w.Body.String()).To(ContainSubstring(`"move_phase":"taken_back"`))
		Expect(w.Body.String()).To(ContainSubstring(`"move_reason":"too many failures"`))
		Expect(w.Body.String()).To(ContainSubstring("v2 gets no requests: too many failures."))
	})

	It("is ready once it has documents and until it drains", func() {
		code, _, _ := f.call("GET", "/readyz", "", "", "")
		Expect(code).To(Equal(503))
		f.Post(node.StoreListed{Prefix: "config/", Index: 1})
		f.Post(node.Tick{})
		code, _, _ = f.call("GET", "/readyz", "", "", "")
		Expect(code).To(Equal(200))
		f.Post(node.DrainRequested{})
		code, _, _ = f.call("GET", "/readyz", "", "", "")
		Expect(code).To(Equal(503))
		code, _, _ = f.call("GET", "/healthz", "", "", "")
		Expect(code).To(Equal(200))
		_, _, w := f.call("GET", "/metrics", "", "", "")
		Expect(w.Code).To(Equal(200))
	})
})
