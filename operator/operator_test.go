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

// fakeStore holds keys in memory. Hooks inject faults into single calls.
type fakeStore struct {
	mu      sync.Mutex
	index   uint64
	entries map[string]store.Entry
	// cas, when set, runs before a write with the lock not held; its error is
	// returned after the write when the second result is true, and instead of
	// it otherwise.
	cas func() (error, bool)
	get func() error
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	if f.get != nil {
		if err := f.get(); err != nil {
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
	after := false
	if f.cas != nil {
		fault, after = f.cas()
	}
	if fault != nil && !after {
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

func text(name, team, version string) string {
	return "[service]\nname = " + name + "\nteam = " + team + "\nmodel = m\n[versions]\nserving = " + version + "\n"
}

type fixture struct {
	store *fakeStore
	node  *node.Node
	ring  *control.Ring
	srv   *operator.Server
	ids   int
}

func (f *fixture) Snapshot() *node.Snapshot { return f.node.Snapshot() }
func (f *fixture) Events() *control.Ring    { return f.ring }
func (f *fixture) Post(ev node.Event) bool {
	for _, a := range f.node.Step(at, ev) {
		if e, ok := a.(node.Explain); ok {
			f.ring.Add(at, e.Subject, e.Text)
		}
	}
	return true
}

var at = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

type answer struct {
	Service  string
	Revision uint64
	Error    struct {
		Message, Code, Outcome string
		Problems               document.Problems
		Winner                 *operator.Winner
	}
}

// call sends a request as a team; the team's key is its name.
func (f *fixture) call(method, path, team, ifMatch, body string) (int, answer, *httptest.ResponseRecorder) {
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
	var a answer
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
			NewWriteID: func() string { f.ids++; return fmt.Sprint("w", f.ids) },
			Now:        func() time.Time { return at },
		})
	})

	It("creates, replaces, lists and deletes a document", func() {
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		Expect(code).To(Equal(200))
		first := a.Revision
		code, a, w := f.call("PUT", "/v1/services/tags", "registro", fmt.Sprintf("%q", fmt.Sprint(first)), text("tags", "registro", "v2"))
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
		By("a new service of any team may take the place of a deleted one")
		code, _, _ = f.call("PUT", "/v1/services/tags", "apiario", "0", text("tags", "apiario", "v1"))
		Expect(code).To(Equal(200))
	})

	// Guards against a change that overwrites one that its author has not seen,
	// and against a loser who is not told who won.
	It("answers the loser of a race with the winner's revision and name", func() {
		_, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		code, lost, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v2"))
		Expect(code).To(Equal(409))
		Expect(lost.Error.Outcome).To(Equal("not_run"))
		Expect(lost.Error.Winner.Revision).To(Equal(a.Revision))
		Expect(lost.Error.Winner.Operator).To(Equal("op-of-registro"))
		Expect(f.Snapshot().Services["tags"].Doc.Versions.Serving).To(Equal("v1"))
	})

	// Guards against the same race when the other write lands between the
	// reading and the compare-and-swap.
	It("answers a conflict that the store found with the winner", func() {
		_, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		f.store.cas = func() (error, bool) {
			f.store.cas = nil
			_, err := f.store.put("config/tags", revision.Envelope{Team: "registro", Operator: "other", WriteID: "x",
				Base: a.Revision, Document: text("tags", "registro", "v9")}.Encode(), a.Revision)
			return err, false
		}
		code, lost, _ := f.call("PUT", "/v1/services/tags", "registro", fmt.Sprint(a.Revision), text("tags", "registro", "v2"))
		Expect(code).To(Equal(409))
		Expect(lost.Error.Winner.Operator).To(Equal("other"))
	})

	// Guards against a write whose answer was lost being reported as failed,
	// or being made twice.
	DescribeTable("settles a lost answer by reading back", func(tookEffect bool) {
		calls := 0
		f.store.cas = func() (error, bool) {
			calls++
			if calls == 1 {
				return store.ErrUnknown, tookEffect
			}
			return nil, false
		}
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		Expect(code).To(Equal(200))
		Expect(a.Revision).To(Equal(uint64(3)))
		Expect(f.store.index).To(Equal(uint64(3)), "the document was written once")
	},
		Entry("when the write took effect", true),
		Entry("when the write did not take effect", false),
	)

	// Guards against a loser whose write may have been in force for a moment
	// being told that it was not.
	It("does not claim not_run when another change replaced what may be this one", func() {
		f.store.cas = func() (error, bool) {
			f.store.cas = nil
			_, err := f.store.put("config/tags", revision.Envelope{Team: "registro", WriteID: "w1"}.Encode(), 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = f.store.put("config/tags", revision.Envelope{Team: "registro", Operator: "other", WriteID: "x",
				Base: 3, Document: text("tags", "registro", "v9")}.Encode(), 3)
			Expect(err).NotTo(HaveOccurred())
			return store.ErrUnknown, false
		}
		code, lost, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		Expect(code).To(Equal(409))
		Expect(lost.Error.Outcome).To(Equal("may_have_run"))
	})

	// Guards against a change during an outage that is reported wrongly.
	It("tells a refused change from one whose outcome is unknown during an outage", func() {
		f.store.get = func() error { return store.ErrUnavailable }
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		Expect(code).To(Equal(503))
		Expect(a.Error.Outcome).To(Equal("not_run"))
		f.store.get = nil
		f.store.cas = func() (error, bool) {
			f.store.get = func() error { return store.ErrUnavailable }
			return store.ErrUnknown, true
		}
		code, a, _ = f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		Expect(code).To(Equal(503))
		Expect(a.Error.Outcome).To(Equal("may_have_run"))
	})

	// Guards against teams changing each other's services.
	It("lets a team change only its own document", func() {
		_, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		for _, body := range []string{text("tags", "registro", "v2"), text("tags", "apiario", "v2")} {
			code, _, _ := f.call("PUT", "/v1/services/tags", "apiario", fmt.Sprint(a.Revision), body)
			Expect(code).To(Equal(403))
		}
		code, _, _ := f.call("PUT", "/v1/services/new", "registro", "0", text("new", "apiario", "v1"))
		Expect(code).To(Equal(403))
		code, _, _ = f.call("DELETE", "/v1/services/tags", "apiario", fmt.Sprint(a.Revision), "")
		Expect(code).To(Equal(403))
		code, _, _ = f.call("PUT", "/v1/services/tags", "nobody", fmt.Sprint(a.Revision), text("tags", "registro", "v2"))
		Expect(code).To(Equal(401))
		Expect(f.store.index).To(Equal(uint64(3)))
	})

	// Guards against a document with mistakes that is stored, or that is
	// refused without all of its mistakes.
	It("refuses a document with all of its mistakes", func() {
		code, a, _ := f.call("PUT", "/v1/services/tags", "registro", "0", "[service]\nname = tags\nteam = registro\nbad = 1\n")
		Expect(code).To(Equal(400))
		Expect(len(a.Error.Problems)).To(BeNumerically(">=", 3))
		code, a, _ = f.call("PUT", "/v1/services/tags", "registro", "0", text("other", "registro", "v1"))
		Expect(code).To(Equal(400))
		Expect(a.Error.Problems[0].Key).To(Equal("name"))
		code, _, _ = f.call("PUT", "/v1/services/tags", "registro", "", text("tags", "registro", "v1"))
		Expect(code).To(Equal(428))
		code, _, _ = f.call("PUT", "/v1/services/tags", "registro", "0", strings.Repeat("#", 1<<20))
		Expect(code).To(Equal(413))
		Expect(f.store.index).To(BeZero())
	})

	It("takes a move back by removing it from the document", func() {
		body := strings.Replace(text("tags", "registro", "v1"), "serving = v1",
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

	It("states a stored document that takes no effect, in words and in JSON", func() {
		f.call("PUT", "/v1/services/tags", "registro", "0", text("tags", "registro", "v1"))
		f.Post(node.StoreListed{Prefix: "config/", Index: 7, Entries: []store.Entry{{Key: "config/tags", Index: 7, Value: []byte("junk")}}})
		f.Post(node.Tick{})
		_, _, w := f.call("GET", "/v1/services/tags/status", "", "", "")
		Expect(w.Body.String()).To(ContainSubstring(`"rejected":{"revision":7`))
		Expect(w.Body.String()).To(ContainSubstring("Version v1 serves."))
		_, _, w = f.call("GET", "/v1/events?subject=service/tags", "", "", "")
		Expect(w.Body.String()).To(ContainSubstring("takes no effect"))
	})

	// Guards against a move that operators and --wait cannot follow.
	It("states the phase of a move and why", func() {
		body := strings.Replace(text("tags", "registro", "v1"), "serving = v1",
			"serving = v1\nnext = v2\ndeadline = 2026-12-04T18:00:00Z", 1) +
			"[upstream.a]\naddress = 127.0.0.1:1\ndatacentre = dc1\nregion = r\nversion = v1\n" +
			"[upstream.b]\naddress = 127.0.0.1:2\ndatacentre = dc1\nregion = r\nversion = v2\n"
		f.call("PUT", "/v1/services/tags", "registro", "0", body)
		doc := f.Snapshot().Services["tags"].Doc
		rec := rollout.Move{Service: "tags", From: "v1", To: "v2", Began: 3, DocRevision: 3, Deadline: doc.Versions.Deadline,
			Phase: rollout.PhaseRolledBack, Reason: "too many failures", PhaseSince: at, Started: at, Fence: 3, Versions: doc.Versions}
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
