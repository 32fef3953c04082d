package standin

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
)

// Ways in which a version is bad.
const (
	BadFails     = "fails"     // answers requests with status 500
	BadBreaks    = "breaks"    // ends streams with an error event after a few tokens
	BadSlow      = "slow"      // steps take Factor times as long
	BadTruncated = "truncated" // ends streams early with [DONE] and no finish reason
	BadShort     = "short"     // ends answers early with finish reason "stop"
	BadEmpty     = "empty"     // answers with no token and finish reason "stop"
	BadCrashes   = "crashes"   // the engine dies
)

// BadVersion makes a version bad once its triggers hold. A zero trigger holds
// at once.
type BadVersion struct {
	Mode string `json:"mode"`
	// Factor of BadSlow; 4 by default.
	Factor float64 `json:"factor,omitempty"`
	// AfterRequests is the number of good requests before the version turns
	// bad.
	AfterRequests int `json:"after_requests,omitempty"`
	// AboveLoad is the number of held requests above which it is bad.
	AboveLoad int `json:"above_load,omitempty"`
	// Tokens is the length of broken and truncated answers; 3 by default.
	Tokens int `json:"tokens,omitempty"`
	// Route limits the fault to requests of one route, RouteChat or
	// RouteCompletions. BadSlow slows the whole batch and ignores it.
	Route string `json:"route,omitempty"`
}

// Routes of requests, told apart by whether they bring messages or a prompt.
const (
	RouteChat        = "chat"
	RouteCompletions = "completions"
)

// Faults of load reports.
const (
	LoadStale = "stale" // the last report stays
	LoadLost  = "lost"  // GET /load answers 503
	LoadHangs = "hangs" // GET /load never answers
)

// Kinds of leaving.
const (
	// LeavingReported engines say in their load report that they leave.
	LeavingReported = "reported"
	// LeavingRefuses engines also refuse new requests.
	LeavingRefuses = "refuses"
)

// EngineFaults are the standing faults of an engine. POST /control/faults
// replaces them.
type EngineFaults struct {
	// DieAfterTokens makes the engine die once it has generated so many more
	// tokens, over all requests. It is cleared when the engine dies.
	DieAfterTokens int64 `json:"die_after_tokens,omitempty"`
	// PauseAfterTokens pauses the engine once it has generated so many more
	// tokens, over all requests. It is cleared then.
	PauseAfterTokens int64 `json:"pause_after_tokens,omitempty"`
	// HangAfterTokens makes the next connection that has sent so many tokens
	// silent for good. It is cleared then; the generation goes on.
	HangAfterTokens int `json:"hang_after_tokens,omitempty"`
	// Slow multiplies the time of each step; 0 and 1 are normal.
	Slow float64 `json:"slow,omitempty"`
	// CrashMarker makes the engine die when it runs a request whose prompt
	// contains it.
	CrashMarker string                `json:"crash_marker,omitempty"`
	BadVersions map[string]BadVersion `json:"bad_versions,omitempty"`
	// Load is LoadStale, LoadLost, LoadHangs or empty.
	Load string `json:"load,omitempty"`
	// Leaving is LeavingReported, LeavingRefuses or empty.
	Leaving string `json:"leaving,omitempty"`
	// Fencing replaces the option of the same name if it is not empty.
	Fencing string `json:"fencing,omitempty"`
	// RefuseStatus refuses all new requests with this status.
	RefuseStatus int `json:"refuse_status,omitempty"`
}

// SetFaults replaces the standing faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.generatedSince = 0
}

// Faults returns the standing faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Pause stops all output and all work, as a stopped process does. Connections
// stay open, new ones are accepted, and nothing is answered.
func (e *Engine) Pause() { e.srv.pause() }

// Continue ends a pause. Generations go on where they stopped.
func (e *Engine) Continue() { e.srv.unpause() }

// HangOpenConnections makes the connections that are open now silent for
// good. Generations go on, and new connections work. It returns how many hang.
func (e *Engine) HangOpenConnections() int { return e.srv.hangOpen() }

// HangAcceptedConnections makes the next n connections silent from the start.
func (e *Engine) HangAcceptedConnections(n int) { e.srv.hangAccepted(n) }

// ErrNotStreaming reports that no connection follows the generation.
var ErrNotStreaming = errors.New("no connection follows this generation")

// HangConnection makes the connections that follow a generation silent.
func (e *Engine) HangConnection(id string) error {
	e.srv.mu.Lock()
	defer e.srv.mu.Unlock()
	found := false
	for c := range e.srv.conns {
		if s := c.follows.Load(); s != nil && *s == id {
			c.hung.Store(true)
			found = true
		}
	}
	if !found {
		return ErrNotStreaming
	}
	return nil
}

// hangDue reports how many more tokens a stream that has sent some may send
// before its connection hangs, and whether there is such a fault.
func (e *Engine) hangDue(sent int) (int, bool) {
	n := e.faults.HangAfterTokens
	return max(0, n-sent), n > 0
}

// badOn returns the fault of a version if its triggers hold and it concerns
// requests of the route.
func (e *Engine) badOn(version, route string) (BadVersion, bool) {
	b, ok := e.bad(version)
	return b, ok && (b.Route == "" || b.Route == route)
}

// bad returns the fault of the running version if its triggers hold.
func (e *Engine) bad(version string) (BadVersion, bool) {
	b, ok := e.faults.BadVersions[version]
	if !ok || e.accepted[version] <= b.AfterRequests && b.AfterRequests > 0 {
		return b, false
	}
	if b.AboveLoad > 0 && len(e.running)+len(e.waiting) <= b.AboveLoad {
		return b, false
	}
	def(&b.Factor, 4)
	def(&b.Tokens, 3)
	return b, true
}

func (e *Engine) slowFactor() float64 {
	f := 1.0
	if e.faults.Slow > 0 {
		f = e.faults.Slow
	}
	if b, ok := e.bad(e.version); ok && b.Mode == BadSlow {
		f *= b.Factor
	}
	return f
}

// damage ends a running generation early if its version is bad that way.
func (e *Engine) damage(g *generation, now time.Time) {
	b, ok := e.badOn(g.version, g.route)
	if !ok || g.n-g.start < b.Tokens {
		return
	}
	switch b.Mode {
	case BadBreaks:
		e.endWithout(g, endError, now)
	case BadTruncated:
		e.endWithout(g, endTruncated, now)
	case BadShort:
		g.finish, g.finishedAt, g.words = "stop", now, nil
	}
}

// poisoned reports whether a prompt contains the crash marker.
func (e *Engine) poisoned(prompt string) bool {
	return e.faults.CrashMarker != "" && strings.Contains(prompt, e.faults.CrashMarker)
}

func (e *Engine) controlRoutes(r gin.IRouter) {
	ok := func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"ok": true}) }
	r.GET("/stats", func(c *gin.Context) { c.JSON(http.StatusOK, e.Stats()) })
	r.GET("/faults", func(c *gin.Context) { c.JSON(http.StatusOK, e.Faults()) })
	r.POST("/faults", func(c *gin.Context) {
		var f EngineFaults
		if bind(c, &f) {
			e.SetFaults(f)
			ok(c)
		}
	})
	r.POST("/die", func(c *gin.Context) {
		// The answer comes after the death and before a process exits.
		const reason = "fault: told to die"
		died := e.endLife(reason)
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
		// All open connections, those of one generation, or the next ones.
		var b struct {
			Generation string `json:"generation"`
			Accepted   int    `json:"accepted"`
		}
		if !bind(c, &b) {
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
