package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/operator"
)

func init() { register(serviceCommands) }

// operatorClient calls the operator API of one daemon. Its fields are set by flags.
type operatorClient struct {
	address, key, operator, output string
	timeout                        time.Duration
	wait                           bool
	waitTimeout                    time.Duration
}

// serviceInfo is the answer of the API that describes a service.
type serviceInfo struct {
	Name     string    `json:"name"`
	Team     string    `json:"team"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"`
	Revision uint64    `json:"revision"`
	Serving  string    `json:"serving"`
	Next     string    `json:"next"`
	Document string    `json:"document"`
}

// statusInfo is the part of the API's status answer that the commands use.
type statusInfo struct {
	Revision          uint64   `json:"revision"`
	Next              string   `json:"next"`
	MovePhase         string   `json:"move_phase"`
	MoveReason        string   `json:"move_reason"`
	InForceEverywhere bool     `json:"in_force_everywhere"`
	Sentences         []string `json:"words"`
}

func serviceCommands(app *kingpin.Application) map[string]func(env) error {
	c := &operatorClient{}
	commonFlags := func(cmd *kingpin.CmdClause) {
		cmd.Flag("operator", "Operator address of a daemon, HOST:PORT.").Envar("GOOSEBERRYROAD_OPERATOR").Required().StringVar(&c.address)
		cmd.Flag("key", "Key of the team. Prefer the environment variable, which does not show in process lists.").Envar("GOOSEBERRYROAD_TEAM_KEY").StringVar(&c.key)
		cmd.Flag("output", "Output format: text or json.").Default("text").EnumVar(&c.output, "text", "json")
		cmd.Flag("timeout", "Timeout of one request.").Default("5s").DurationVar(&c.timeout)
	}
	changeFlags := func(cmd *kingpin.CmdClause) {
		cmd.Flag("as", "Name of the operator, recorded with the change.").Envar("USER").StringVar(&c.operator)
		cmd.Flag("wait", "Wait until the change is in force at all daemons and a version move is done. Exits with 1 when the move is taken back.").BoolVar(&c.wait)
		cmd.Flag("wait-timeout", "Longest wait with --wait.").Default("1h").DurationVar(&c.waitTimeout)
	}
	svc := app.Command("service", "Change and inspect services through the operator API.")

	apply := svc.Command("apply", "Create or replace the document of a service.")
	commonFlags(apply)
	changeFlags(apply)
	file := apply.Arg("file", "The document.").Required().String()
	revision := apply.Flag("revision", "Revision that the document replaces, 0 for a new service. By default the one in force at the daemon that is called.").Default("-1").Int64()

	get := svc.Command("get", "Print the document in force.")
	commonFlags(get)
	getName := get.Arg("name", "Name of the service.").Required().String()

	list := svc.Command("list", "List all services.")
	commonFlags(list)

	status := svc.Command("status", "Print what the system does with a service and why.")
	commonFlags(status)
	statusName := status.Arg("name", "Name of the service.").Required().String()

	takeBack := svc.Command("take-back", "End a version move and return to the serving version.")
	commonFlags(takeBack)
	changeFlags(takeBack)
	takeBackName := takeBack.Arg("name", "Name of the service.").Required().String()
	takeBackRevision := takeBack.Flag("revision", "Revision that requests the move. By default the one in the store.").Default("-1").Int64()

	explain := app.Command("explain", "Print what a daemon did and why, oldest first.")
	commonFlags(explain)
	subject := explain.Arg("subject", "Only events of service/NAME, move/NAME, upstream/ADDRESS, peer/NAME or store.").String()

	return map[string]func(env) error{
		apply.FullCommand():    func(e env) error { return c.apply(e, *file, *revision) },
		get.FullCommand():      func(e env) error { return c.get(e, *getName) },
		list.FullCommand():     c.list,
		status.FullCommand():   func(e env) error { return c.status(e, *statusName) },
		takeBack.FullCommand(): func(e env) error { return c.takeBack(e, *takeBackName, *takeBackRevision) },
		explain.FullCommand():  func(e env) error { return c.explain(e, *subject) },
	}
}

