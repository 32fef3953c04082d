// Package consulkv is the driver of key-value services that speak the
// published Consul KV HTTP API.
package consulkv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/kernel"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// ID is the module ID of this driver.
const ID = "store.consulkv"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func(o kernel.Options) (any, error) {
		return newFromParams(o)
	}})
}

// Options configure a Client. A zero field has the default.
type Options struct {
	// Address is the HOST:PORT of the service.
	Address string
	// Timeout bounds one call; a watch may last this much longer than twice
	// its wait. The default is 2 s; the service answers in milliseconds.
	Timeout time.Duration
	// DialTimeout bounds the opening of a connection; 1 s.
	DialTimeout time.Duration
}

const (
	// maxListBytes bounds the answer of a list.
	maxListBytes = 256 << 20
	// maxTxnValueBytes is the largest value that CompareAndSwap sends in a
	// transaction. The published limit of a transaction's body is 512 KB by
	// default, and base64 makes a value a third larger.
	maxTxnValueBytes = 256 << 10
)

// Client implements store.Store. It makes no call twice.
type Client struct {
	o Options
	// calls pools connections. They are dropped after a failure, because all
	// of them may have gone silent together.
	calls *http.Transport
	// watches opens one connection for each watch.
	watches *http.Transport
}

var _ store.Store = (*Client)(nil)

// New makes a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	c := &Client{o: o, calls: transport(), watches: transport()}
	c.watches.DisableKeepAlives = true
	return c
}

func newFromParams(k kernel.Options) (*Client, error) {
	if _, _, err := net.SplitHostPort(k.Address); err != nil {
		return nil, eris.Errorf("address must be HOST:PORT, not %q", k.Address)
	}
	o := Options{Address: k.Address}
	err := kernel.ParseDurations(k.Params, map[string]*time.Duration{"timeout": &o.Timeout, "dial_timeout": &o.DialTimeout})
	if err != nil {
		return nil, err
	}
	return New(o), nil
}

// callError is the failure of a call: one of the errors of package store with
// its cause.
type callError struct {
	kind  error
	cause error
}

func (e *callError) Error() string { return fmt.Sprintf("%v: %v", e.kind, e.cause) }

func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// answer is what the service answered.
type answer struct {
	status int
	index  uint64
	body   []byte
}

// call makes one call and reads its answer. A write whose answer is missing,
// or is an error of the server, fails with store.ErrUnknown unless nothing
// was sent; everything else fails with store.ErrUnavailable.
func (c *Client) call(ctx context.Context, t *http.Transport, timeout time.Duration, write bool, method, path string, q url.Values, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport asks for another connection only when nothing was
		// sent on the one before.
		GetConn: func(string) { connected = false },
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	fail := func(cause error) error {
		t.CloseIdleConnections()
		if write && connected {
			return &callError{store.ErrUnknown, cause}
		}
		return &callError{store.ErrUnavailable, cause}
	}
	u := url.URL{Scheme: "http", Host: c.o.Address, Path: path, RawQuery: q.Encode()}
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), rd)
	if err != nil {
		return answer{}, &callError{store.ErrUnavailable, err}
	}
	res, err := t.RoundTrip(req)
	if err != nil {
		return answer{}, fail(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	switch {
	case err != nil:
		return answer{}, fail(err)
	case len(b) > maxListBytes:
		return answer{}, fail(eris.Errorf("answer is larger than %d bytes", maxListBytes))
	case res.StatusCode >= 500:
		// The service reports a lost leader with 500, also after the write was
		// passed on.
		return answer{}, fail(statusError(res.StatusCode, b))
	}
	a := answer{status: res.StatusCode, body: b}
	if v := res.Header.Get("X-Consul-Index"); v != "" {
		if a.index, err = strconv.ParseUint(v, 10, 64); err != nil {
			return answer{}, fail(eris.Wrap(err, "X-Consul-Index"))
		}
	}
	return a, nil
}

// statusError describes an answer that is no success.
func statusError(status int, body []byte) error {
	const shown = 200
	if len(body) > shown {
		body = body[:shown]
	}
	return eris.Errorf("service answered %d: %s", status, bytes.TrimSpace(body))
}

// rejected is the failure of a call that the service refused without effect,
// for example because of its rate limit.
func rejected(a answer) error {
	return &callError{store.ErrUnavailable, statusError(a.status, a.body)}
}

// Get implements store.Store. It reads in consistent mode, because a lost
// answer to a write is resolved by reading the key back.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	a, err := c.call(ctx, c.calls, c.o.Timeout, false, http.MethodGet, "/v1/kv/"+key, url.Values{"consistent": {""}}, nil)
	switch {
	case err != nil:
		return store.Entry{}, err
	case a.status == http.StatusNotFound:
		return store.Entry{}, store.ErrNotFound
	case a.status != http.StatusOK:
		return store.Entry{}, rejected(a)
	}
	entries, err := parseEntries(a.body)
	if err != nil {
		return store.Entry{}, &callError{store.ErrUnavailable, err}
	}
	if len(entries) != 1 || entries[0].Key != key {
		return store.Entry{}, &callError{store.ErrUnavailable, eris.Errorf("answer does not hold the key %q", key)}
	}
	return entries[0], nil
}

