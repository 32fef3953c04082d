package operator

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Control is the part of control.Loop that the API uses.
type Control interface {
	Snapshot() *node.Snapshot
	Post(node.Event) bool
	Events() *control.Ring
}

// Options configure a Server.
type Options struct {
	// Daemon is the name of this daemon.
	Daemon  string
	Control Control
	Store   store.Store
	// Teams maps a team to the hex SHA-256 of its key.
	Teams  map[string]string
	Logger *slog.Logger
	// Metrics are the sets that /metrics exports besides those of the process.
	Metrics []*metrics.Set
	// Timeout bounds a change, including the time to find out whether a write
	// took effect whose answer was lost; 0 means 3 s.
	Timeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// NewWriteID returns the ID of a new write; nil means random IDs.
	NewWriteID func() string
}

// Server serves the API.
type Server struct {
	opts   Options
	log    *slog.Logger
	engine *gin.Engine
}

// New returns a server with its routes.
func New(o Options) *Server {
	if o.Timeout == 0 {
		o.Timeout = 3 * time.Second
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewWriteID == nil {
		o.NewWriteID = randomID
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	gin.SetMode(gin.ReleaseMode)
	s := &Server{opts: o, log: o.Logger.With("part", "operator"), engine: gin.New()}
	e := s.engine
	e.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, err any) {
		s.log.Error("operator API handler panicked", "path", c.Request.URL.Path, "cause", err)
		fail(c, http.StatusInternalServerError, "internal", "", "internal error")
	}))
	e.GET("/v1/services", s.list)
	e.GET("/v1/services/:name", s.get)
	e.PUT("/v1/services/:name", s.put)
	e.DELETE("/v1/services/:name", s.remove)
	e.GET("/v1/services/:name/status", s.status)
	e.POST("/v1/services/:name/take-back", s.takeBack)
	e.GET("/v1/events", s.events)
	e.GET("/metrics", s.metrics)
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	return s
}

// randomID returns 96 random bits in hex.
func randomID() string {
	b := make([]byte, 12)
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Handler returns the HTTP handler, for callers that run their own http.Server.
func (s *Server) Handler() http.Handler { return s.engine }

// Run serves on a listener until the context ends. It then waits at most
// Options.Timeout for running requests before it closes their connections.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler:           s.engine,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		MaxHeaderBytes:    16 << 10,
		IdleTimeout:       time.Minute,
	}
	stop := context.AfterFunc(ctx, func() {
		sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opts.Timeout)
		defer cancel()
		if err := srv.Shutdown(sctx); err != nil {
			_ = srv.Close()
		}
	})
	defer stop()
	if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve the operator API")
	}
	return nil
}

// errorBody is the body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	// Outcome is not_run when a change has certainly not taken effect, and
	// may_have_run when that is unknown. It is empty where the request makes no
	// change.
	Outcome  string            `json:"outcome,omitempty"`
	Problems document.Problems `json:"problems,omitempty"`
	Winner   *Winner           `json:"winner,omitempty"`
}

// Winner identifies the stored revision that a change conflicts with, and who
// wrote it.
type Winner struct {
	Revision uint64    `json:"revision"`
	Team     string    `json:"team"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	Deleted  bool      `json:"deleted,omitempty"`
}

const (
	notRun     = "not_run"
	mayHaveRun = "may_have_run"
)

// fail ends the request with an error response.
func fail(c *gin.Context, status int, code, outcome, message string) {
	c.AbortWithStatusJSON(status, errorBody{errorDetail{Message: message, Code: code, Outcome: outcome}})
}

// authenticate returns the team whose key the request carries as its bearer
// token, and answers 401 when there is none. It compares with the keys of all
// teams in constant time, so that its duration tells nothing about a key.
func (s *Server) authenticate(c *gin.Context) (string, bool) {
	key, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	found := ""
	if ok {
		hash := []byte(document.HashKey(key))
		for team, want := range s.opts.Teams {
			if subtle.ConstantTimeCompare(hash, []byte(want)) == 1 {
				found = team
			}
		}
	}
	if found == "" {
		c.Header("WWW-Authenticate", "Bearer")
		fail(c, http.StatusUnauthorized, "unauthorized", notRun, "the request needs the key of a team as its bearer token")
		return "", false
	}
	return found, true
}

// metrics writes the sets of Options.Metrics and those of the process.
func (s *Server) metrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; version=0.0.4")
	for _, set := range s.opts.Metrics {
		set.WritePrometheus(c.Writer)
	}
	metrics.WritePrometheus(c.Writer, true)
}

// ready answers 200 while the daemon accepts new work: once it has documents and
// until it drains.
func (s *Server) ready(c *gin.Context) {
	snap := s.opts.Control.Snapshot()
	switch {
	case snap.Draining:
		c.String(http.StatusServiceUnavailable, "draining\n")
	case !snap.Configured:
		c.String(http.StatusServiceUnavailable, "no configuration from the store or a peer yet\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

// eventsBody is the answer of GET /v1/events.
type eventsBody struct {
	Daemon string          `json:"daemon"`
	Events []control.Event `json:"events"`
}

// events answers with the recorded events of a subject after a sequence number.
func (s *Server) events(c *gin.Context) {
	after, ok := parseNumber(c, c.Query("after"), "after")
	if !ok {
		return
	}
	c.JSON(http.StatusOK, eventsBody{Daemon: s.opts.Daemon, Events: s.opts.Control.Events().List(c.Query("subject"), after)})
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
