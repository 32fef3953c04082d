package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gooseberryroad/gooseberryroad/client"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// Bounds of the promises, as the users state them. They must not be widened to fit
// measurements.
const (
	maxGap         = 4 * time.Second // longest pause of the output after a loss
	maxDrainDelay  = 3 * time.Second // until a draining upstream gets no new work; the notready command uses it for a draining daemon
	maxConfigDelay = 9 * time.Second // until a changed document is in force everywhere
)

// Keys and the model that the scripts' settings and documents use.
const (
	teamKey    = "team-key"
	accountKey = "account-key"
	model      = "dedication-7b"
)

// lookPath returns the path of the gooseberryroad command in a list of directories.
func lookPath(path string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		p := filepath.Join(dir, "gooseberryroad")
		if info, err := os.Stat(p); err == nil && !info.IsDir() {
			return p, nil
		}
	}
	return "", errors.New("the command gooseberryroad is not in the PATH of the script")
}

// requireArgs fails a script whose command is negated or has fewer than n arguments.
func requireArgs(ts *testscript.TestScript, neg bool, args []string, n int, usage string) {
	if neg || len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

// start NAME KIND [FLAG...] starts a stand-in.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "start NAME KIND [FLAG...]")
	flags := []string{"standin", args[1]}
	if args[1] == "engine" {
		flags = append(flags, "--model", model)
	}
	sessionOf(ts).start(ts, args[0], append(flags, args[2:]...)...)
}

// daemon NAME DATACENTRE [SECTION.KEY=VALUE...] starts a daemon. It uses the store
// named "store" and has all daemons started before as seeds.
func cmdDaemon(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "daemon NAME DATACENTRE [SECTION.KEY=VALUE...]")
	s := sessionOf(ts)
	var seeds []string
	for _, p := range s.processes {
		if a := p.addresses["peer"]; a != "" {
			seeds = append(seeds, a)
		}
	}
	sort.Strings(seeds)
	text := fmt.Sprintf(`[daemon]
name = %s
datacentre = %s
region = rio-plata
caller_address = 127.0.0.1:0
operator_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
[store]
address = %s
[peers]
seeds = %s
key = key of the peers in scripts
[cursor]
key = key of the cursors in scripts
[drain]
notice = 100ms
[log]
level = error
[team.registro]
key_sha256 = %s
`, args[0], args[1], s.process(ts, "store").addresses["address"], strings.Join(seeds, ","), document.HashKey(teamKey))
	for _, a := range args[2:] {
		where, value, _ := strings.Cut(a, "=")
		section, key, _ := strings.Cut(where, ".")
		text += fmt.Sprintf("[%s]\n%s = %s\n", section, key, value)
	}
	file := ts.MkAbs(args[0] + ".settings.ini")
	ts.Check(os.WriteFile(file, []byte(text), 0o600))
	s.start(ts, args[0], "serve", "--config", file)
}

// sigkill NAME sends SIGKILL and waits for the end of the process.
func cmdKill(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "sigkill NAME")
	p := sessionOf(ts).process(ts, args[0])
	ts.Check(p.cmd.Process.Kill())
	<-p.done
}

// cmdSignal returns the command COMMAND NAME, which sends a signal to a process.
func cmdSignal(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		requireArgs(ts, neg, args, 1, "COMMAND NAME")
		ts.Check(sessionOf(ts).process(ts, args[0]).cmd.Process.Signal(sig))
	}
}

// await NAME waits until a process has ended by itself.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "await NAME")
	select {
	case <-sessionOf(ts).process(ts, args[0]).done:
	case <-time.After(scriptTimeout):
		ts.Fatalf("%s still runs after %v", args[0], scriptTimeout)
	}
}

// fault NAME PATH [JSON] posts to a path below /control of a stand-in.
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "fault NAME PATH [JSON]")
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	url := "http://" + sessionOf(ts).process(ts, args[0]).addresses["control"] + "/control/" + args[1]
	status, reply := doRequest(ts, http.MethodPost, url, body, nil)
	if status/100 != 2 {
		ts.Fatalf("fault %v: status %d: %s", args, status, reply)
	}
}

