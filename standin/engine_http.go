package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 8 << 20

// stopWord is the beginning of a prompt word that gives the length after
// which the answer stops by itself, such as "stop=20".
const stopWord = "stop="

type completionRequest struct {
	Model          string    `json:"model"`
	Version        string    `json:"version"`
	Prompt         string    `json:"prompt"`
	Messages       []Message `json:"messages"`
	Prefix         string    `json:"prefix"`
	ContinueTokens int       `json:"continue_tokens"`
	MaxTokens      int       `json:"max_tokens"`
	Priority       int       `json:"priority"`
	Stream         bool      `json:"stream"`
}

func (e *Engine) routes() http.Handler {
	r := newRouter()
	r.POST("/v1/completions", e.complete)
	r.GET("/v1/completions/:id", e.resume)
	r.POST("/v1/completions/:id/cancel", e.cancelGeneration)
	r.GET("/load", e.serveLoad)
	r.POST("/orders", e.order)
	r.GET("/cache/events", e.cacheEvents)
	return r
}

func (e *Engine) complete(c *gin.Context) {
	var q completionRequest
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxRequestBytes)
	if err := json.NewDecoder(c.Request.Body).Decode(&q); err != nil {
		refuse(c, http.StatusBadRequest, "bad_request", "not_run", err.Error())
		return
	}
	id := c.GetHeader("X-Request-Id")
	e.mu.Lock()
	if e.life == nil || c.Request.Context().Err() != nil {
		// The engine died, and perhaps started again, or the client is gone.
		e.mu.Unlock()
		return
	}
	g, ref := e.accept(id, q)
	e.mu.Unlock()
	if ref != nil {
		if ref.retryAfter > 0 {
			c.Header("Retry-After", strconv.Itoa(ref.retryAfter))
		}
		refuse(c, ref.status, ref.code, ref.outcome, ref.message)
		return
	}
	if q.Stream {
		e.follow(c, g, g.start)
		return
	}
	e.whole(c, g)
}

type refusal struct {
	status, retryAfter     int
	code, outcome, message string
}

// accept checks a request and makes it wait for the batch.
func (e *Engine) accept(id string, q completionRequest) (*generation, *refusal) {
	no := func(status, retry int, code, message string) (*generation, *refusal) {
		e.stats.Refused++
		return nil, &refusal{status, retry, code, "not_run", message}
	}
	now := time.Now()
	prompt, route := q.Prompt, RouteCompletions
	if len(q.Messages) > 0 {
		prompt, route = PromptOf(q.Messages), RouteChat
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = e.o.DefaultMaxTokens
	}
	switch {
	case e.faults.RefuseStatus != 0:
		return no(e.faults.RefuseStatus, 1, "fault", "told to refuse")
	case id == "" || strings.Contains(id, "/"):
		return no(http.StatusBadRequest, 0, "bad_request", "X-Request-Id must name the generation and have no /")
	case q.Model != e.o.Model:
		return no(http.StatusNotFound, 0, "unknown_model", "this engine serves "+e.o.Model)
	case q.MaxTokens < 0 || q.ContinueTokens < 0:
		return no(http.StatusBadRequest, 0, "bad_request", "token counts must not be negative")
	case e.faults.Leaving == LeavingRefuses:
		return no(http.StatusServiceUnavailable, 1, "leaving", "this engine leaves")
	case now.Before(e.loading):
		return no(http.StatusServiceUnavailable, 1, "loading", "this engine loads a version")
	case q.Version != "" && q.Version != e.version:
		return no(http.StatusConflict, 0, "wrong_version", "this engine serves version "+e.version)
	case e.o.MaxWaiting > 0 && len(e.waiting) >= e.o.MaxWaiting:
		return no(http.StatusTooManyRequests, 1, "overloaded", "too many requests wait")
	}
	if _, ok := e.gens[id]; ok {
		e.stats.Refused++
		return nil, &refusal{http.StatusConflict, 0, "duplicate", "may_have_run", "a generation has this ID"}
	}
	text := NewAnswerText(q.Model, e.version, prompt)
	if text.Prefix(q.ContinueTokens) != q.Prefix {
		// A real engine continues any text. The checker of answers sees the
		// mixture; the counter tells where it came from.
		e.stats.BadPrefixes++
	}
	e.stats.Requests++
	e.stats.RequestsByVersion[e.version]++
	e.accepted[e.version]++
	g := &generation{
		id: id, text: text, version: e.version, route: route, asked: prompt, words: PromptWords(prompt),
		start: q.ContinueTokens, n: q.ContinueTokens, max: q.MaxTokens, stop: -1,
		priority: q.Priority, poison: e.poisoned(prompt), changed: make(chan struct{}),
	}
	g.prompt = len(g.words)
	for _, w := range g.words {
		if s, ok := strings.CutPrefix(w, stopWord); ok {
			if n, err := strconv.Atoi(s); err == nil && n >= 0 {
				g.stop = n
			}
		}
	}
	g.words = append(g.words, PromptWords(q.Prefix)...)
	if b, ok := e.badOn(e.version, route); ok {
		switch b.Mode {
		case BadFails:
			e.stats.Failed++
			return nil, &refusal{http.StatusInternalServerError, 0, "fault", "may_have_run", "bad version"}
		case BadEmpty:
			g.stop = g.start
		case BadCrashes:
			g.poison = true
		}
	}
	e.enqueue(g)
	if reason := e.checkMemory(); reason != "" {
		// Crash takes the lock that is held here.
		go e.Crash(reason)
	}
	return g, nil
}