// call makes one request and decodes the answer into dst, unless dst is nil. It
// returns the bytes of the answer for JSON output, and an apiError for a status other
// than 200.
func (c *operatorClient) call(ctx context.Context, method, path, ifMatch string, body []byte, dst any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	if c.operator != "" {
		req.Header.Set(operator.OperatorHeader, c.operator)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &ExitError{Code: ExitUnavailable, Err: fmt.Errorf("the daemon at %s does not answer: %w", c.address, err)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, &ExitError{Code: ExitUnavailable, Err: fmt.Errorf("the answer of %s ended early: %w", c.address, err)}
	}
	if resp.StatusCode != http.StatusOK {
		return b, &apiError{status: resp.StatusCode, body: b}
	}
	if dst != nil {
		if err := json.Unmarshal(b, dst); err != nil {
			return b, &ExitError{Code: ExitUnavailable, Err: fmt.Errorf("the answer of %s is not that of an operator API: %w", c.address, err)}
		}
	}
	return b, nil
}

// apiError is an error response of the operator API.
type apiError struct {
	status int
	body   []byte
}

func (e *apiError) Error() string {
	var b struct {
		Error struct {
			Message  string
			Outcome  string
			Problems document.Problems
		}
	}
	if json.Unmarshal(e.body, &b) != nil || b.Error.Message == "" {
		return fmt.Sprintf("the operator API answered with status %d", e.status)
	}
	msg := b.Error.Message
	if b.Error.Outcome == "may_have_run" {
		msg += " (the change may have taken effect)"
	}
	if len(b.Error.Problems) > 0 {
		msg += "\n" + b.Error.Problems.Error()
	}
	return msg
}

// withExitCode returns an apiError with its exit code, and other errors unchanged.
// With JSON output it prints the error response as it is.
func (c *operatorClient) withExitCode(e env, err error) error {
	var api *apiError
	if !errors.As(err, &api) {
		return err
	}
	if c.output == "json" {
		fmt.Fprintln(e.stdout, strings.TrimSpace(string(api.body)))
	}
	code := ExitFailed
	switch {
	case api.status == http.StatusBadRequest || api.status == http.StatusRequestEntityTooLarge || api.status == http.StatusPreconditionRequired:
		code = ExitUsage
	case api.status >= 500:
		code = ExitUnavailable
	}
	return &ExitError{Code: code, Err: err}
}

// print prints the answer as it is with JSON output, and otherwise calls text.
func (c *operatorClient) print(e env, raw []byte, text func(w io.Writer)) error {
	if c.output == "json" {
		_, err := fmt.Fprintln(e.stdout, strings.TrimSpace(string(raw)))
		return err
	}
	text(e.stdout)
	return nil
}

func servicePath(name string) string { return "/v1/services/" + url.PathEscape(name) }

// apply sends the document in a file. A negative revision stands for the one in
// force at the daemon.
func (c *operatorClient) apply(e env, file string, revision int64) error {
	b, err := readFile(file)
	if err != nil {
		return err
	}
	doc, problems := document.Parse(file, b)
	if len(problems) > 0 {
		return &ExitError{Code: ExitUsage, Err: problems}
	}
	if revision < 0 {
		var info serviceInfo
		_, err := c.call(e.ctx, http.MethodGet, servicePath(doc.Name), "", nil, &info)
		var api *apiError
		if errors.As(err, &api) && api.status == http.StatusNotFound {
			err = nil
		}
		if err != nil {
			return c.withExitCode(e, err)
		}
		revision = int64(info.Revision)
	}
	return c.change(e, http.MethodPut, servicePath(doc.Name), doc.Name, revision, b, doc.Versions.Next != "")
}

func (c *operatorClient) takeBack(e env, name string, revision int64) error {
	return c.change(e, http.MethodPost, servicePath(name)+"/take-back", name, revision, nil, false)
}

// change makes a change and, with --wait, waits for it. It sends no If-Match for a
// negative revision. Move is set when the change requests a version move.
func (c *operatorClient) change(e env, method, path, name string, revision int64, body []byte, move bool) error {
	ifMatch := ""
	if revision >= 0 {
		ifMatch = strconv.FormatInt(revision, 10)
	}
	var accepted struct {
		Revision uint64 `json:"revision"`
	}
	raw, err := c.call(e.ctx, method, path, ifMatch, body, &accepted)
	if err != nil {
		return c.withExitCode(e, err)
	}
	if err := c.print(e, raw, func(w io.Writer) {
		fmt.Fprintf(w, "service %s: revision %d accepted\n", name, accepted.Revision)
	}); err != nil || !c.wait {
		return err
	}
	return c.await(e, name, accepted.Revision, move)
}

// await polls the status until the revision is in force at all live daemons and the
// move that it requests, if any, has ended. It returns an error when the move was
// taken back, another revision replaced this one or the wait timed out.
func (c *operatorClient) await(e env, name string, revision uint64, move bool) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.waitTimeout)
	defer cancel()
	lastState := "no status was read"
	reportedInForce := false
	printText := func(format string, args ...any) {
		if c.output == "text" {
			fmt.Fprintf(e.stdout, format+"\n", args...)
		}
	}
	for {
		var s statusInfo
		_, err := c.call(ctx, http.MethodGet, servicePath(name)+"/status", "", nil, &s)
		var api *apiError
		switch {
		case errors.As(err, &api) && api.status == http.StatusNotFound:
			// The daemon has accepted the change but not yet published it.
			lastState = err.Error()
		case errors.As(err, &api) && api.status < 500:
			return c.withExitCode(e, err)
		case err != nil:
			// The daemon may be restarting.
			lastState = err.Error()
		case s.Revision > revision:
			return fmt.Errorf("revision %d of service %s was replaced by revision %d", revision, name, s.Revision)
		case s.Revision == revision && s.InForceEverywhere:
			if !reportedInForce {
				printText("service %s: revision %d is in force at all live daemons", name, revision)
				reportedInForce = true
			}
			switch {
			case !move || s.MovePhase == "done":
				if move {
					printText("service %s: the move to %s is done", name, s.Next)
				}
				return nil
			case s.MovePhase == "taken_back":
				return fmt.Errorf("service %s: the move to %s was taken back: %s", name, s.Next, s.MoveReason)
			}
			lastState = fmt.Sprintf("the move to %s has not ended", s.Next)
		default:
			lastState = strings.Join(s.Sentences, " ")
		}
		t := time.NewTimer(200 * time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("gave up waiting for revision %d of service %s: %s", revision, name, lastState)
		case <-t.C:
		}
	}
}

