package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// codeStopping is the code of an answer to a request that the stop of the daemon would cut.
const codeStopping = "stopping"

// codeOverloaded is the code of refusals of streams that would get their first event after the
// objective of their route, and of requests for a plain service whose upstreams have more work
// than they can do in time.
const codeOverloaded = "overloaded"

// refusal is an error response that the gateway generates itself. Status 429
// and 503 promise that the request has not run and never will.
type refusal struct {
	status     int
	code       string
	retryAfter time.Duration
	cause      error
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome"`
}

// outcome returns what the client is told about whether the request ran.
func (r refusal) outcome() string {
	if r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
		return "unknown"
	}
	return "not_run"
}

func (g *Gateway) refuse(w http.ResponseWriter, call *Call, r refusal) {
	body, err := json.Marshal(refusalBody{Error: r.code, Outcome: r.outcome()})
	if err != nil {
		panic(err) // two strings can always be encoded
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	g.o.Protocol.SetErrorHeader(h, call.ID, r.retryAfter)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	g.closeConnectionIfDraining(call, h)
	if fw, ok := w.(*forwardedWriter); ok {
		fw.refusalCode = r.code
	}
	w.WriteHeader(r.status)
	if _, err := w.Write(body); err != nil {
		g.o.Logger.Info("refusal not delivered", "id", call.ID, "cause", err)
	}
}

// refuseWithUnreadBody refuses a request whose body may not have been read to
// its end. On a connection that is kept, net/http reads the rest of the body
// without a time limit; discardTimeout bounds it. If the client asked to close
// the connection, net/http closes it with the rest unread. That resets the
// connection, and the reset can reach a client that is still sending before the
// client has read the response. The rest is therefore read here, up to
// maxDiscardBytes. In a stop it is read first: what follows it decides whether the
// response closes the connection.
func (g *Gateway) refuseWithUnreadBody(w http.ResponseWriter, hr *http.Request, call *Call, r refusal) {
	if hr.ContentLength == 0 {
		g.refuse(w, call, r)
		return
	}
	rc := http.NewResponseController(w)
	deadline := time.Now().Add(discardTimeout)
	plan := g.drainPlan.Load()
	if plan != nil && plan.AnswerBy().Before(deadline) {
		deadline = plan.AnswerBy()
	}
	// The error is ignored: only the connections of tests lack deadlines.
	_ = rc.SetReadDeadline(deadline)
	waitsForContinue := hr.Header.Get("Expect") != ""
	if plan != nil && !waitsForContinue {
		g.discardBody(hr, call)
		g.refuse(w, call, r)
		return
	}
	g.refuse(w, call, r)
	if !hr.Close || waitsForContinue {
		return
	}
	if err := rc.Flush(); err != nil {
		g.o.Logger.Info("refusal not delivered", "id", call.ID, "cause", err)
		return
	}
	g.discardBody(hr, call)
}

func (g *Gateway) discardBody(hr *http.Request, call *Call) {
	if n, err := io.CopyN(io.Discard, hr.Body, maxDiscardBytes); !errors.Is(err, io.EOF) {
		g.o.Logger.Info("body of a refused request not read to its end", "id", call.ID, "bytes", n, "cause", err)
	}
}

func (g *Gateway) logRefusal(call *Call, r *request, f refusal) {
	attrs := []any{"id", call.ID, "path", call.Path, "status", f.status, "code", f.code, "retry_after", f.retryAfter}
	countRefusal(f.code)
	if r != nil {
		countRequestEnd(r, outcomeRefused)
		attrs = append(attrs, "route", r.route.Name, "config", r.version, "took", time.Since(r.arrivedAt))
	}
	if f.cause != nil {
		attrs = append(attrs, "cause", f.cause)
	}
	g.o.Logger.Info("request refused", attrs...)
}
