// Package relay passes the directory of one daemon over HTTP to the daemons that
// follow it and to those that get no answer from the store.
package relay

import (
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

// Path is the URL path at which the content is served.
const Path = "/v1/directory"

const (
	// dialTimeout bounds the opening of a connection; daemons are a few milliseconds
	// apart.
	dialTimeout = 300 * time.Millisecond
	// maxPeersAsked bounds the daemons that are asked at once. More than one is
	// asked because some of them may not see the store either.
	maxPeersAsked = 3
	// maxWait bounds how long a request is held until there is a change.
	maxWait = 5 * time.Second
	// snapshotReuse is how long a compressed snapshot is reused for daemons that
	// know nothing yet; they ask for newer changes with their next request. Daemons
	// that start together all need a snapshot while registrations change several
	// times a second.
	snapshotReuse = time.Second
	// maxContentBytes bounds the body of an answer after decompression.
	maxContentBytes = 16 << 20
)

// Headers that tell how current the content is. They are not part of the body,
// which is compressed once and sent to many daemons.
const (
	headerAge           = "Directory-Age-Ms"
	headerUpToDate      = "Directory-Settled"
	headerSinceRecovery = "Directory-Since-Recovery-Ms"
)

type wireEntry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Index   uint64 `json:"index"`
	Deleted bool   `json:"deleted,omitempty"`
}

type wireUpdate struct {
	Revision   uint64 `json:"revision"`
	NearOutage bool   `json:"near_outage"`
	// RecoveryRevision is missing in the answers of older daemons.
	RecoveryRevision uint64      `json:"recovery_revision,omitempty"`
	Snapshot         bool        `json:"whole"`
	Entries          []wireEntry `json:"entries"`
}

// Handler serves the content of a follower. A request is held until there is a
// change or a new confirmation by the store, unless this daemon does not see the
// store.
func Handler(content func() *directory.Content, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	cached := &answerCache{}
	mux.HandleFunc("POST "+ConfigPath, handleConfig(content, log))
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
		c := directory.Await(r.Context(), content, after, min(wait, maxWait))
		compressed, age := cached.get(c, after, time.Now())
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set(headerAge, strconv.FormatInt(age.Milliseconds(), 10))
		w.Header().Set(headerUpToDate, strconv.FormatBool(c.UpToDate()))
		w.Header().Set(headerSinceRecovery, strconv.FormatInt(c.SinceRecovery().Milliseconds(), 10))
		if _, err := w.Write(compressed); err != nil {
			log.Info("directory content not delivered", "cause", err)
		}
	})
	return mux
}

// answerCache keeps the last compressed answers: the followers of a data centre
// ask for the same changes at the same time, and daemons that start together all
// ask for a snapshot.
type answerCache struct {
	mu                sync.Mutex
	snapshot, changes answer
}

// answer is a compressed update.
type answer struct {
	content *directory.Content
	after   uint64
	// age is the age of the content at the time madeAt.
	age        time.Duration
	madeAt     time.Time
	compressed []byte
}

// get returns the compressed answer and the age of its content. Registrations of
// upstreams resemble each other and compress to a fraction of their size, which
// matters on narrow links.
func (c *answerCache) get(content *directory.Content, after uint64, now time.Time) ([]byte, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := content.Since(after)
	slot := &c.changes
	if u.Snapshot {
		slot = &c.snapshot
	}
	switch {
	case slot.content == content && (u.Snapshot || slot.after == after):
		return slot.compressed, u.Age
	case u.Snapshot && slot.content != nil && slot.content.SameState(content) && slot.content.Revision > after && now.Sub(slot.madeAt) < snapshotReuse:
		return slot.compressed, slot.age + now.Sub(slot.madeAt)
	}
	*slot = answer{content: content, after: after, age: u.Age, madeAt: now, compressed: compressJSON(encode(u))}
	return slot.compressed, u.Age
}

func encode(u directory.Update) wireUpdate {
	out := wireUpdate{Revision: u.Revision, NearOutage: u.NearOutage, RecoveryRevision: u.RecoveryRevision, Snapshot: u.Snapshot}
	for _, e := range u.Entries {
		out.Entries = append(out.Entries, wireEntry{Key: e.Key, Value: e.Value, Index: e.Index})
	}
	for _, c := range u.Changes {
		out.Entries = append(out.Entries, wireEntry{Key: c.Key, Value: c.Value, Index: c.Index, Deleted: c.Deleted})
	}
	return out
}

func decode(wire wireUpdate) directory.Update {
	u := directory.Update{Revision: wire.Revision, NearOutage: wire.NearOutage, RecoveryRevision: wire.RecoveryRevision, Snapshot: wire.Snapshot}
	for _, e := range wire.Entries {
		entry := store.Entry{Key: e.Key, Value: e.Value, Index: e.Index}
		if wire.Snapshot {
			u.Entries = append(u.Entries, entry)
		} else {
			u.Changes = append(u.Changes, store.Change{Entry: entry, Deleted: e.Deleted})
		}
	}
	return u
}

// Client fetches the directory from other daemons.
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
	// The timer bounds the time until the answer begins; the caller bounds the
	// transfer.
	startTimer := time.AfterFunc(wait+slack, cancel)
	defer startTimer.Stop()
	url := "http://" + address + Path + "?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "make the request")
	}
	res, err := c.http.Do(req)
	if err != nil {
		// All idle connections may have become unusable together.
		c.http.CloseIdleConnections()
		return directory.Update{}, eris.Wrap(err, "send the request to the daemon")
	}
	defer res.Body.Close()
	startTimer.Stop()
	if res.StatusCode != http.StatusOK {
		return directory.Update{}, eris.Errorf("daemon answered %d", res.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxContentBytes+1))
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "read the daemon's answer")
	}
	if len(b) > maxContentBytes {
		return directory.Update{}, eris.Errorf("the daemon's answer is longer than %d bytes", maxContentBytes)
	}
	var wire wireUpdate
	if err := json.Unmarshal(b, &wire); err != nil {
		return directory.Update{}, eris.Wrap(err, "decode the daemon's answer")
	}
	u := decode(wire)
	age, err := strconv.ParseInt(res.Header.Get(headerAge), 10, 64)
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "read the age of the daemon's answer")
	}
	u.Age, u.UpToDate = time.Duration(age)*time.Millisecond, res.Header.Get(headerUpToDate) == "true"
	// A daemon of an older build does not send it: its outage counts from now on.
	if text := res.Header.Get(headerSinceRecovery); u.NearOutage && text != "" {
		since, err := strconv.ParseInt(text, 10, 64)
		if err != nil || since < 0 {
			return directory.Update{}, eris.Errorf("time since the store's recovery %q is not a number of milliseconds", text)
		}
		u.SinceRecovery = time.Duration(since) * time.Millisecond
	}
	return u, nil
}

// FetchAny implements directory.Relay. Of two answers with the same revision it
// prefers that of a daemon that sees the store.
func (c *Client) FetchAny(ctx context.Context, addresses []string, after uint64, slack time.Duration) (directory.Update, error) {
	addresses = addresses[:min(len(addresses), maxPeersAsked)]
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
			c.log.Info("directory not fetched from a daemon", "cause", r.err)
			continue
		}
		newer := r.u.Revision > best.Revision || r.u.Revision == best.Revision && r.u.UpToDate
		if err != nil || newer {
			best, err = r.u, nil
		}
	}
	return best, err
}
