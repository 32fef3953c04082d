package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"gopkg.in/ini.v1"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// maxDocumentBytes bounds a document. It is half of the store's bound for a value,
// which leaves room for the JSON envelope and for characters of the document that
// JSON escapes.
const maxDocumentBytes = store.MaxValueBytes / 2

// OperatorHeader is the header that names the person who makes a change. The name
// is recorded with the document and returned to those whose changes conflict with
// it. It has at most 128 bytes.
const OperatorHeader = "X-Operator"

// changeBody is the answer to a change that took effect.
type changeBody struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
}

// put creates or replaces a document. The team of the key must be that of the
// document.
func (s *Server) put(c *gin.Context) {
	team, ok := s.authenticate(c)
	if !ok {
		return
	}
	name := c.Param("name")
	base, ok := ifMatch(c)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxDocumentBytes))
	if err != nil {
		fail(c, http.StatusRequestEntityTooLarge, "too_large", notRun,
			fmt.Sprintf("a document has at most %d bytes", maxDocumentBytes))
		return
	}
	doc, ok := parseDocument(c, name, body)
	if !ok {
		return
	}
	if doc.Team != team {
		fail(c, http.StatusForbidden, "other_team", notRun,
			fmt.Sprintf("the document names team %s and the key belongs to team %s", doc.Team, team))
		return
	}
	s.change(c, name, base, revision.Envelope{Team: team, Document: string(body)})
}

// remove deletes a service by writing a tombstone. The key stays in the store, so
// that the deletion has a revision and a late entry cannot restore the service.
func (s *Server) remove(c *gin.Context) {
	team, ok := s.authenticate(c)
	if !ok {
		return
	}
	base, ok := ifMatch(c)
	if !ok {
		return
	}
	if base == 0 {
		fail(c, http.StatusBadRequest, "bad_if_match", notRun, "a deletion needs the revision of the document")
		return
	}
	s.change(c, c.Param("name"), base, revision.Envelope{Team: team, Deleted: true})
}

// takeBack returns a service to its serving version by removing the version move
// from its document. Without If-Match it applies to the revision in the store.
func (s *Server) takeBack(c *gin.Context) {
	team, ok := s.authenticate(c)
	if !ok {
		return
	}
	name := c.Param("name")
	base := uint64(0)
	if c.GetHeader("If-Match") != "" {
		if base, ok = ifMatch(c); !ok {
			return
		}
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.Timeout)
	defer cancel()
	cur, err := s.opts.Store.Get(ctx, revision.Prefix+name)
	if errors.Is(err, store.ErrNotFound) {
		fail(c, http.StatusNotFound, "unknown_service", notRun, "there is no service "+name)
		return
	}
	if err != nil {
		s.respondUnreachable(c, notRun, err)
		return
	}
	env, err := revision.Decode(cur.Value)
	if err != nil || env.Deleted {
		fail(c, http.StatusConflict, "no_document", notRun, "the store holds no document of service "+name)
		return
	}
	current := revision.Of(cur)
	if v := s.opts.Control.Snapshot().Services[name]; v != nil && v.Revision > current {
		// The store was restored from an older copy.
		current, env.Document = v.Revision, v.Text
	}
	text, err := withoutMove(env.Document)
	if err != nil {
		fail(c, http.StatusConflict, "no_move", notRun, err.Error())
		return
	}
	if _, ok := parseDocument(c, name, text); !ok {
		return
	}
	if base == 0 {
		base = current
	}
	s.change(c, name, base, revision.Envelope{Team: team, Document: string(text)})
}

// withoutMove returns a document without its next version and deadline. The text
// of its errors is sent to the client.
func withoutMove(text string) ([]byte, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("the stored document is not a valid INI file: %w", err)
	}
	sec := f.Section("versions")
	if !sec.HasKey("next") {
		return nil, errors.New("the document asks for no next version")
	}
	sec.DeleteKey("next")
	sec.DeleteKey("deadline")
	var b bytes.Buffer
	if _, err := f.WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// parseDocument parses a document and checks that its name is the one in the
// request. When there are problems it answers with all of them and returns false.
func parseDocument(c *gin.Context, name string, body []byte) (*document.Service, bool) {
	doc, problems := document.Parse(name, body)
	if doc != nil && doc.Name != name {
		problems = document.Problems{{File: name, Section: "service", Key: "name", Message: "must be " + name + ", the name in the request"}}
	}
	if len(problems) > 0 {
		c.AbortWithStatusJSON(http.StatusBadRequest, errorBody{errorDetail{
			Message: fmt.Sprintf("the document has %d mistakes", len(problems)), Code: "bad_document", Outcome: notRun, Problems: problems}})
		return nil, false
	}
	return doc, true
}

