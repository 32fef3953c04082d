package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of our own. Status 429 and 503 promise that the request
// has not run and never will.
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

// outcome tells the client what is known about the run.
func (r refusal) outcome() string {
	if r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
		return "unknown"
	}
	return "not_run"
}

func (g *Gateway) refuse(w http.ResponseWriter, call *Call, r refusal) {
	body, err := json.Marshal(refusalBody{Error: r.code, Outcome: r.outcome()})
	if err != nil {
		panic(err) // two strings always have a JSON form
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	g.o.Protocol.SetErrorHeader(h, call.ID, r.retryAfter)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	g.closeWhenStopping(h)
	w.WriteHeader(r.status)
	if _, err := w.Write(body); err != nil {
		g.o.Logger.Info("refusal not delivered", "id", call.ID, "cause", err)
	}
}

// refuseUnread refuses a request whose body may not have been read to its end.
// net/http reads the rest of the body on a connection that is kept, without a
// time limit. It closes a connection that the client asked to close with the
// rest unread: that resets the connection, and the reset can reach a client
// that still sends before it has read the answer.
func (g *Gateway) refuseUnread(w http.ResponseWriter, hr *http.Request, call *Call, r refusal) {
	if hr.ContentLength == 0 {
		g.refuse(w, call, r)
		return
	}
	rc := http.NewResponseController(w)
	// A connection without deadlines is a test's.
	_ = rc.SetReadDeadline(time.Now().Add(drainTimeout))
	g.refuse(w, call, r)
	if !hr.Close || hr.Header.Get("Expect") != "" {
		return
	}
	if err := rc.Flush(); err != nil {
		g.o.Logger.Info("refusal not delivered", "id", call.ID, "cause", err)
		return
	}
	if n, err := io.CopyN(io.Discard, hr.Body, maxDrainBytes); !errors.Is(err, io.EOF) {
		g.o.Logger.Info("refused body not read to its end", "id", call.ID, "bytes", n, "cause", err)
	}
}

func (g *Gateway) logRefusal(call *Call, r *request, f refusal) {
	attrs := []any{"id", call.ID, "path", call.Path, "status", f.status, "code", f.code, "retry_after", f.retryAfter}
	countRefusal(f.code)
	if r != nil {
		countEnd(r, outcomeRefused)
		attrs = append(attrs, "route", r.route.Name, "config", r.version, "took", time.Since(r.arrived))
	}
	if f.cause != nil {
		attrs = append(attrs, "cause", f.cause)
	}
	g.o.Logger.Info("request refused", attrs...)
}