func (e *Engine) resume(c *gin.Context) {
	after, err := strconv.Atoi(c.DefaultQuery("starting_after", "0"))
	if err != nil || after < 0 {
		refuse(c, http.StatusBadRequest, "bad_request", "not_run", "starting_after must be a number of tokens")
		return
	}
	e.mu.Lock()
	g, ok := e.gens[c.Param("id")]
	var oldest, newest int
	if ok {
		oldest, newest = max(g.start, g.n-e.o.RetainTokens), g.n
		e.stats.Resumed++
	}
	e.mu.Unlock()
	switch {
	case !ok:
		refuse(c, http.StatusNotFound, "unknown_generation", "not_run", "this engine does not hold the generation")
	case after < oldest:
		refuse(c, http.StatusGone, "tokens_gone", "may_have_run", "this engine no longer holds the tokens")
	case after > newest:
		refuse(c, http.StatusRequestedRangeNotSatisfiable, "beyond_end", "may_have_run", "the generation has not come so far")
	default:
		e.follow(c, g, after)
	}
}

// follow streams a generation from an index on until it ends or the
// connection closes. The generation itself goes on.
func (e *Engine) follow(c *gin.Context, g *generation, next int) {
	conn := connOf(c.Request)
	conn.follows.Store(&g.id)
	defer conn.follows.Store(nil)
	h := c.Writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	c.Writer.WriteHeader(http.StatusOK)
	c.Writer.Flush()
	var buf []byte
	for first, hang := next, false; ; {
		e.mu.Lock()
		n, finish, end, changed := g.n, g.finish, g.end, g.changed
		if left, ok := e.hangDue(next - first); ok && n-next >= left {
			n, finish, end, hang = next+left, "", "", true
			e.faults.HangAfterTokens = 0
		}
		e.mu.Unlock()
		if next < n || finish != "" || end != "" {
			buf = buf[:0]
			for ; next < n; next++ {
				buf = appendToken(buf, next, g.text.Token(next))
			}
			buf = appendEnd(buf, finish, end)
			if _, err := c.Writer.Write(buf); err != nil {
				return
			}
			c.Writer.Flush()
			if finish != "" || end != "" {
				return
			}
		}
		if hang {
			conn.hung.Store(true)
			<-c.Request.Context().Done()
			return
		}
		select {
		case <-changed:
		case <-c.Request.Context().Done():
			return
		}
	}
}

func appendToken(buf []byte, index int, text string) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	buf = append(buf, "\ndata: {\"choices\":[{\"index\":0,\"text\":\""...)
	// Tokens consist of letters and a space, which JSON does not escape.
	buf = append(buf, text...)
	return append(buf, "\",\"finish_reason\":null}]}\n\n"...)
}

