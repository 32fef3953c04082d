package standin

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
)

// Modes of a bad version.
const (
	BadFails     = "fails"     // answers requests with status 500
	BadBreaks    = "breaks"    // ends streams with an error event after a few tokens
	BadSlow      = "slow"      // steps take Factor times as long
	BadTruncated = "truncated" // ends streams early with [DONE] and no finish reason
	BadShort     = "short"     // ends answers early with finish reason "stop"
	BadEmpty     = "empty"     // answers with no token and finish reason "stop"
	BadCrashes   = "crashes"   // the engine dies
)

// BadVersion makes an engine version bad once its triggers hold. A zero trigger
// always holds.
type BadVersion struct {
	Mode string `json:"mode"`
	// Factor multiplies the step time in mode BadSlow; default 4.
	Factor float64 `json:"factor,omitempty"`
	// AfterRequests is the number of accepted requests before the version
	// turns bad.
	AfterRequests int `json:"after_requests,omitempty"`
	// AboveLoad is the number of waiting and running requests above which the
	// version is bad.
	AboveLoad int `json:"above_load,omitempty"`
	// Tokens is the length of broken, truncated and short answers; default 3.
	Tokens int `json:"tokens,omitempty"`
	// Route limits the fault to requests of one route, RouteChat or
	// RouteCompletions. BadSlow ignores it and slows the whole batch.
	Route string `json:"route,omitempty"`
}

// Routes of requests: chat requests carry messages, completions a prompt.
const (
	RouteChat        = "chat"
	RouteCompletions = "completions"
)

// Faults of the load report.
const (
	LoadStale = "stale" // no new reports are made
	LoadLost  = "lost"  // GET /load answers 503
	LoadHangs = "hangs" // GET /load never answers
)

// Ways for an engine to leave.
const (
	// LeavingReported sets the field leaving of the load report.
	LeavingReported = "reported"
	// LeavingRefuses also refuses new requests.
	LeavingRefuses = "refuses"
)

// EngineFaults are the active faults of an engine. POST /control/faults
// replaces them.
type EngineFaults struct {
	// DieAfterTokens makes the engine die after this many more generated
	// tokens, summed over all requests. It is cleared when the engine dies.
	DieAfterTokens int64 `json:"die_after_tokens,omitempty"`
	// PauseAfterTokens pauses the engine after this many more generated
	// tokens, summed over all requests. It is cleared when the pause begins.
	PauseAfterTokens int64 `json:"pause_after_tokens,omitempty"`
	// HangAfterTokens makes the next connection that has sent this many tokens
	// silent for good, and is cleared at that point. The generation goes on.
	HangAfterTokens int `json:"hang_after_tokens,omitempty"`
	// Slow multiplies the time of each step; 0 and 1 leave it unchanged.
	Slow float64 `json:"slow,omitempty"`
	// CrashMarker makes the engine die when it runs a request whose prompt
	// contains this text.
	CrashMarker string                `json:"crash_marker,omitempty"`
	BadVersions map[string]BadVersion `json:"bad_versions,omitempty"`
	// Load is LoadStale, LoadLost, LoadHangs or empty.
	Load string `json:"load,omitempty"`
	// Leaving is LeavingReported, LeavingRefuses or empty.
	Leaving string `json:"leaving,omitempty"`
	// Fencing replaces the option of the same name if it is not empty.
	Fencing string `json:"fencing,omitempty"`
	// RefuseStatus is the status with which all new requests are refused; 0
	// refuses none.
	RefuseStatus int `json:"refuse_status,omitempty"`
}

// SetFaults replaces the active faults and restarts the token counts of
// DieAfterTokens and PauseAfterTokens.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.generatedSinceFaults = 0
}

// Faults returns the active faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Pause stops all output and all work, as if the process were suspended.
// Connections stay open, new ones are accepted, and nothing is answered.
func (e *Engine) Pause() { e.srv.pause() }

// Continue ends a pause. Generations go on where they stopped.
func (e *Engine) Continue() { e.srv.unpause() }

// HangOpenConnections makes the connections that are open now silent for
// good and returns their number. Generations go on, and new connections work.
func (e *Engine) HangOpenConnections() int { return e.srv.hangOpen() }

// HangAcceptedConnections makes the next n connections silent from the start.
func (e *Engine) HangAcceptedConnections(n int) { e.srv.hangAccepted(n) }

// ErrNotStreaming reports that no connection streams the generation.
var ErrNotStreaming = errors.New("no connection follows this generation")

