// Package relay passes the directory of one daemon to others that the store
// does not answer.
package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Path is the address of the content.
const Path = "/v1/directory"

const (
	// dialTimeout bounds the opening of a connection; daemons are a few
	// milliseconds apart.
	dialTimeout = 300 * time.Millisecond
	// peersAsked bounds the daemons that are asked at once. More than one is asked
	// because some of them may not see the store either.
	peersAsked = 3
	// maxWait bounds how long a question is held.
	maxWait = 5 * time.Second
	// wholeReuse is how long a compressed whole content is sent to daemons that know
	// nothing; what is newer they ask for next. Daemons that start together all need
	// it while registrations change several times a second.
	wholeReuse = time.Second
	// maxContentBytes bounds an answer.
	maxContentBytes = 16 << 20
)

// Headers that tell how current the content is. They are not part of the body,
// which is compressed once and sent to many.
const (
	headerAge     = "Directory-Age-Ms"
	headerSettled = "Directory-Settled"
)

type wireEntry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Index   uint64 `json:"index"`
	Deleted bool   `json:"deleted,omitempty"`
}

type wireUpdate struct {
	Revision   uint64      `json:"revision"`
	NearOutage bool        `json:"near_outage"`
	Whole      bool        `json:"whole"`
	Entries    []wireEntry `json:"entries"`
}

// Handler serves the content of a follower. A question is held until there is
// something new, unless this daemon does not see the store.
func Handler(content func() *directory.Content, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	answers := &cache{}
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a revision", http.StatusBadRequest)
			return
		}
		wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
		if err != nil {
			http.Error(w, "wait is not a duration", http.StatusBadRequest)
			return
		}
		c := waitForChange(r.Context(), content, after, min(wait, maxWait))
		a, age := answers.get(c, after, time.Now())
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set(headerAge, strconv.FormatInt(age.Milliseconds(), 10))
		w.Header().Set(headerSettled, strconv.FormatBool(c.UpToDate()))
		if _, err := w.Write(a); err != nil {
			log.Info("content not delivered", "cause", err)
		}
	})
	return mux
}

// cache keeps the last answers: the followers of a data centre ask for the same
// changes at the same time, and daemons that start together for everything.
type cache struct {
	mu             sync.Mutex
	whole, changes answer
}

// answer is a compressed update.
type answer struct {
	content *directory.Content
	after   uint64
	// age is that of the content at the time madeAt.
	age        time.Duration
	madeAt     time.Time
	compressed []byte
}

// get returns the compressed answer and the age of its content. Registrations of
// upstreams are alike and shrink to a fraction, which matters on narrow links.
func (c *cache) get(content *directory.Content, after uint64, now time.Time) ([]byte, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := content.Since(after)
	kept := &c.changes
	if u.Snapshot {
		kept = &c.whole
	}
	switch {
	case kept.content == content && (u.Snapshot || kept.after == after):
		return kept.compressed, u.Age
	case u.Snapshot && kept.content != nil && kept.content.Revision > after && now.Sub(kept.madeAt) < wholeReuse:
		return kept.compressed, kept.age + now.Sub(kept.madeAt)
	}
	*kept = answer{content: content, after: after, age: u.Age, madeAt: now, compressed: compress(u)}
	return kept.compressed, u.Age
}

func compress(u directory.Update) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	err := json.NewEncoder(z).Encode(encode(u))
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		panic(err) // strings and numbers always have a JSON form, and a buffer takes all
	}
	return b.Bytes()
}

func waitForChange(ctx context.Context, content func() *directory.Content, after uint64, wait time.Duration) *directory.Content {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c := content()
		if c.Revision > after || !c.UpToDate() {
			return c
		}
		select {
		case <-c.Changed:
		case <-timer.C:
			return c
		case <-ctx.Done():
			return c
		}
	}
}

func encode(u directory.Update) wireUpdate {
	out := wireUpdate{Revision: u.Revision, NearOutage: u.NearOutage, Whole: u.Snapshot}
	for _, e := range u.Entries {
		out.Entries = append(out.Entries, wireEntry{Key: e.Key, Value: e.Value, Index: e.Index})
	}
	for _, c := range u.Changes {
		out.Entries = append(out.Entries, wireEntry{Key: c.Key, Value: c.Value, Index: c.Index, Deleted: c.Deleted})
	}
	return out
}

func decode(in wireUpdate) directory.Update {
	u := directory.Update{Revision: in.Revision, NearOutage: in.NearOutage, Snapshot: in.Whole}
	for _, e := range in.Entries {
		entry := store.Entry{Key: e.Key, Value: e.Value, Index: e.Index}
		if in.Whole {
			u.Entries = append(u.Entries, entry)
		} else {
			u.Changes = append(u.Changes, store.Change{Entry: entry, Deleted: e.Deleted})
		}
	}
	return u
}

// Client asks other daemons.
type Client struct {
	http *http.Client
	log  *slog.Logger
}

// NewClient returns a client.
func NewClient(log *slog.Logger) *Client {
	return &Client{log: log, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
	}}}
}

// Fetch implements directory.Relay.
func (c *Client) Fetch(ctx context.Context, address string, after uint64, wait, slack time.Duration) (directory.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The answer has to begin in time; its transfer is bounded by the caller.
	begins := time.AfterFunc(wait+slack, cancel)
	defer begins.Stop()
	url := "http://" + address + Path + "?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "make the question")
	}
	res, err := c.http.Do(req)
	if err != nil {
		// All kept connections may have gone silent together.
		c.http.CloseIdleConnections()
		return directory.Update{}, eris.Wrap(err, "ask the daemon")
	}
	defer res.Body.Close()
	begins.Stop()
	if res.StatusCode != http.StatusOK {
		return directory.Update{}, eris.Errorf("daemon answered %d", res.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxContentBytes))
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "read the daemon's answer")
	}
	var in wireUpdate
	if err := json.Unmarshal(b, &in); err != nil {
		return directory.Update{}, eris.Wrap(err, "decode the daemon's answer")
	}
	u := decode(in)
	age, err := strconv.ParseInt(res.Header.Get(headerAge), 10, 64)
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "read the age of the daemon's answer")
	}
	u.Age, u.UpToDate = time.Duration(age)*time.Millisecond, res.Header.Get(headerSettled) == "true"
	return u, nil
}

// FetchAny implements directory.Relay. A daemon that sees the store is
// preferred to one that does not and knows the same.
func (c *Client) FetchAny(ctx context.Context, addresses []string, after uint64, slack time.Duration) (directory.Update, error) {
	addresses = addresses[:min(len(addresses), peersAsked)]
	type result struct {
		u   directory.Update
		err error
	}
	results := make(chan result, len(addresses))
	for _, a := range addresses {
		go func() {
			u, err := c.Fetch(ctx, a, after, 0, slack)
			results <- result{u, err}
		}()
	}
	var best directory.Update
	err := eris.New("no daemon answered")
	for range addresses {
		r := <-results
		if r.err != nil {
			c.log.Info("daemon not reached", "cause", r.err)
			continue
		}
		newer := r.u.Revision > best.Revision || r.u.Revision == best.Revision && r.u.UpToDate
		if err != nil || newer {
			best, err = r.u, nil
		}
	}
	return best, err
}
