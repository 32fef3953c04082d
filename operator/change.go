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

// maxDocumentBytes leaves room for the envelope, in which JSON may escape
// characters of the document.
const maxDocumentBytes = store.MaxValueBytes / 2

// OperatorHeader names the person behind a change. It is recorded with the
// document and shown to whoever loses a race against it.
const OperatorHeader = "X-Operator"

// changeBody is the answer to a change that took effect.
type changeBody struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
}

func (s *Server) put(c *gin.Context) {
	team, ok := s.team(c)
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
	doc, ok := parse(c, name, body)
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

// remove writes a tombstone. The key stays in the store, so that the deletion
// has a revision and no late entry brings the service back.
func (s *Server) remove(c *gin.Context) {
	team, ok := s.team(c)
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

// takeBack returns a service to its serving version by removing the move from
// its document. Without If-Match it applies to the revision in the store.
func (s *Server) takeBack(c *gin.Context) {
	team, ok := s.team(c)
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
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.o.Timeout)
	defer cancel()
	cur, err := s.o.Store.Get(ctx, revision.Prefix+name)
	if errors.Is(err, store.ErrNotFound) {
		fail(c, http.StatusNotFound, "unknown_service", notRun, "there is no service "+name)
		return
	}
	if err != nil {
		s.unreachable(c, notRun, err)
		return
	}
	env, err := revision.Decode(cur.Value)
	if err != nil || env.Deleted {
		fail(c, http.StatusConflict, "no_document", notRun, "the store holds no document of service "+name)
		return
	}
	text, err := withoutMove(env.Document)
	if err != nil {
		fail(c, http.StatusConflict, "no_move", notRun, err.Error())
		return
	}
	if _, ok := parse(c, name, text); !ok {
		return
	}
	if base == 0 {
		base = cur.Index
	}
	s.change(c, name, base, revision.Envelope{Team: team, Document: string(text)})
}

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

// parse answers with all problems of a document.
func parse(c *gin.Context, name string, body []byte) (*document.Service, bool) {
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

// ifMatch reads the revision that a change replaces. It is required, so that
// nobody overwrites a change that they have not seen.
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

func number(c *gin.Context, v, what string) (uint64, bool) {
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

// change writes an envelope over the revision base and answers the request.
func (s *Server) change(c *gin.Context, name string, base uint64, env revision.Envelope) {
	env.Operator = c.GetHeader(OperatorHeader)
	if len(env.Operator) > 128 {
		fail(c, http.StatusBadRequest, "bad_operator", notRun, "the header "+OperatorHeader+" has at most 128 bytes")
		return
	}
	env.WriteID, env.At = s.o.NewWriteID(), s.o.Now().UTC()
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.o.Timeout)
	defer cancel()
	w := &write{s: s, key: revision.Prefix + name, base: base, env: env}
	r := w.run(ctx)
	switch {
	case r.refused != "":
		fail(c, http.StatusForbidden, "other_team", notRun, r.refused)
	case r.lost:
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
		s.unreachable(c, r.outcome, r.err)
	default:
		// If the queue is full, the watch brings the document.
		s.o.Control.Post(node.StoreWrote{Key: w.key, Value: r.value, Index: r.index})
		s.log.Info("document changed", "service", name, "revision", r.index, "team", env.Team, "operator", env.Operator)
		c.Header("ETag", fmt.Sprintf(`"%d"`, r.index))
		c.JSON(http.StatusOK, changeBody{Service: name, Revision: r.index})
	}
}

func (s *Server) unreachable(c *gin.Context, outcome string, err error) {
	s.log.Warn("a change could not be written", "cause", err)
	c.Header("Retry-After", "1")
	fail(c, http.StatusServiceUnavailable, "store_unreachable", outcome, "the key-value service does not answer: "+err.Error())
}

// write is one compare-and-swap of a document that is carried through lost
// answers.
type write struct {
	s    *Server
	key  string
	base uint64
	env  revision.Envelope
	// sent is set once a compare-and-swap may have taken effect.
	sent bool
}

type result struct {
	index   uint64
	value   []byte
	lost    bool
	winner  *Winner
	refused string
	err     error
	outcome string
}

// run reads, checks and writes until the outcome is known or the context ends.
// It always reads before it writes: after a lost answer the reading tells
// whether the write has taken effect, and as the write carries the index of
// the reading, repeating it is safe.
func (w *write) run(ctx context.Context) result {
	for attempt := 0; ; attempt++ {
		r, again := w.try(ctx)
		if !again {
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

func (w *write) outcome() string {
	if w.sent {
		return mayHaveRun
	}
	return notRun
}

// try makes one attempt and reports whether another may settle the outcome.
func (w *write) try(ctx context.Context) (result, bool) {
	cur, err := w.s.o.Store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		// Before anything was sent a refusal is clear; afterwards only a
		// reading can tell.
		return result{err: err, outcome: w.outcome()}, w.sent
	}
	if err == nil {
		if r, done := w.check(cur); done {
			return r, false
		}
	} else if w.base != 0 {
		return result{lost: true, outcome: w.outcome()}, false
	}
	w.env.Base = cur.Index
	value := w.env.Encode()
	index, err := w.s.o.Store.CompareAndSwap(ctx, w.key, value, cur.Index)
	switch {
	case err == nil:
		return result{index: index, value: value}, false
	case errors.Is(err, store.ErrConflict):
		// Read who won.
		return result{err: err, outcome: w.outcome()}, true
	case errors.Is(err, store.ErrUnavailable):
		return result{err: err, outcome: w.outcome()}, w.sent
	default:
		w.sent = true
		return result{err: err, outcome: mayHaveRun}, true
	}
}

// check compares the stored entry with what the change expects.
func (w *write) check(cur store.Entry) (result, bool) {
	env, err := revision.Decode(cur.Value)
	if err == nil && env.WriteID == w.env.WriteID {
		return result{index: cur.Index, value: cur.Value}, true
	}
	// A new service may take the place of a deleted one.
	free := err == nil && env.Deleted && w.base == 0
	if cur.Index != w.base && !free {
		r := result{lost: true, outcome: notRun, winner: &Winner{
			Revision: cur.Index, Team: env.Team, Operator: env.Operator, At: env.At, Deleted: env.Deleted}}
		if w.sent && env.Base != w.env.Base {
			// The winner replaced another revision than this change did, which
			// may have been this change.
			r.outcome = mayHaveRun
		}
		return r, true
	}
	if owner := w.owner(env, err); !free && owner != "" && owner != w.env.Team {
		return result{refused: fmt.Sprintf("the service belongs to team %s and the key to team %s", owner, w.env.Team)}, true
	}
	return result{}, false
}

// owner returns the team of the stored document. A value that does not decode
// belongs to the team of the document in force, so that it can be repaired.
func (w *write) owner(env revision.Envelope, err error) string {
	if err == nil {
		return env.Team
	}
	if v := w.s.o.Control.Snapshot().Services[strings.TrimPrefix(w.key, revision.Prefix)]; v != nil {
		return v.Doc.Team
	}
	return ""
}
