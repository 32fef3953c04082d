package operator

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

// serviceBody describes a service. Document is set when a single service is
// read, and empty in lists.
type serviceBody struct {
	Name     string    `json:"name"`
	Team     string    `json:"team"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"`
	Revision uint64    `json:"revision"`
	Serving  string    `json:"serving"`
	Next     string    `json:"next,omitempty"`
	Document string    `json:"document,omitempty"`
}

// listBody is the answer of GET /v1/services.
type listBody struct {
	Daemon   string        `json:"daemon"`
	Services []serviceBody `json:"services"`
}

// describe returns the body of a service without its document.
func describe(v *node.ServiceView) serviceBody {
	return serviceBody{
		Name: v.Doc.Name, Team: v.Doc.Team, Operator: v.Author.Operator, At: v.Author.At, Kind: string(v.Doc.Kind),
		Revision: v.Revision, Serving: v.Doc.Versions.Serving, Next: v.Doc.Versions.Next,
	}
}

func (s *Server) list(c *gin.Context) {
	snap := s.opts.Control.Snapshot()
	body := listBody{Daemon: s.opts.Daemon, Services: []serviceBody{}}
	for _, name := range sortedNames(snap.Services) {
		body.Services = append(body.Services, describe(snap.Services[name]))
	}
	c.JSON(http.StatusOK, body)
}

// get returns the document in force at this daemon. It requires the key of any
// team, because documents hold hashes of account keys.
func (s *Server) get(c *gin.Context) {
	if _, ok := s.authenticate(c); !ok {
		return
	}
	v := s.opts.Control.Snapshot().Services[c.Param("name")]
	if v == nil {
		fail(c, http.StatusNotFound, "unknown_service", "", "there is no service "+c.Param("name"))
		return
	}
	body := describe(v)
	body.Document = v.Text
	c.Header("ETag", fmt.Sprintf(`"%d"`, v.Revision))
	c.JSON(http.StatusOK, body)
}

// statusBody reports the state of a service and the reasons for it.
type statusBody struct {
	Daemon  string `json:"daemon"`
	Service string `json:"service"`
	// Revision is the revision in force at this daemon, 0 when there is none.
	Revision uint64 `json:"revision"`
	Serving  string `json:"serving,omitempty"`
	Next     string `json:"next,omitempty"`
	// MovePhase and MoveReason describe the version move that this daemon knows
	// of; both are empty when it knows of none.
	MovePhase  string             `json:"move_phase,omitempty"`
	MoveReason string             `json:"move_reason,omitempty"`
	Move       *moveBody          `json:"move,omitempty"`
	Shares     map[string]float64 `json:"shares,omitempty"`
	Upstreams  []upstreamBody     `json:"upstreams,omitempty"`
	Rejected   *rejectedBody      `json:"rejected,omitempty"`
	// InForceEverywhere is set when a revision is in force here and all live
	// daemons have confirmed it.
	InForceEverywhere bool         `json:"in_force_everywhere"`
	Daemons           []daemonBody `json:"daemons"`
	StoreReachable    bool         `json:"store_reachable"`
	// Sentences says the same as the other fields, in sentences for people.
	Sentences []string        `json:"words"`
	Events    []control.Event `json:"events"`
}

// moveBody is the schedule of a version move and the evidence on it.
type moveBody struct {
	From       string     `json:"from"`
	To         string     `json:"to"`
	Share      float64    `json:"share"`
	Owner      string     `json:"owner,omitempty"`
	Fence      uint64     `json:"fence,omitempty"`
	Deadline   *time.Time `json:"deadline,omitempty"`
	GrowsAt    *time.Time `json:"grows_at,omitempty"`
	FinishesAt *time.Time `json:"finishes_at,omitempty"`
	WarmUntil  *time.Time `json:"warm_until,omitempty"`
	// Merged is set when the evidence comes from all daemons and not only from
	// this one.
	Merged bool        `json:"merged"`
	Routes []routeBody `json:"routes,omitempty"`
}