func (c *operatorClient) get(e env, name string) error {
	var info serviceInfo
	raw, err := c.call(e.ctx, http.MethodGet, servicePath(name), "", nil, &info)
	if err != nil {
		return c.withExitCode(e, err)
	}
	return c.print(e, raw, func(w io.Writer) { fmt.Fprint(w, info.Document) })
}

func (c *operatorClient) list(e env) error {
	var answer struct {
		Services []serviceInfo `json:"services"`
	}
	raw, err := c.call(e.ctx, http.MethodGet, "/v1/services", "", nil, &answer)
	if err != nil {
		return c.withExitCode(e, err)
	}
	return c.print(e, raw, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "NAME\tTEAM\tKIND\tREVISION\tSERVING\tNEXT")
		for _, s := range answer.Services {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%s\n", s.Name, s.Team, s.Kind, s.Revision, s.Serving, s.Next)
		}
		tw.Flush()
	})
}

func (c *operatorClient) status(e env, name string) error {
	var s statusInfo
	raw, err := c.call(e.ctx, http.MethodGet, servicePath(name)+"/status", "", nil, &s)
	if err != nil {
		return c.withExitCode(e, err)
	}
	return c.print(e, raw, func(w io.Writer) { fmt.Fprintln(w, strings.Join(s.Sentences, "\n")) })
}

func (c *operatorClient) explain(e env, subject string) error {
	var answer struct {
		Events []control.Event `json:"events"`
	}
	raw, err := c.call(e.ctx, http.MethodGet, "/v1/events?subject="+url.QueryEscape(subject), "", nil, &answer)
	if err != nil {
		return c.withExitCode(e, err)
	}
	return c.print(e, raw, func(w io.Writer) {
		for _, ev := range answer.Events {
			fmt.Fprintf(w, "%s  %s  %s\n", ev.At.UTC().Format(time.RFC3339Nano), ev.Subject, ev.Text)
		}
	})
}