// List implements store.Store. A watch has a connection of its own and fails
// with store.ErrUnavailable after twice its wait, because a connection may
// have gone silent for good.
func (c *Client) List(ctx context.Context, prefix string, waitIndex uint64, wait time.Duration) ([]store.Entry, uint64, error) {
	q := url.Values{"recurse": {""}}
	t, timeout := c.calls, c.o.Timeout
	if waitIndex > 0 {
		q.Set("index", strconv.FormatUint(waitIndex, 10))
		q.Set("wait", strconv.FormatInt(max(1, wait.Milliseconds()), 10)+"ms")
		t, timeout = c.watches, 2*wait+c.o.Timeout
	}
	a, err := c.call(ctx, t, timeout, false, http.MethodGet, "/v1/kv/"+prefix, q, nil)
	if err != nil {
		return nil, 0, err
	}
	var entries []store.Entry
	switch a.status {
	case http.StatusNotFound:
	case http.StatusOK:
		if entries, err = parseEntries(a.body); err != nil {
			return nil, 0, &callError{store.ErrUnavailable, err}
		}
	default:
		return nil, 0, rejected(a)
	}
	// The API's documentation asks clients to treat index 0 as 1, because a
	// query with index 0 does not wait.
	return entries, max(1, a.index), nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, eris.Errorf("value of %s has %d bytes; at most %d are accepted", key, len(value), store.MaxValueBytes)
	}
	if len(value) > maxTxnValueBytes {
		return c.putLarge(ctx, key, value, index)
	}
	// A transaction returns the new index; a PUT with cas would need a read
	// after it, which is another call and may see a later write.
	results, err := c.Txn(ctx, []store.Op{{Key: key, Value: value, Index: index}})
	if err != nil {
		return 0, err
	}
	return results[0].Index, nil
}

// putLarge writes a value that is too large for a transaction and reads the
// key back for its index.
func (c *Client) putLarge(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	q := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	a, err := c.call(ctx, c.calls, c.o.Timeout, true, http.MethodPut, "/v1/kv/"+key, q, value)
	switch {
	case err != nil:
		return 0, err
	case a.status != http.StatusOK:
		return 0, rejected(a)
	}
	switch string(bytes.TrimSpace(a.body)) {
	case "true":
	case "false":
		return 0, store.ErrConflict
	default:
		return 0, &callError{store.ErrUnknown, statusError(a.status, a.body)}
	}
	e, err := c.Get(ctx, key)
	if err != nil {
		return 0, &callError{store.ErrUnknown, eris.Wrap(err, "read the index of a large value")}
	}
	if !bytes.Equal(e.Value, value) {
		return 0, &callError{store.ErrUnknown, eris.New("another write followed before the index was read")}
	}
	return e.Index, nil
}

// txnOp and txnAnswer are the bodies of PUT /v1/txn.
type txnOp struct {
	KV txnKV
}

type txnKV struct {
	Verb  string
	Key   string
	Value []byte
	Index uint64
}

type txnAnswer struct {
	Results []struct {
		KV *struct {
			Key         string
			ModifyIndex uint64
		}
	}
	Errors []struct {
		OpIndex int
		What    string
	}
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, ops []store.Op) ([]store.OpResult, error) {
	if len(ops) == 0 || len(ops) > store.MaxTxnOps {
		return nil, eris.Errorf("transaction has %d operations; 1 to %d are accepted", len(ops), store.MaxTxnOps)
	}
	body := make([]txnOp, len(ops))
	for i, op := range ops {
		if len(op.Value) > store.MaxValueBytes {
			return nil, eris.Errorf("value of %s has %d bytes; at most %d are accepted", op.Key, len(op.Value), store.MaxValueBytes)
		}
		body[i].KV = txnKV{Verb: "cas", Key: op.Key, Value: op.Value, Index: op.Index}
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode the transaction")
	}
	a, err := c.call(ctx, c.calls, c.o.Timeout, true, http.MethodPut, "/v1/txn", nil, b)
	if err != nil {
		return nil, err
	}
	switch a.status {
	case http.StatusOK, http.StatusConflict:
	default:
		return nil, rejected(a)
	}
	results, err := parseTxn(a.body, ops, a.status == http.StatusOK)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return nil, &callError{store.ErrUnknown, err}
	}
	return results, err
}

// parseTxn reads the answer of a transaction. It returns store.ErrConflict
// with the results of a transaction that took no effect, and any other error
// when the answer does not make sense.
func parseTxn(b []byte, ops []store.Op, ok bool) ([]store.OpResult, error) {
	var t txnAnswer
	if err := json.Unmarshal(b, &t); err != nil {
		return nil, eris.Wrap(err, "answer of the transaction is not valid JSON")
	}
	results := make([]store.OpResult, len(ops))
	if !ok {
		if len(t.Errors) == 0 {
			return nil, eris.New("transaction failed without an error")
		}
		for _, e := range t.Errors {
			if e.OpIndex < 0 || e.OpIndex >= len(ops) {
				return nil, eris.Errorf("transaction failed at operation %d of %d", e.OpIndex, len(ops))
			}
			results[e.OpIndex].Conflict = true
		}
		return results, store.ErrConflict
	}
	if len(t.Results) != len(ops) {
		return nil, eris.Errorf("transaction of %d operations has %d results", len(ops), len(t.Results))
	}
	for i, r := range t.Results {
		if r.KV == nil || r.KV.Key != ops[i].Key || r.KV.ModifyIndex == 0 {
			return nil, eris.Errorf("result %d of the transaction does not name its key and index", i)
		}
		results[i].Index = r.KV.ModifyIndex
	}
	return results, nil
}

// parseEntries reads the answer of GET /v1/kv/.
func parseEntries(b []byte) ([]store.Entry, error) {
	var raw []struct {
		Key         string
		Value       []byte
		ModifyIndex uint64
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return nil, eris.Wrap(err, "answer is not a valid list of entries")
	}
	entries := make([]store.Entry, len(raw))
	for i, r := range raw {
		if r.ModifyIndex == 0 {
			return nil, eris.Errorf("entry %q has no index", r.Key)
		}
		entries[i] = store.Entry{Key: r.Key, Value: r.Value, Index: r.ModifyIndex}
	}
	return entries, nil
}