// ifMatch returns the revision that a change replaces, from the header If-Match.
// The header is required, so that nobody overwrites a change that they have not
// seen.
func ifMatch(c *gin.Context) (uint64, bool) {
	v := strings.Trim(c.GetHeader("If-Match"), `"`)
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		fail(c, http.StatusPreconditionRequired, "bad_if_match", notRun,
			"the header If-Match must carry the revision that the change replaces, 0 for a new service")
		return 0, false
	}
	return n, true
}

// parseNumber parses a query parameter; an empty one is 0.
func parseNumber(c *gin.Context, v, what string) (uint64, bool) {
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		fail(c, http.StatusBadRequest, "bad_query", "", what+" must be a whole number")
		return 0, false
	}
	return n, true
}

// change replaces the revision base by an envelope and answers the request. A
// base of 0 creates the service.
func (s *Server) change(c *gin.Context, name string, base uint64, env revision.Envelope) {
	env.Operator = c.GetHeader(OperatorHeader)
	if len(env.Operator) > 128 {
		fail(c, http.StatusBadRequest, "bad_operator", notRun, "the header "+OperatorHeader+" has at most 128 bytes")
		return
	}
	env.WriteID, env.At = s.opts.NewWriteID(), s.opts.Now().UTC()
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.Timeout)
	defer cancel()
	w := &documentWrite{server: s, key: revision.Prefix + name, base: base, env: env}
	r := w.run(ctx)
	switch {
	case r.refusal != "":
		fail(c, http.StatusForbidden, "other_team", notRun, r.refusal)
	case r.conflict:
		msg := fmt.Sprintf("service %s does not exist", name)
		if r.winner != nil {
			msg = fmt.Sprintf("revision %d of team %s is in the store and the change replaces revision %d",
				r.winner.Revision, r.winner.Team, base)
			if r.winner.Operator != "" {
				msg += "; it was written by " + r.winner.Operator
			}
		}
		c.AbortWithStatusJSON(http.StatusConflict, errorBody{errorDetail{Message: msg, Code: "conflict", Outcome: r.outcome, Winner: r.winner}})
	case r.err != nil:
		s.respondUnreachable(c, r.outcome, r.err)
	default:
		// The event only makes the change known sooner. If the queue is full, the
		// watch of the store delivers the document.
		s.opts.Control.Post(node.StoreWrote{Key: w.key, Value: r.value, Index: r.index})
		written := revision.Of(store.Entry{Key: w.key, Value: r.value, Index: r.index})
		s.log.Info("document changed", "service", name, "revision", written, "index", r.index, "team", env.Team, "operator", env.Operator)
		c.Header("ETag", fmt.Sprintf(`"%d"`, written))
		c.JSON(http.StatusOK, changeBody{Service: name, Revision: written})
	}
}

// respondUnreachable answers that the store did not respond, or that its answer
// was lost.
func (s *Server) respondUnreachable(c *gin.Context, outcome string, err error) {
	s.log.Warn("change not confirmed by the store", "cause", err)
	c.Header("Retry-After", "1")
	fail(c, http.StatusServiceUnavailable, "store_unreachable", outcome, "the key-value service does not answer: "+err.Error())
}

// documentWrite replaces one document by compare-and-swap and finds out whether
// the write took effect when the answer of the store is lost.
type documentWrite struct {
	server *Server
	key    string
	// base is the revision to replace, 0 for a new service.
	base uint64
	env  revision.Envelope
	// mayHaveApplied is set once a compare-and-swap may have taken effect.
	mayHaveApplied bool
}

// writeResult is the result of a documentWrite. The write succeeded when conflict,
// refusal and err are unset.
type writeResult struct {
	index uint64
	value []byte
	// conflict is set when the stored revision is not the one to replace, and
	// winner then describes it; winner is nil when the store holds none.
	conflict bool
	winner   *Winner
	// refusal says why the team may not change the service.
	refusal string
	// err is the last error of the store when the write did not succeed.
	err error
	// outcome is notRun or mayHaveRun.
	outcome string
}

// run reads, checks and writes until the outcome is known or the context ends.
// It always reads before it writes: after a lost answer the read shows whether
// the write has taken effect, and because the write carries the index that was
// read, repeating it is safe.
func (w *documentWrite) run(ctx context.Context) writeResult {
	for attempt := 0; ; attempt++ {
		r, retry := w.tryOnce(ctx)
		if !retry {
			return r
		}
		t := time.NewTimer(min(20*time.Millisecond<<min(attempt, 4), 200*time.Millisecond))
		select {
		case <-ctx.Done():
			t.Stop()
			return r
		case <-t.C:
		}
	}
}