// doRequest sends a request and returns the status and the body of its answer; for a
// connection that fails, status 0 and the error's text.
func doRequest(ts *testscript.TestScript, method, url, body string, header map[string]string) (int, string) {
	req, err := http.NewRequestWithContext(sessionOf(ts).ctx, method, url, bytes.NewBufferString(body))
	ts.Check(err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	ts.Check(err)
	return res.StatusCode, string(b)
}

// apply DAEMON SERVICE FILE REVISION puts a document. The file may use environment
// variables such as ${e1_address}. REVISION is sent as If-Match: 0 creates the
// document, "current" stands for the revision in force at the daemon. It prints the
// status and, for a refusal, its code.
func cmdApply(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "apply DAEMON SERVICE FILE REVISION")
	s := sessionOf(ts)
	text := os.Expand(ts.ReadFile(args[2]), ts.Getenv)
	revision := args[3]
	if revision == "current" {
		revision = strconv.FormatUint(s.revision(ts, args[0], args[1]), 10)
	}
	status, reply := doRequest(ts, http.MethodPut, "http://"+s.process(ts, args[0]).addresses["operator"]+"/v1/services/"+args[1], text,
		map[string]string{"Authorization": "Bearer " + teamKey, "If-Match": revision})
	var refusal struct {
		Error struct{ Code string } `json:"error"`
	}
	_ = json.Unmarshal([]byte(reply), &refusal) // an accepted change has no error
	line := fmt.Sprintf("status %d", status)
	if refusal.Error.Code != "" {
		line += " " + refusal.Error.Code
	}
	fmt.Fprintln(ts.Stdout(), line)
}