// routeBody compares the old and the new version on one route.
type routeBody struct {
	Route string     `json:"route"`
	Old   countsBody `json:"old"`
	New   countsBody `json:"new"`
	// Test is the kind of fault whose statistical test is nearest to its bound.
	// Score is its log-likelihood ratio, and Bound the value that decides.
	Test  string  `json:"test,omitempty"`
	Score float64 `json:"score"`
	Bound float64 `json:"bound"`
}

// countsBody counts the requests of one version on one route by their outcome.
type countsBody struct {
	Judged    uint32 `json:"judged"`
	Failed    uint32 `json:"failed"`
	Crashed   uint32 `json:"crashed"`
	Truncated uint32 `json:"truncated"`
	Empty     uint32 `json:"empty"`
}

// phaseNames are the names of the phases of a move in JSON.
var phaseNames = map[rollout.Phase]string{
	rollout.PhaseProbing: "probing", rollout.PhaseGrowing: "growing",
	rollout.PhaseDone: "done", rollout.PhaseRolledBack: "taken_back",
}

// describeMove returns the body of a move. Times that are not set are left out.
func describeMove(r rollout.Report) *moveBody {
	timeOrNil := func(t time.Time) *time.Time {
		if t.IsZero() {
			return nil
		}
		return &t
	}
	counts := func(c rollout.Counts) countsBody {
		return countsBody{Judged: c.N, Failed: c.Failed, Crashed: c.Crashed, Truncated: c.Truncated, Empty: c.Empty}
	}
	b := &moveBody{From: r.From, To: r.To, Share: r.Share, Owner: r.Owner, Fence: r.Fence, Deadline: timeOrNil(r.Deadline),
		GrowsAt: timeOrNil(r.GrowsAt), FinishesAt: timeOrNil(r.FinishesAt), WarmUntil: timeOrNil(r.WarmUntil), Merged: r.Merged}
	for _, e := range r.Routes {
		b.Routes = append(b.Routes, routeBody{Route: e.Route, Old: counts(e.Old), New: counts(e.New), Test: e.Test, Score: e.Score, Bound: e.Bound})
	}
	return b
}