// outcome returns what is known of a write that has not succeeded.
func (w *documentWrite) outcome() string {
	if w.mayHaveApplied {
		return mayHaveRun
	}
	return notRun
}

// tryOnce makes one attempt and reports whether another one may settle the
// outcome.
func (w *documentWrite) tryOnce(ctx context.Context) (writeResult, bool) {
	cur, err := w.server.opts.Store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		// Before a write was sent the outcome is certain. Afterwards only another
		// read can settle it.
		return writeResult{err: err, outcome: w.outcome()}, w.mayHaveApplied
	}
	inForce := w.inForce()
	// A store that was restored from an older copy holds less than is in force.
	restored := inForce.Revision > revision.Of(cur)
	switch {
	case restored && w.base != inForce.Revision && (w.base != 0 || !inForce.Deleted):
		return writeResult{conflict: true, outcome: w.outcome(), winner: &inForce}, false
	case err == nil:
		if r, settled := w.checkStored(cur, restored); settled {
			return r, false
		}
	case w.base != 0 && !restored:
		return writeResult{conflict: true, outcome: w.outcome()}, false
	}
	w.env.Base = max(revision.Of(cur), inForce.Revision)
	value := w.env.Encode()
	index, err := w.server.opts.Store.CompareAndSwap(ctx, w.key, value, cur.Index)
	switch {
	case err == nil:
		return writeResult{index: index, value: value}, false
	case errors.Is(err, store.ErrConflict):
		// The next attempt reads who wrote the other revision.
		return writeResult{err: err, outcome: w.outcome()}, true
	case errors.Is(err, store.ErrUnavailable):
		return writeResult{err: err, outcome: w.outcome()}, w.mayHaveApplied
	default:
		w.mayHaveApplied = true
		return writeResult{err: err, outcome: mayHaveRun}, true
	}
}

// inForce describes the document, or the deletion, that is in force at this daemon.
func (w *documentWrite) inForce() Winner {
	name, snapshot := strings.TrimPrefix(w.key, revision.Prefix), w.server.opts.Control.Snapshot()
	if v := snapshot.Services[name]; v != nil {
		return Winner{Revision: v.Revision, Team: v.Author.Team, Operator: v.Author.Operator, At: v.Author.At}
	}
	d := snapshot.Deleted[name]
	return Winner{Revision: d.Revision, Team: d.Author.Team, Operator: d.Author.Operator, At: d.Author.At, Deleted: d.Revision != 0}
}

// checkStored compares the stored entry with what the change expects. It returns
// true when the outcome is settled: the write has taken effect, conflicts with
// another one or is refused. restored says that the change replaces what is in force, which
// the store does not have.
func (w *documentWrite) checkStored(cur store.Entry, restored bool) (writeResult, bool) {
	env, err := revision.Decode(cur.Value)
	if err == nil && env.WriteID == w.env.WriteID {
		return writeResult{index: cur.Index, value: cur.Value}, true
	}
	// A new service may replace a deleted one.
	replacesDeleted := err == nil && env.Deleted && w.base == 0
	if current := revision.Of(cur); current != w.base && !replacesDeleted && !restored {
		r := writeResult{conflict: true, outcome: notRun, winner: &Winner{
			Revision: current, Team: env.Team, Operator: env.Operator, At: env.At, Deleted: env.Deleted}}
		if w.mayHaveApplied && env.Base != w.env.Base {
			// The winner replaced another revision than this write was to replace.
			// That revision may have been written by this change.
			r.outcome = mayHaveRun
		}
		return r, true
	}
	replacesDeleted = replacesDeleted || restored && w.base == 0
	if owner := w.owningTeam(env, err); !replacesDeleted && owner != "" && owner != w.env.Team {
		return writeResult{refusal: fmt.Sprintf("the service belongs to team %s and the key to team %s", owner, w.env.Team)}, true
	}
	return writeResult{}, false
}

// owningTeam returns the team of the stored document. A value that does not decode
// belongs to the team of the document in force at this daemon, so that this team
// can replace it.
func (w *documentWrite) owningTeam(env revision.Envelope, err error) string {
	if err == nil {
		return env.Team
	}
	if v := w.server.opts.Control.Snapshot().Services[strings.TrimPrefix(w.key, revision.Prefix)]; v != nil {
		return v.Doc.Team
	}
	return ""
}
