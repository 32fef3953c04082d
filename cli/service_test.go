package cli_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cli"
)

const serviceDocument = "[service]\nname = tags\nteam = registro\nmodel = m\n[versions]\nserving = v1\n"

// scriptedAPI answers requests from a list of answers for each "METHOD PATH". An
// answer is a body, or a status, a space and a body. The last answer of a list
// repeats.
type scriptedAPI struct {
	mu       sync.Mutex
	answers  map[string][]string
	requests []string
}

func (a *scriptedAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := r.Method + " " + r.URL.RequestURI()
	a.requests = append(a.requests, fmt.Sprintf("%s If-Match=%s key=%s", key, r.Header.Get("If-Match"), r.Header.Get("Authorization")))
	script := a.answers[key]
	if len(script) == 0 {
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, `{"error":{"message":"there is no service"}}`)
		return
	}
	if len(script) > 1 {
		a.answers[key] = script[1:]
	}
	var status int
	body := script[0]
	if _, err := fmt.Sscanf(body, "%d ", &status); err == nil {
		w.WriteHeader(status)
		_, body, _ = strings.Cut(body, " ")
	}
	fmt.Fprint(w, body)
}

var _ = Describe("service", func() {
	var (
		a    *scriptedAPI
		srv  *httptest.Server
		file string
	)
	BeforeEach(func() {
		a = &scriptedAPI{answers: map[string][]string{}}
		srv = httptest.NewServer(a)
		DeferCleanup(srv.Close)
		file = filepath.Join(GinkgoT().TempDir(), "tags.ini")
		Expect(os.WriteFile(file, []byte(serviceDocument), 0o600)).To(Succeed())
	})
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		args = append(args, "--operator", strings.TrimPrefix(srv.URL, "http://"), "--key", "k")
		code := cli.Run(context.Background(), args, &out, &errs)
		return code, out.String(), errs.String()
	}

	It("creates a service and replaces the revision in force", func() {
		a.answers["PUT /v1/services/tags"] = []string{`{"service":"tags","revision":7}`}
		code, out, _ := run("service", "apply", file)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("revision 7 accepted"))
		a.answers["GET /v1/services/tags"] = []string{`{"name":"tags","revision":7}`}
		_, _, _ = run("service", "apply", file)
		Expect(a.requests).To(HaveExactElements(
			"GET /v1/services/tags If-Match= key=Bearer k",
			"PUT /v1/services/tags If-Match=0 key=Bearer k",
			"GET /v1/services/tags If-Match= key=Bearer k",
			"PUT /v1/services/tags If-Match=7 key=Bearer k"))
	})

	// Guards against exit codes by which a script takes a failure for a success, or
	// an outage for a mistake.
	DescribeTable("exits with the code of the kind of failure", func(answer string, code int, message string) {
		a.answers["PUT /v1/services/tags"] = []string{answer}
		got, _, errs := run("service", "apply", file, "--revision", "3")
		Expect(got).To(Equal(code))
		Expect(errs).To(ContainSubstring(message))
	},
		Entry("conflict with another change", `409 {"error":{"message":"revision 9 of team x"}}`, cli.ExitFailed, "revision 9 of team x"),
		Entry("service of another team", `403 {"error":{"message":"belongs to x"}}`, cli.ExitFailed, "belongs to x"),
		Entry("document with mistakes", `400 {"error":{"message":"2 mistakes","problems":[{"section":"s","message":"m1"},{"section":"s","message":"m2"}]}}`, cli.ExitUsage, "m2"),
		Entry("store outage", `503 {"error":{"message":"does not answer","outcome":"may_have_run"}}`, cli.ExitUnavailable, "may have taken effect"),
		Entry("another service at the address", `200 hello`, cli.ExitUnavailable, "operator API"),
	)

	It("checks the document before it calls and reports a daemon that does not answer", func() {
		Expect(os.WriteFile(file, []byte("[service]\n"), 0o600)).To(Succeed())
		code, _, _ := run("service", "apply", file)
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(a.requests).To(BeEmpty())
		srv.Close()
		code, _, _ = run("service", "list")
		Expect(code).To(Equal(cli.ExitUnavailable))
	})

	Describe("--wait", func() {
		BeforeEach(func() {
			a.answers["PUT /v1/services/tags"] = []string{`{"service":"tags","revision":7}`}
		})

		// Guards against a wait that ends before all daemons have the revision, or
		// because the daemon restarts.
		It("waits until the revision is in force everywhere", func() {
			a.answers["GET /v1/services/tags/status"] = []string{
				`{"revision":5,"in_force_everywhere":true}`, `503 {}`,
				`{"revision":7,"in_force_everywhere":false}`, `{"revision":7,"in_force_everywhere":true}`}
			code, out, _ := run("service", "apply", file, "--revision", "5", "--wait")
			Expect(code).To(Equal(cli.ExitOK))
			Expect(out).To(ContainSubstring("in force at all live daemons"))
			Expect(a.requests).To(HaveLen(5))
		})

		DescribeTable("waits for the end of a move", func(phase string, code int) {
			Expect(os.WriteFile(file, []byte(serviceDocument+"next = v2\ndeadline = 2026-12-04T18:00:00Z\n"+
				"[upstream.a]\naddress = 127.0.0.1:1\ndatacentre = d\nregion = r\nversion = v1\n"+
				"[upstream.b]\naddress = 127.0.0.1:2\ndatacentre = d\nregion = r\nversion = v2\n"), 0o600)).To(Succeed())
			a.answers["GET /v1/services/tags/status"] = []string{
				`{"revision":7,"next":"v2","in_force_everywhere":true,"move_phase":"growing"}`,
				`{"revision":7,"next":"v2","in_force_everywhere":true,"move_phase":"` + phase + `","move_reason":"too many failures"}`}
			got, out, errs := run("service", "apply", file, "--revision", "5", "--wait")
			Expect(got).To(Equal(code), out+errs)
		},
			Entry("done", "done", cli.ExitOK),
			Entry("taken back", "taken_back", cli.ExitFailed),
		)

		It("fails when another revision replaces this one, and at its timeout", func() {
			a.answers["GET /v1/services/tags/status"] = []string{`{"revision":8,"in_force_everywhere":true}`}
			code, _, errs := run("service", "apply", file, "--revision", "5", "--wait")
			Expect(code).To(Equal(cli.ExitFailed))
			Expect(errs).To(ContainSubstring("replaced by revision 8"))
			a.answers["GET /v1/services/tags/status"] = []string{`{"revision":7,"in_force_everywhere":false,"words":["Not yet."]}`}
			code, _, errs = run("service", "apply", file, "--revision", "5", "--wait", "--wait-timeout", "10ms")
			Expect(code).To(Equal(cli.ExitFailed))
			Expect(errs).To(ContainSubstring("gave up waiting"))
		})
	})

	It("prints documents, lists, status and events as text and as JSON", func() {
		a.answers["GET /v1/services/tags"] = []string{`{"name":"tags","document":"[service]\n"}`}
		a.answers["GET /v1/services"] = []string{`{"services":[{"name":"tags","team":"registro","revision":7,"serving":"v1"}]}`}
		a.answers["GET /v1/services/tags/status"] = []string{`{"words":["Version v1 serves."]}`}
		a.answers["GET /v1/events?subject=service%2Ftags"] = []string{`{"events":[{"seq":1,"subject":"service/tags","text":"because"}]}`}
		a.answers["POST /v1/services/tags/take-back"] = []string{`{"service":"tags","revision":9}`}
		for args, want := range map[string]string{
			"service get tags": "[service]\n", "service list": "registro", "service status tags": "Version v1 serves.",
			"explain service/tags": "because", "service take-back tags": "revision 9 accepted",
		} {
			code, out, errs := run(strings.Fields(args)...)
			Expect(code).To(Equal(cli.ExitOK), errs)
			Expect(out).To(ContainSubstring(want))
			_, out, _ = run(append(strings.Fields(args), "--output", "json")...)
			Expect(out).To(HavePrefix("{"))
		}
	})
})