type upstreamBody struct {
	Name        string `json:"name"`
	Version     string `json:"version"`
	DataCentre  string `json:"datacentre"`
	State       string `json:"state"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Incarnation string `json:"incarnation,omitempty"`
}

type rejectedBody struct {
	Revision uint64            `json:"revision"`
	Team     string            `json:"team,omitempty"`
	Operator string            `json:"operator,omitempty"`
	Problems document.Problems `json:"problems"`
}

type daemonBody struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	// Applied is the store index up to which the daemon has all documents.
	Applied uint64 `json:"applied"`
	// InForce is set for this daemon, and for others once they have all documents
	// up to the revision.
	InForce bool `json:"in_force"`
}

// status answers with a statusBody as JSON, or with its sentences alone when the
// request accepts text/plain.
func (s *Server) status(c *gin.Context) {
	name := c.Param("name")
	snap := s.opts.Control.Snapshot()
	v, rejected, isRejected := snap.Services[name], snap.Rejected[name], false
	_, isRejected = snap.Rejected[name]
	if v == nil && !isRejected {
		fail(c, http.StatusNotFound, "unknown_service", "", "there is no service "+name)
		return
	}
	b := statusBody{Daemon: s.opts.Daemon, Service: name, StoreReachable: snap.StoreReachable,
		Daemons: []daemonBody{}, Events: s.eventsOf("service/"+name, "move/"+name)}
	if v != nil {
		b.Revision, b.Serving, b.Next = v.Revision, v.Doc.Versions.Serving, v.Doc.Versions.Next
		b.Shares = v.Shares
		b.MovePhase, b.MoveReason = phaseNames[v.Move.Phase], v.Move.Reason
		if b.MovePhase != "" {
			b.Move = describeMove(v.Move)
		}
		for _, u := range v.Upstreams {
			b.Upstreams = append(b.Upstreams, upstreamBody{Name: u.Name, Version: u.Version, DataCentre: u.DataCentre,
				State: u.State.String(), Running: u.Running, Waiting: u.Waiting, Incarnation: u.Incarnation})
		}
	}
	if isRejected {
		b.Rejected = &rejectedBody{Revision: rejected.Revision, Team: rejected.Author.Team,
			Operator: rejected.Author.Operator, Problems: rejected.Problems}
	}
	b.InForceEverywhere = b.Revision != 0
	for _, m := range snap.Members {
		d := daemonBody{Name: m.Name, DataCentre: m.DataCentre, Applied: m.Applied,
			InForce: m.Name == s.opts.Daemon || m.Applied >= b.Revision}
		b.InForceEverywhere = b.InForceEverywhere && d.InForce
		b.Daemons = append(b.Daemons, d)
	}
	b.Sentences = statusSentences(&b, v)
	if strings.Contains(c.GetHeader("Accept"), "text/plain") {
		c.String(http.StatusOK, strings.Join(b.Sentences, "\n")+"\n")
		return
	}
	c.JSON(http.StatusOK, b)
}

// eventsOf returns the events of several subjects, oldest first.
func (s *Server) eventsOf(names ...string) []control.Event {
	out := []control.Event{}
	for _, name := range names {
		out = append(out, s.opts.Control.Events().List(name, 0)...)
	}
	slices.SortFunc(out, func(a, b control.Event) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

// statusSentences describes a status in sentences. The view is nil when no
// document of the service is in force.
func statusSentences(b *statusBody, v *node.ServiceView) []string {
	var out []string
	if v == nil {
		out = append(out, fmt.Sprintf("No document of service %s is in force.", b.Service))
	} else {
		line := fmt.Sprintf("Revision %d of service %s is in force at %s. It was written by team %s", b.Revision, b.Service, b.Daemon, v.Author.Team)
		if v.Author.Operator != "" {
			line += " (" + v.Author.Operator + ")"
		}
		out = append(out, line+" at "+v.Author.At.UTC().Format(time.RFC3339)+".")
		out = append(out, fmt.Sprintf("Version %s serves.", b.Serving))
		if b.Next != "" {
			out = append(out, fmt.Sprintf("Version %s is to take over by %s and gets %.1f%% of new requests here.",
				b.Next, v.Doc.Versions.Deadline.UTC().Format(time.RFC3339), 100*b.Shares[b.Next]))
		}
	}
	if v != nil && b.MovePhase != "" && v.Move.Text != "" {
		out = append(out, v.Move.Text)
	}
	if r := b.Rejected; r != nil {
		out = append(out, fmt.Sprintf("Revision %d has mistakes and takes no effect:", r.Revision))
		for _, p := range r.Problems {
			out = append(out, "  "+p.String())
		}
	}
	var unconfirmed []string
	for _, d := range b.Daemons {
		if !d.InForce {
			unconfirmed = append(unconfirmed, d.Name)
		}
	}
	switch {
	case b.Revision == 0:
	case len(unconfirmed) == 0:
		out = append(out, fmt.Sprintf("The revision is in force at all %d live daemons.", max(1, len(b.Daemons))))
	default:
		out = append(out, fmt.Sprintf("The revision is not yet confirmed at %d of %d live daemons: %s.",
			len(unconfirmed), len(b.Daemons), strings.Join(unconfirmed, ", ")))
	}
	for _, u := range b.Upstreams {
		if u.State != node.UpstreamAlive.String() {
			out = append(out, fmt.Sprintf("Upstream %s (version %s, %s) is %s.", u.Name, u.Version, u.DataCentre, u.State))
		}
	}
	if !b.StoreReachable {
		out = append(out, "This daemon cannot reach the key-value service; changes arrive from peers only.")
	}
	return out
}
