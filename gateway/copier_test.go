package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

// copyProtocol names the run in the path of a copy call and in the responses to it.
type copyProtocol struct{ plainProtocol }

func (copyProtocol) DecodeResponseHead(_ int, h http.Header) ResponseHead {
	return ResponseHead{ID: h.Get("Id"), Sealed: true}
}

func (copyProtocol) CopyRequest(id, _ string) (string, []byte) { return "/copy/" + id, []byte("{}") }

func (copyProtocol) DecodeCopyHandle(body []byte) (string, error) { return string(body), nil }

func (copyProtocol) ReportTarget() string { return "/report" }

func (copyProtocol) DecodeReport(body []byte, _ string) (EngineReport, error) {
	return EngineReport{Models: []string{string(body)}}, nil
}

func (copyProtocol) InstanceID(http.Header) string { return "" }

// startRepeatingEngine starts an engine that writes each response to a copy call once more
// where the response to the next call on the connection is expected.
func startRepeatingEngine(t *testing.T) registry.Instance {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		late := ""
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			response := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport"
			next := ""
			if id := req.URL.Path[len("/copy"):]; req.Method == http.MethodPost {
				response = fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\nhandle of %s", id[1:], len("handle of ")+len(id)-1, id[1:])
				next = response
			}
			if _, err := io.WriteString(c, late+response); err != nil {
				return
			}
			late = next
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return registry.Instance{ID: "e", Address: l.Addr().String()}
}

// Guards against a stream that goes on from the memory of another request: an engine answers
// the copy call of one run a second time, where the answer to the call of another run, or to
// a query of its load, is expected.
func TestControlCallsTakeNoResponseToAnotherRun(t *testing.T) {
	o := NewWithT(t)
	g := New(Options{
		Name: "d", Directory: directory.NewFollower(directory.Options{}), Protocol: copyProtocol{}, Rand: rand.New(rand.NewPCG(1, 2)),
		Pool: upstream.NewPool(upstream.DefaultOptions()), Logger: slog.New(slog.DiscardHandler),
	})
	engine := startRepeatingEngine(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, id := range []string{"a", "b", "a", "c"} {
		got := g.copyRun(ctx, &request{Call: &Call{ID: id}}, engine, registry.Instance{ID: "f"})
		o.Expect(got.err).NotTo(HaveOccurred())
		o.Expect(got.handle).To(Equal("handle of " + id))
	}
	report, err := g.ask(ctx, engine, controlCall{method: http.MethodGet, target: "/report"})
	o.Expect(err).NotTo(HaveOccurred())
	o.Expect(string(report)).To(Equal("report"))
}

// Guards against a copy that is ordered at another engine than the one that ran the stream
// when the order was decided: the stream goes on elsewhere before the call begins.
func TestCopyIsMadeWhereTheRunWas(t *testing.T) {
	o := NewWithT(t)
	copyAt := registry.Instance{ID: "f", Service: "s", Address: "127.0.0.1:1"}
	value, err := json.Marshal(copyAt)
	o.Expect(err).NotTo(HaveOccurred())
	log := slog.New(slog.DiscardHandler)
	f := directory.NewFollower(directory.Options{
		Store:   fixedStore{{Key: "config", Value: []byte(`{"Version": 1, "Services": [{"Name": "s"}]}`), Index: 1}, {Key: "up/f", Value: value, Index: 1}},
		Decoder: jsonDecoder{}, Relay: noRelay{}, Logger: log, Self: sources.Peer{Name: "d", Address: "d", DataCentre: "a"},
	})
	g := New(Options{Name: "d", Directory: f, Protocol: copyProtocol{}, Rand: rand.New(rand.NewPCG(1, 2)), Pool: upstream.NewPool(upstream.DefaultOptions()), Logger: log})
	f.SetOnView(g.OnView)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go f.Run(ctx)
	o.Eventually(func() bool { return g.registered(copyAt) }, "5s").Should(BeTrue())
	s := newSearchingStream(g, 0, 5)
	s.r.ID = "a"
	s.r.engine.Backups, s.r.route.Resumable = true, true
	engine := startRepeatingEngine(t)
	for range 20 {
		results := make(chan copyResult, 1)
		p := assignment{upstream: engine, copyTo: copyAt}
		c := &copier{s: s, copyByCalls: true}
		c.check(ctx, &p, results)
		p = assignment{}
		var got copyResult
		o.Eventually(results, "5s").Should(Receive(&got))
		o.Expect(got.err).NotTo(HaveOccurred())
		o.Expect(got.handle).To(Equal("handle of a"))
	}
}
