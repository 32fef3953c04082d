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

// maxRequestBytes is the largest request body in bytes.
const maxRequestBytes = 8 << 20

// stopWordPrefix begins a prompt word that gives the number of tokens after
// which the answer ends with reason "stop", such as "stop=20".
const stopWordPrefix = "stop="

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
	r.POST("/v1/completions", e.handleCompletion)
	r.GET("/v1/completions/:id", e.handleResume)
	r.POST("/v1/completions/:id/cancel", e.handleCancel)
	r.GET("/load", e.handleLoad)
	r.POST("/orders", e.handleOrder)
	r.GET("/cache/events", e.handleCacheEvents)
	return r
}

func (e *Engine) handleCompletion(c *gin.Context) {
	var req completionRequest
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxRequestBytes)
	if err := json.NewDecoder(c.Request.Body).Decode(&req); err != nil {
		refuse(c, http.StatusBadRequest, "bad_request", "not_run", err.Error())
		return
	}
	id := c.GetHeader("X-Request-Id")
	e.mu.Lock()
	if e.runCtx == nil || c.Request.Context().Err() != nil {
		// The engine is dead, or the request's connection was closed because
		// the engine died (and perhaps started again) or the client left.
		e.mu.Unlock()
		return
	}
	g, rejected := e.accept(id, req)
	e.mu.Unlock()
	if rejected != nil {
		if rejected.retryAfter > 0 {
			c.Header("Retry-After", strconv.Itoa(rejected.retryAfter))
		}
		refuse(c, rejected.status, rejected.code, rejected.outcome, rejected.message)
		return
	}
	if req.Stream {
		e.streamTokens(c, g, g.firstToken)
		return
	}
	e.answerWhole(c, g)
}

type refusal struct {
	status, retryAfter     int
	code, outcome, message string
}

// accept checks a request and queues it for the batch, or returns a refusal.
func (e *Engine) accept(id string, req completionRequest) (*generation, *refusal) {
	reject := func(status, retry int, code, message string) (*generation, *refusal) {
		e.stats.Refused++
		return nil, &refusal{status, retry, code, "not_run", message}
	}
	now := time.Now()
	prompt, route := req.Prompt, RouteCompletions
	if len(req.Messages) > 0 {
		prompt, route = PromptOf(req.Messages), RouteChat
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = e.o.DefaultMaxTokens
	}
	switch {
	case e.faults.RefuseStatus != 0:
		return reject(e.faults.RefuseStatus, 1, "fault", "told to refuse")
	case id == "" || strings.Contains(id, "/"):
		return reject(http.StatusBadRequest, 0, "bad_request", "X-Request-Id must name the generation and have no /")
	case req.Model != e.o.Model:
		return reject(http.StatusNotFound, 0, "unknown_model", "this engine serves "+e.o.Model)
	case req.MaxTokens < 0 || req.ContinueTokens < 0:
		return reject(http.StatusBadRequest, 0, "bad_request", "token counts must not be negative")
	case e.faults.Leaving == LeavingRefuses:
		return reject(http.StatusServiceUnavailable, 1, "leaving", "this engine leaves")
	case now.Before(e.loadingUntil):
		return reject(http.StatusServiceUnavailable, 1, "loading", "this engine loads a version")
	case req.Version != "" && req.Version != e.version:
		return reject(http.StatusConflict, 0, "wrong_version", "this engine serves version "+e.version)
	case e.o.MaxWaiting > 0 && len(e.waiting) >= e.o.MaxWaiting:
		return reject(http.StatusTooManyRequests, 1, "overloaded", "too many requests wait")
	}
	if _, ok := e.generations[id]; ok {
		e.stats.Refused++
		return nil, &refusal{http.StatusConflict, 0, "duplicate", "may_have_run", "a generation has this ID"}
	}
	text := NewAnswerText(req.Model, e.version, prompt)
	if text.Prefix(req.ContinueTokens) != req.Prefix {
		// A real engine continues any text, so the request is accepted.
		// CheckAnswer detects the mixed answer; the counter shows which engine
		// continued a foreign prefix.
		e.stats.BadPrefixes++
	}
	e.stats.Requests++
	e.stats.RequestsByVersion[e.version]++
	e.acceptedByVersion[e.version]++
	g := &generation{
		id: id, text: text, version: e.version, route: route, prompt: prompt, words: PromptWords(prompt),
		firstToken: req.ContinueTokens, nextToken: req.ContinueTokens, maxTokens: req.MaxTokens, stopAt: -1,
		priority: req.Priority, crashesEngine: e.hasCrashMarker(prompt), changed: make(chan struct{}),
	}
	g.promptTokens = len(g.words)
	for _, w := range g.words {
		if s, ok := strings.CutPrefix(w, stopWordPrefix); ok {
			if n, err := strconv.Atoi(s); err == nil && n >= 0 {
				g.stopAt = n
			}
		}
	}
	g.words = append(g.words, PromptWords(req.Prefix)...)
	if b, ok := e.activeBadVersionForRoute(e.version, route); ok {
		switch b.Mode {
		case BadFails:
			e.stats.Failed++
			return nil, &refusal{http.StatusInternalServerError, 0, "fault", "may_have_run", "bad version"}
		case BadEmpty:
			g.stopAt = g.firstToken
		case BadCrashes:
			g.crashesEngine = true
		}
	}
	e.enqueue(g)
	if reason := e.checkMemory(); reason != "" {
		// Crash takes the mutex that is held here, so it runs in a goroutine.
		go e.Crash(reason)
	}
	return g, nil
}

