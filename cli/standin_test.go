package cli_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cli"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

var _ = Describe("standin", func() {
	type runningStandin struct {
		address, control string
		stop             context.CancelFunc
		exitCode         chan int
		stderr           *bytes.Buffer
	}
	start := func(args ...string) runningStandin {
		GinkgoHelper()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		out, w := io.Pipe()
		r := runningStandin{stop: cancel, exitCode: make(chan int, 1), stderr: &bytes.Buffer{}}
		go func() {
			r.exitCode <- cli.Run(ctx, append([]string{"standin"}, args...), w, r.stderr)
			w.Close()
		}()
		line, err := bufio.NewReader(out).ReadBytes('\n')
		Expect(err).NotTo(HaveOccurred())
		var ready struct{ Kind, Address, Control string }
		Expect(json.Unmarshal(line, &ready)).To(Succeed())
		Expect(ready.Kind).To(Equal(args[0]))
		r.address, r.control = ready.Address, ready.Control
		return r
	}
	post := func(url, body string) int {
		GinkgoHelper()
		res, err := http.Post("http://"+url, "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		return res.StatusCode
	}

	// Guards against a stand-in process that scripts cannot use.
	DescribeTable("prints its addresses, accepts faults and exits with 0",
		func(args ...string) {
			r := start(args...)
			Expect(post(r.control+"/control/faults", "{}")).To(Equal(http.StatusOK))
			Expect(post(r.control+"/control/faults", `{"unknown":1}`)).To(Equal(http.StatusBadRequest))
			res, err := http.Get("http://" + r.control + "/control/stats")
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			Expect(res.StatusCode).To(Equal(http.StatusOK))
			r.stop()
			Eventually(r.exitCode, 10*time.Second).Should(Receive(Equal(cli.ExitOK)))
		},
		Entry("engine", "engine", "--step=1ms"),
		Entry("store", "store", "--writes-per-second=-1"),
		Entry("vms", "vms", "--list", `[{"name":"e1","address":"127.0.0.1:9"}]`),
		Entry("service", "service"),
		Entry("control", "control"),
	)

	// Guards against a stand-in that accepts what the control service of a deployment would
	// reject, or that does not tell which rule was broken.
	It("takes calls of duties, checks their tokens and reports broken rules", func() {
		r := start("control", "--checks-fence", "--faults", `{"turn_away":true}`)
		report := func(holder string, token uint64, window, requests int64) int {
			req, err := platformtest.NewUsageReport(r.address, holder, token, window, map[string]int64{"a": requests})
			Expect(err).NotTo(HaveOccurred())
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			return res.StatusCode
		}
		Expect(report("d1", 2, 1, 1)).To(Equal(http.StatusTooManyRequests))
		Expect(post(r.control+"/control/faults", "{}")).To(Equal(http.StatusOK))
		Expect(report("d1", 2, 1, 1)).To(Equal(http.StatusOK))
		Expect(report("d2", 1, 2, 1)).To(Equal(http.StatusConflict))
		Expect(report("d2", 3, 1, 2)).To(Equal(http.StatusOK))
		res, err := http.Get("http://" + r.control + "/control/stats")
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		var stats struct {
			Calls      int
			Violations []string
		}
		Expect(json.NewDecoder(res.Body).Decode(&stats)).To(Succeed())
		Expect(stats.Calls).To(Equal(2))
		Expect(stats.Violations).To(ConsistOf(ContainSubstring("window 1 was reported as")))
	})

	DescribeTable("exits with 1 when a fault ends it",
		func(args ...string) {
			r := start(args...)
			Expect(post(r.control+"/control/die", "")).To(Equal(http.StatusOK))
			Eventually(r.exitCode, 10*time.Second).Should(Receive(Equal(cli.ExitFailed)))
			Expect(r.stderr.String()).To(ContainSubstring("died"))
		},
		Entry("engine", "engine"),
		Entry("service", "service"),
	)

	It("exits with 2 when the faults are not valid JSON", func() {
		var stderr bytes.Buffer
		Expect(cli.Run(context.Background(), []string{"standin", "engine", "--faults", "x"}, io.Discard, &stderr)).To(Equal(cli.ExitUsage))
		Expect(stderr.String()).To(ContainSubstring("invalid character"))
	})
})