// HangConnection makes the connections that stream a generation silent for
// good. It returns ErrNotStreaming if there are none.
func (e *Engine) HangConnection(id string) error {
	e.srv.mu.Lock()
	defer e.srv.mu.Unlock()
	found := false
	for c := range e.srv.conns {
		if s := c.generationID.Load(); s != nil && *s == id {
			c.hung.Store(true)
			found = true
		}
	}
	if !found {
		return ErrNotStreaming
	}
	return nil
}

// tokensUntilHang returns how many more tokens a stream may send before its
// connection hangs, given how many it has sent, and whether HangAfterTokens is
// set.
func (e *Engine) tokensUntilHang(sent int) (int, bool) {
	n := e.faults.HangAfterTokens
	return max(0, n-sent), n > 0
}

// activeBadVersionForRoute returns the fault of a version, and whether its
// triggers hold and it applies to requests of the route.
func (e *Engine) activeBadVersionForRoute(version, route string) (BadVersion, bool) {
	b, ok := e.activeBadVersion(version)
	return b, ok && (b.Route == "" || b.Route == route)
}

// activeBadVersion returns the fault of a version, and whether its triggers
// hold.
func (e *Engine) activeBadVersion(version string) (BadVersion, bool) {
	b, ok := e.faults.BadVersions[version]
	if !ok || e.acceptedByVersion[version] <= b.AfterRequests && b.AfterRequests > 0 {
		return b, false
	}
	if b.AboveLoad > 0 && len(e.running)+len(e.waiting) <= b.AboveLoad {
		return b, false
	}
	setDefault(&b.Factor, 4)
	setDefault(&b.Tokens, 3)
	return b, true
}

func (e *Engine) slowFactor() float64 {
	f := 1.0
	if e.faults.Slow > 0 {
		f = e.faults.Slow
	}
	if b, ok := e.activeBadVersion(e.version); ok && b.Mode == BadSlow {
		f *= b.Factor
	}
	return f
}

// endEarlyIfBad ends a running generation after BadVersion.Tokens tokens if the
// mode of its version requires it.
func (e *Engine) endEarlyIfBad(g *generation, now time.Time) {
	b, ok := e.activeBadVersionForRoute(g.version, g.route)
	if !ok || g.nextToken-g.firstToken < b.Tokens {
		return
	}
	switch b.Mode {
	case BadBreaks:
		e.endWithoutFinish(g, endError, now)
	case BadTruncated:
		e.endWithoutFinish(g, endTruncated, now)
	case BadShort:
		g.finishReason, g.finishedAt, g.words = "stop", now, nil
	}
}

// hasCrashMarker reports whether a prompt contains the crash marker.
func (e *Engine) hasCrashMarker(prompt string) bool {
	return e.faults.CrashMarker != "" && strings.Contains(prompt, e.faults.CrashMarker)
}

func (e *Engine) controlRoutes(r gin.IRouter) {
	ok := func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"ok": true}) }
	r.GET("/stats", func(c *gin.Context) { c.JSON(http.StatusOK, e.Stats()) })
	r.GET("/faults", func(c *gin.Context) { c.JSON(http.StatusOK, e.Faults()) })
	r.POST("/faults", func(c *gin.Context) {
		var f EngineFaults
		if decodeBody(c, &f) {
			e.SetFaults(f)
			ok(c)
		}
	})
	r.POST("/die", func(c *gin.Context) {
		// The answer is sent after the engine has died and before OnCrash, which
		// may end the process.
		const reason = "fault: told to die"
		died := e.terminate(reason)
		ok(c)
		c.Writer.Flush()
		if died && e.o.OnCrash != nil {
			e.o.OnCrash(reason)
		}
	})
	r.POST("/start", func(c *gin.Context) {
		if err := e.Start(); err != nil {
			c.JSON(http.StatusInternalServerError, gin.H{"error": gin.H{"message": err.Error()}})
			return
		}
		ok(c)
	})
	r.POST("/pause", func(c *gin.Context) { e.Pause(); ok(c) })
	r.POST("/continue", func(c *gin.Context) { e.Continue(); ok(c) })
	r.POST("/hang", func(c *gin.Context) {
		// The body selects the connections of one generation or the next
		// accepted ones; without it all open connections hang.
		var b struct {
			Generation string `json:"generation"`
			Accepted   int    `json:"accepted"`
		}
		if !decodeBody(c, &b) {
			return
		}
		switch {
		case b.Generation != "":
			if err := e.HangConnection(b.Generation); err != nil {
				c.JSON(http.StatusNotFound, gin.H{"error": gin.H{"message": err.Error()}})
				return
			}
		case b.Accepted > 0:
			e.HangAcceptedConnections(b.Accepted)
		default:
			e.HangOpenConnections()
		}
		ok(c)
	})
}