func appendEnd(buf []byte, finish, end string) []byte {
	switch {
	case finish != "":
		buf = append(buf, "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\""...)
		buf = append(buf, finish...)
		buf = append(buf, "\"}]}\n\ndata: [DONE]\n\n"...)
	case end == endTruncated:
		buf = append(buf, "data: [DONE]\n\n"...)
	case end != "":
		buf = append(buf, "data: {\"error\":{\"message\":\"generation ended: "...)
		buf = append(buf, end...)
		buf = append(buf, "\",\"code\":\""...)
		buf = append(buf, end...)
		buf = append(buf, "\"}}\n\n"...)
	}
	return buf
}

// whole answers a request that is not streamed.
func (e *Engine) whole(c *gin.Context, g *generation) {
	for {
		e.mu.Lock()
		n, finish, over, changed := g.n, g.finish, g.over(), g.changed
		e.mu.Unlock()
		if over {
			if finish == "" {
				refuse(c, http.StatusInternalServerError, "fault", "may_have_run", "generation ended early")
				return
			}
			var b strings.Builder
			for i := g.start; i < n; i++ {
				b.WriteString(g.text.Token(i))
			}
			c.JSON(http.StatusOK, gin.H{
				"id": g.id, "object": "text_completion",
				"choices": []gin.H{{"index": 0, "text": b.String(), "finish_reason": finish}},
				"usage":   gin.H{"prompt_tokens": g.prompt, "completion_tokens": n - g.start},
			})
			return
		}
		select {
		case <-changed:
		case <-c.Request.Context().Done():
			return
		}
	}
}

func (e *Engine) cancelGeneration(c *gin.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.gens[c.Param("id")]
	if !ok {
		refuse(c, http.StatusNotFound, "unknown_generation", "not_run", "this engine does not hold the generation")
		return
	}
	if !g.over() {
		e.stats.Cancelled++
		e.endWithout(g, endCancelled, time.Now())
		e.waiting, e.running = dropOver(e.waiting), dropOver(e.running)
	}
	delete(e.gens, g.id)
	c.JSON(http.StatusOK, gin.H{"id": g.id, "cancelled": true})
}

func (e *Engine) serveLoad(c *gin.Context) {
	e.mu.Lock()
	l, fault := e.load(time.Now()), e.faults.Load
	e.mu.Unlock()
	switch fault {
	case LoadLost:
		c.Status(http.StatusServiceUnavailable)
	case LoadHangs:
		<-c.Request.Context().Done()
	default:
		c.JSON(http.StatusOK, l)
	}
}

func (e *Engine) order(c *gin.Context) {
	var o struct {
		Fence   uint64 `json:"fence"`
		Model   string `json:"model"`
		Adapter string `json:"adapter"`
		Version string `json:"version"`
		Role    string `json:"role"`
	}
	b, err := io.ReadAll(io.LimitReader(c.Request.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(b, &o)
	}
	if err != nil || o.Version == "" || o.Model != "" && o.Model != e.o.Model {
		refuse(c, http.StatusBadRequest, "bad_request", "not_run", "an order needs a fence, this engine's model and a version")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fencing := e.o.Fencing
	if e.faults.Fencing != "" {
		fencing = e.faults.Fencing
	}
	if fencing == FencingRefuses && o.Fence < e.fence {
		refuse(c, http.StatusConflict, "stale_fence", "not_run", "an order with a higher fencing number was seen")
		return
	}
	e.fence = max(e.fence, o.Fence)
	if o.Version != e.version {
		// Running generations finish with the version they began with.
		e.version = o.Version
		e.loading = time.Now().Add(e.o.VersionLoadTime)
	}
	c.JSON(http.StatusOK, gin.H{"version": e.version, "fence": e.fence})
}

func (e *Engine) cacheEvents(c *gin.Context) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		refuse(c, http.StatusBadRequest, "bad_request", "not_run", "after must be a sequence number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c.JSON(http.StatusOK, gin.H{"events": e.cache.since(after, time.Now())})
}
