package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sizing"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

// fixedStore is a store whose entries never change.
type fixedStore []store.Entry

func (s fixedStore) RangePage(context.Context, string, string, bool) (store.Page, error) {
	return store.Page{Entries: s, Revision: 1}, nil
}

func (fixedStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Change, uint64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (fixedStore) Grant(context.Context, time.Duration) (uint64, error) { return 1, nil }

func (fixedStore) PutLeased(context.Context, string, []byte, uint64) error { return nil }

func (fixedStore) Era() store.Era { return 0 }

func (fixedStore) NoteEra(store.Era) {}

// noRelay reaches no other daemon.
type noRelay struct{}

func (noRelay) Fetch(context.Context, string, uint64, time.Duration, time.Duration) (directory.Update, error) {
	return directory.Update{}, io.ErrUnexpectedEOF
}

func (noRelay) FetchAny(context.Context, []string, uint64, time.Duration) (directory.Update, error) {
	return directory.Update{}, io.ErrUnexpectedEOF
}

// jsonDecoder decodes entries that are written as JSON.
type jsonDecoder struct{}

func (jsonDecoder) Config(e store.Entry) (c routes.Config, ok bool, err error) {
	return c, e.Key == "config", decodeIf(e.Key == "config", e.Value, &c)
}

func (jsonDecoder) Instance(e store.Entry) (in registry.Instance, ok bool, err error) {
	ok = strings.HasPrefix(e.Key, "up/")
	return in, ok, decodeIf(ok, e.Value, &in)
}

func (jsonDecoder) Order(store.Entry) (o cutover.Order, ok bool, err error) { return o, false, nil }

func (jsonDecoder) Status(store.Entry) (service string, s cutover.Status, ok bool, err error) {
	return "", s, false, nil
}

func decodeIf(wanted bool, b []byte, into any) error {
	if !wanted {
		return nil
	}
	return json.Unmarshal(b, into)
}

// plainProtocol takes the host and the path of a request as they are; all responses are
// sealed.
type plainProtocol struct{ Protocol }

func (plainProtocol) DecodeRequest(r *http.Request) Call {
	tokens, _ := strconv.Atoi(r.Header.Get("Tokens"))
	return Call{ID: "1", Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.URL.Path, PromptTokens: tokens, Header: http.Header{}}
}

func (plainProtocol) RequestHeader(Attempt) http.Header { return http.Header{} }

func (plainProtocol) DecodeResponseHead(status int, _ http.Header) ResponseHead {
	return ResponseHead{Sealed: true, NotRun: status == http.StatusServiceUnavailable}
}

func (plainProtocol) SetErrorHeader(http.Header, string, time.Duration) {}

var _ = ginkgo.Describe("The demand of streams", func() {
	const prefill = 30 * time.Millisecond
	var g *Gateway
	start := func(scaling *routes.Scaling, status int) {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if status != http.StatusOK {
				w.WriteHeader(status)
				return
			}
			w.WriteHeader(http.StatusOK)
			<-time.After(prefill)
			for i := range 3 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
			}
		}))
		ginkgo.DeferCleanup(engine.Close)
		config, err := json.Marshal(routes.Config{
			Version: 1, Services: []routes.Service{{Name: "llm", Engine: &routes.Engine{}, Scaling: scaling}},
			Routes: []routes.Route{
				{Name: "s", Host: "h", Prefix: "/s/", Kind: routes.Stream, TargetLatency: 200 * time.Millisecond, MaxAttempts: 1, Shares: []routes.Share{{Service: "llm", Weight: 1}}},
				{Name: "p", Host: "h", Prefix: "/p/", Kind: routes.Idempotent, MaxAttempts: 1, Shares: []routes.Share{{Service: "llm", Weight: 1}}},
			},
		})
		Expect(err).NotTo(HaveOccurred())
		instance, err := json.Marshal(registry.Instance{ID: "e", Service: "llm", Address: engine.Listener.Addr().String(), DataCentre: "a", Slots: 4})
		Expect(err).NotTo(HaveOccurred())
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		f := directory.NewFollower(directory.Options{
			Store: fixedStore{{Key: "config", Value: config, Index: 1}, {Key: "up/e", Value: instance, Index: 1}}, Decoder: jsonDecoder{}, Relay: noRelay{},
			Logger: log, Self: sources.Peer{Name: "d", Address: "d", DataCentre: "a"},
		})
		g = New(Options{Name: "d", Directory: f, Protocol: plainProtocol{}, Pool: upstream.NewPool(upstream.Options{}), Logger: log,
			DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))})
		f.SetOnView(g.OnView)
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go f.Run(ctx)
		Eventually(func() bool { return f.View().Ready }).Should(BeTrue())
	}
	send := func(path string) int {
		r := httptest.NewRequest(http.MethodPost, "http://h"+path, nil)
		r.Header.Set("Tokens", "100")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w.Code
	}
	// demand returns the counts of the service in all intervals that have ended by now.
	demand := func() (s sizing.Sample) {
		for _, in := range g.Demand(time.Now().Add(2 * time.Second)).Intervals {
			of := in.Services["llm"]
			s.Arrived += of.Arrived
			s.Tokens += of.Tokens
			s.First += of.First
			s.FirstMs += of.FirstMs
			s.Ended += of.Ended
			s.Running += of.Running
			for range of.Pace {
				s.Pace = of.Pace
			}
		}
		return s
	}

	// Guards against replicas that are ordered for streams that were counted wrongly.
	ginkgo.It("counts served streams with the time to their first event", func() {
		start(&routes.Scaling{Min: 1, Max: 9}, http.StatusOK)
		Expect(send("/s/x")).To(Equal(http.StatusOK))
		Expect(send("/p/x")).To(Equal(http.StatusOK))
		s := demand()
		Expect(s.Arrived).To(Equal(1))
		Expect(s.Tokens).To(BeEquivalentTo(100))
		Expect(s.First).To(Equal(1))
		Expect(s.FirstMs).To(BeNumerically(">=", prefill.Milliseconds()))
		Expect(s.Ended).To(Equal(1))
		Expect(s.Running).To(BeZero())
		Expect(s.Pace).To(HaveLen(1), "nothing was ahead of the stream")
	})

	// Guards against a number that is lowered because the streams of an overload are refused.
	ginkgo.It("counts refused streams", func() {
		start(&routes.Scaling{Min: 1, Max: 9}, http.StatusServiceUnavailable)
		Expect(send("/s/x")).To(Equal(http.StatusServiceUnavailable))
		s := demand()
		Expect(s.Arrived).To(Equal(1))
		Expect(s.First).To(BeZero())
		Expect(s.Running).To(BeZero())
		Expect(s.Tokens).To(BeEquivalentTo(100), "the prompt was not read, nor read again")
	})

	// Guards against work for deployments that order no replicas.
	ginkgo.It("is not counted for services without scaling", func() {
		start(nil, http.StatusOK)
		Expect(send("/s/x")).To(Equal(http.StatusOK))
		Expect(demand()).To(BeZero())
	})
})