func (e *Engine) handleResume(c *gin.Context) {
	after, err := strconv.Atoi(c.DefaultQuery("starting_after", "0"))
	if err != nil || after < 0 {
		refuse(c, http.StatusBadRequest, "bad_request", "not_run", "starting_after must be a number of tokens")
		return
	}
	e.mu.Lock()
	g, ok := e.generations[c.Param("id")]
	var oldest, newest int
	if ok {
		oldest, newest = max(g.firstToken, g.nextToken-e.o.RetainTokens), g.nextToken
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
		e.streamTokens(c, g, after)
	}
}

// streamTokens streams a generation from a token index until the generation
// ends or the connection closes. Closing doesn't end the generation.
func (e *Engine) streamTokens(c *gin.Context, g *generation, next int) {
	conn := connOf(c.Request)
	conn.generationID.Store(&g.id)
	defer conn.generationID.Store(nil)
	h := c.Writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	c.Writer.WriteHeader(http.StatusOK)
	c.Writer.Flush()
	var buf []byte
	for first, hang := next, false; ; {
		e.mu.Lock()
		n, finish, end, changed := g.nextToken, g.finishReason, g.abnormalEnd, g.changed
		if left, ok := e.tokensUntilHang(next - first); ok && n-next >= left {
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
	// Tokens consist of letters and a space, which JSON need not escape.
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

// answerWhole answers a request without streaming, after its generation ended.
func (e *Engine) answerWhole(c *gin.Context, g *generation) {
	for {
		e.mu.Lock()
		n, finish, ended, changed := g.nextToken, g.finishReason, g.ended(), g.changed
		e.mu.Unlock()
		if ended {
			if finish == "" {
				refuse(c, http.StatusInternalServerError, "fault", "may_have_run", "generation ended early")
				return
			}
			var b strings.Builder
			for i := g.firstToken; i < n; i++ {
				b.WriteString(g.text.Token(i))
			}
			c.JSON(http.StatusOK, gin.H{
				"id": g.id, "object": "text_completion",
				"choices": []gin.H{{"index": 0, "text": b.String(), "finish_reason": finish}},
				"usage":   gin.H{"prompt_tokens": g.promptTokens, "completion_tokens": n - g.firstToken},
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

func (e *Engine) handleCancel(c *gin.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.generations[c.Param("id")]
	if !ok {
		refuse(c, http.StatusNotFound, "unknown_generation", "not_run", "this engine does not hold the generation")
		return
	}
	if !g.ended() {
		e.stats.Cancelled++
		e.endWithoutFinish(g, endCancelled, time.Now())
		e.waiting, e.running = removeEnded(e.waiting), removeEnded(e.running)
	}
	delete(e.generations, g.id)
	c.JSON(http.StatusOK, gin.H{"id": g.id, "cancelled": true})
}

func (e *Engine) handleLoad(c *gin.Context) {
	e.mu.Lock()
	l, fault := e.publishedLoad(time.Now()), e.faults.Load
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

func (e *Engine) handleOrder(c *gin.Context) {
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
		e.loadingUntil = time.Now().Add(e.o.VersionLoadTime)
	}
	c.JSON(http.StatusOK, gin.H{"version": e.version, "fence": e.fence})
}

func (e *Engine) handleCacheEvents(c *gin.Context) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		refuse(c, http.StatusBadRequest, "bad_request", "not_run", "after must be a sequence number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c.JSON(http.StatusOK, gin.H{"events": e.cache.since(after, time.Now())})
}