// revision returns the revision of a service that is in force at a daemon; 0 if there
// is none or the daemon doesn't answer.
func (s *session) revision(ts *testscript.TestScript, daemon, service string) uint64 {
	status, reply := doRequest(ts, http.MethodGet, "http://"+s.process(ts, daemon).addresses["operator"]+"/v1/services", "", nil)
	if status != http.StatusOK {
		return 0
	}
	var body struct {
		Services []struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"services"`
	}
	ts.Check(json.Unmarshal([]byte(reply), &body))
	for _, v := range body.Services {
		if v.Name == service {
			return v.Revision
		}
	}
	return 0
}

// inforce SERVICE DAEMON... waits until the revision in force at the first daemon is
// in force at all of them. It fails after maxConfigDelay.
func cmdInForce(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "inforce SERVICE DAEMON...")
	s := sessionOf(ts)
	deadline := time.Now().Add(maxConfigDelay)
	for {
		want := s.revision(ts, args[1], args[0])
		same := want > 0
		for _, d := range args[2:] {
			same = same && s.revision(ts, d, args[0]) == want
		}
		if same {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s is not in force everywhere after %v", args[0], maxConfigDelay)
		}
		pause(s.ctx, 10*time.Millisecond)
	}
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// send NAME TOKENS DAEMON[,DAEMON...] PROMPT starts a streamed request. When its
// connection breaks, the caller reconnects to the daemons in this order and sends
// back the text that it has received.
func cmdSend(ts *testscript.TestScript, neg bool, args []string) { send(ts, neg, args, true) }

// sendcursor does the same for a caller that sends back only its cursor.
func cmdSendCursor(ts *testscript.TestScript, neg bool, args []string) { send(ts, neg, args, false) }

func send(ts *testscript.TestScript, neg bool, args []string, returnText bool) {
	requireArgs(ts, neg, args, 4, "send NAME TOKENS DAEMON[,DAEMON...] PROMPT")
	s := sessionOf(ts)
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	var addresses []string
	for _, d := range strings.Split(args[2], ",") {
		addresses = append(addresses, s.process(ts, d).addresses["caller"])
	}
	r := &request{prompt: args[3], tokens: tokens, drop: make(chan struct{}), tokenArrived: make(chan struct{}), done: make(chan struct{})}
	s.requests[args[0]] = r
	c := client.New(client.Options{Addresses: addresses, Key: accountKey, ReturnDeliveredText: returnText, OnToken: r.onToken})
	go func() {
		defer close(r.done)
		defer c.Close()
		r.answer, r.err = c.Complete(s.ctx, client.Request{Model: model, Prompt: r.prompt, MaxTokens: tokens, DropConnection: r.drop})
	}()
}

// drop NAME closes the connection of a request. Its caller reconnects to the next
// daemon.
func cmdDrop(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "drop NAME")
	r := sessionOf(ts).request(ts, args[0])
	select {
	case r.drop <- struct{}{}:
	case <-r.done:
		ts.Fatalf("the request %s has ended", args[0])
	}
}

// reached NAME N waits until the request has received N tokens.
func cmdReached(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "reached NAME N")
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(sessionOf(ts).ctx, scriptTimeout)
	defer cancel()
	ts.Check(sessionOf(ts).request(ts, args[0]).waitForTokens(ctx, n))
}

// answer NAME waits for the end of a request and prints the check of the answer: the
// numbers of tokens received, missing, repeated and not of this answer, the finish
// reason, whether the caller reconnected and whether no pause exceeded maxGap.
func cmdAnswer(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "answer NAME")
	r := sessionOf(ts).request(ts, args[0])
	<-r.done
	var refusal *client.Refusal
	if errors.As(r.err, &refusal) {
		fmt.Fprintf(ts.Stdout(), "refused %d %s %s\n", refusal.Status, refusal.Code, refusal.Outcome)
		return
	}
	if r.err != nil {
		fmt.Fprintf(ts.Stdout(), "failed\n")
		ts.Logf("%s: %v", args[0], r.err)
		return
	}
	report := standin.CheckAnswer(r.answer.Text, standin.ExpectedAnswer{Model: model, Prompt: r.prompt, Versions: []string{"v1", "v2"}, Tokens: r.tokens})
	fmt.Fprintf(ts.Stdout(), "%d tokens of %s; missing %d, repeated %d, foreign %d; finish %s; reconnected %t; output within %v: %t\n",
		report.Tokens, report.Version, report.Missing, report.Repeated, report.OtherPrompt+report.OtherVersion+report.Wrong,
		r.answer.FinishReason, r.answer.Reconnects > 0, maxGap, longestGap(r.answer.TokenGaps) <= maxGap)
}

func longestGap(ds []time.Duration) time.Duration {
	var d time.Duration
	for _, x := range ds {
		d = max(d, x)
	}
	return d
}

// serving NAME... sets $serving to the first of the engines that runs a request.
func cmdServing(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "serving NAME...")
	for _, name := range args {
		var stats standin.EngineStats
		p := sessionOf(ts).process(ts, name)
		if status, reply := doRequest(ts, http.MethodGet, "http://"+p.addresses["control"]+"/control/stats", "", nil); status == http.StatusOK {
			ts.Check(json.Unmarshal([]byte(reply), &stats))
		}
		if stats.Running > 0 {
			ts.Setenv("serving", name)
			return
		}
	}
	ts.Fatalf("none of %v runs a request", args)
}

// post DAEMON PATH KEY BODY sends a POST call and prints the status and, for a
// refusal, its code and outcome. KEY is the idempotency key, or - for none.
func cmdPost(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "post DAEMON PATH KEY BODY")
	fmt.Fprintln(ts.Stdout(), post(ts, args))
}

// resend DAEMON PATH KEY BODY sends a POST call, repeats it while it is refused with
// 503 not_run, as callers do, and prints the last answer as post does.
func cmdResend(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "resend DAEMON PATH KEY BODY")
	for deadline := time.Now().Add(scriptTimeout); ; {
		line := post(ts, args)
		if !strings.HasPrefix(line, "status 503") || !strings.HasSuffix(line, " not_run") || time.Now().After(deadline) {
			fmt.Fprintln(ts.Stdout(), line)
			return
		}
		pause(sessionOf(ts).ctx, 50*time.Millisecond)
	}
}

// postasync NAME DAEMON PATH KEY BODY sends a call as post does while the script
// continues.
func cmdPostAsync(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 5, "postasync NAME DAEMON PATH KEY BODY")
	line := make(chan string, 1)
	sessionOf(ts).postResults[args[0]] = line
	go func() { line <- post(ts, args[1:]) }()
}

// posted NAME waits for the answer of a postasync call and prints it as post does.
func cmdPosted(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "posted NAME")
	fmt.Fprintln(ts.Stdout(), <-sessionOf(ts).postResults[args[0]])
}

// calls NAME N waits until a plain service has accepted N POST calls that it has not
// answered yet.
func cmdCalls(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "calls NAME N")
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	s := sessionOf(ts)
	for deadline := time.Now().Add(scriptTimeout); ; {
		_, reply := doRequest(ts, http.MethodGet, "http://"+s.process(ts, args[0]).addresses["control"]+"/control/stats", "", nil)
		var body struct {
			Waiting int `json:"waiting"`
		}
		ts.Check(json.Unmarshal([]byte(reply), &body))
		if body.Waiting >= want {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s has %d unanswered calls instead of %d", args[0], body.Waiting, want)
		}
		pause(s.ctx, 5*time.Millisecond)
	}
}

// post sends the call of a post command and returns the line to print.
func post(ts *testscript.TestScript, args []string) string {
	header := map[string]string{"Authorization": "Bearer " + accountKey}
	if args[2] != "-" {
		header["Idempotency-Key"] = args[2]
	}
	status, reply := doRequest(ts, http.MethodPost, "http://"+sessionOf(ts).process(ts, args[0]).addresses["caller"]+args[1], args[3], header)
	var refusal struct {
		Error struct{ Code, Outcome string } `json:"error"`
	}
	_ = json.Unmarshal([]byte(reply), &refusal) // an upstream's answer has no error
	line := fmt.Sprintf("status %d", status)
	if refusal.Error.Code != "" {
		line += " " + refusal.Error.Code + " " + refusal.Error.Outcome
	}
	return line
}

// runs NAME... prints how often each POST call ran, summed over the plain services.
func cmdRuns(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "runs NAME...")
	total := map[string]int{}
	for _, name := range args {
		status, reply := doRequest(ts, http.MethodGet, "http://"+sessionOf(ts).process(ts, name).addresses["control"]+"/control/stats", "", nil)
		if status != http.StatusOK {
			ts.Fatalf("stats of %s: status %d", name, status)
		}
		var body struct {
			Runs []standin.Run `json:"runs"`
		}
		ts.Check(json.Unmarshal([]byte(reply), &body))
		for _, r := range body.Runs {
			if r.Method != http.MethodPost {
				continue
			}
			total[r.Method+" "+r.Path+" "+r.Key] += r.Times
		}
	}
	var lines []string
	for call, n := range total {
		lines = append(lines, fmt.Sprintf("%s: %d", call, n))
	}
	sort.Strings(lines)
	if len(lines) == 0 {
		lines = []string{"no call ran"}
	}
	for _, l := range lines {
		fmt.Fprintln(ts.Stdout(), l)
	}
}

// notready DAEMON waits until the daemon reports that it is not ready.
func cmdNotReady(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "notready DAEMON")
	s := sessionOf(ts)
	deadline := time.Now().Add(maxDrainDelay)
	for {
		status, _ := doRequest(ts, http.MethodGet, "http://"+s.process(ts, args[0]).addresses["operator"]+"/readyz", "", nil)
		if status != http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s is still ready", args[0])
		}
		pause(s.ctx, 5*time.Millisecond)
	}
}
