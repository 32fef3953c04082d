// Package consulkv is the driver for key-value services that serve the published
// Consul KV HTTP API.
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

// Options configure a Client. A time that is zero or negative takes its default.
type Options struct {
	// Address is the HOST:PORT of the service.
	Address string
	// Timeout bounds one call. For a watch, the bound is twice its wait plus
	// Timeout. The default is 2 s; the service responds in milliseconds.
	Timeout time.Duration
	// DialTimeout bounds the time to open a connection. The default is 1 s.
	DialTimeout time.Duration
}

const (
	// maxListBytes bounds the body of a response, of which lists are the largest.
	maxListBytes = 256 << 20
	// maxTxnValueBytes is the largest value that CompareAndSwap sends in a
	// transaction. The published limit of a transaction's body is 512 KB by
	// default, and base64 makes a value a third larger.
	maxTxnValueBytes = 256 << 10
)

// Client implements store.Store. It never retries a call.
type Client struct {
	options Options
	// callTransport pools connections. All idle ones are closed after a failure,
	// because they may have stopped responding together.
	callTransport *http.Transport
	// watchTransport opens a connection for each watch.
	watchTransport *http.Transport
}

var _ store.Store = (*Client)(nil)

// New returns a client.
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
	c := &Client{options: o, callTransport: transport(), watchTransport: transport()}
	c.watchTransport.DisableKeepAlives = true
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

// callError is the failure of a call. It wraps an error of package store and its
// cause. Its text is sent to operators in responses of the HTTP API.
type callError struct {
	kind  error
	cause error
}

func (e *callError) Error() string { return fmt.Sprintf("%v: %v", e.kind, e.cause) }

func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// response is a response of the service. The index is 0 if the service sent none.
type response struct {
	status int
	index  uint64
	body   []byte
}

// call makes one call and reads its response. A write fails with store.ErrUnknown if
// it may have been sent and its response is missing, invalid or has a status of 500
// or above. All other failures are store.ErrUnavailable. A response with
// a status below 500 is returned.
func (c *Client) call(ctx context.Context, t *http.Transport, timeout time.Duration, write bool, method, path string, q url.Values, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport asks for another connection only if it sent nothing on
		// the previous one.
		GetConn: func(string) { connected = false },
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	callFailure := func(cause error) error {
		t.CloseIdleConnections()
		if write && connected {
			return &callError{store.ErrUnknown, cause}
		}
		return &callError{store.ErrUnavailable, cause}
	}
	u := url.URL{Scheme: "http", Host: c.options.Address, Path: path, RawQuery: q.Encode()}
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), rd)
	if err != nil {
		return response{}, &callError{store.ErrUnavailable, err}
	}
	res, err := t.RoundTrip(req)
	if err != nil {
		return response{}, callFailure(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	switch {
	case err != nil:
		return response{}, callFailure(err)
	case len(b) > maxListBytes:
		return response{}, callFailure(eris.Errorf("answer is larger than %d bytes", maxListBytes))
	case res.StatusCode >= 500:
		// The service reports a lost leader with 500, even if the write was
		// already forwarded.
		return response{}, callFailure(statusError(res.StatusCode, b))
	}
	out := response{status: res.StatusCode, body: b}
	if v := res.Header.Get("X-Consul-Index"); v != "" {
		if out.index, err = strconv.ParseUint(v, 10, 64); err != nil {
			return response{}, callFailure(eris.Wrap(err, "X-Consul-Index"))
		}
	}
	return out, nil
}

// statusError describes a response that is not a success.
func statusError(status int, body []byte) error {
	const maxShownBytes = 200
	if len(body) > maxShownBytes {
		body = body[:maxShownBytes]
	}
	return eris.Errorf("service answered %d: %s", status, bytes.TrimSpace(body))
}

// rejectedError is the failure of a call that the service refused without effect,
// for example because of its rate limit.
func rejectedError(res response) error {
	return &callError{store.ErrUnavailable, statusError(res.status, res.body)}
}

// Get implements store.Store. It reads in consistent mode, because callers read a
// key back to learn whether a write with a lost response took effect.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	res, err := c.call(ctx, c.callTransport, c.options.Timeout, false, http.MethodGet, "/v1/kv/"+key, url.Values{"consistent": {""}}, nil)
	switch {
	case err != nil:
		return store.Entry{}, err
	case res.status == http.StatusNotFound:
		return store.Entry{}, store.ErrNotFound
	case res.status != http.StatusOK:
		return store.Entry{}, rejectedError(res)
	}
	entries, err := parseEntries(res.body)
	if err != nil {
		return store.Entry{}, &callError{store.ErrUnavailable, err}
	}
	if len(entries) != 1 || entries[0].Key != key {
		return store.Entry{}, &callError{store.ErrUnavailable, eris.Errorf("answer does not hold the key %q", key)}
	}
	return entries[0], nil
}

// List implements store.Store. A watch uses a connection of its own and fails with
// store.ErrUnavailable when there is no response after twice its wait plus the
// timeout of a call, because the connection may have stopped responding for good.
func (c *Client) List(ctx context.Context, prefix string, waitIndex uint64, wait time.Duration) ([]store.Entry, uint64, error) {
	q := url.Values{"recurse": {""}}
	t, timeout := c.callTransport, c.options.Timeout
	if waitIndex > 0 {
		q.Set("index", strconv.FormatUint(waitIndex, 10))
		q.Set("wait", strconv.FormatInt(max(1, wait.Milliseconds()), 10)+"ms")
		t, timeout = c.watchTransport, 2*wait+c.options.Timeout
	}
	res, err := c.call(ctx, t, timeout, false, http.MethodGet, "/v1/kv/"+prefix, q, nil)
	if err != nil {
		return nil, 0, err
	}
	var entries []store.Entry
	switch res.status {
	case http.StatusNotFound:
	case http.StatusOK:
		if entries, err = parseEntries(res.body); err != nil {
			return nil, 0, &callError{store.ErrUnavailable, err}
		}
	default:
		return nil, 0, rejectedError(res)
	}
	// The API's documentation asks clients to treat index 0 as 1, because a
	// query with index 0 does not wait.
	return entries, max(1, res.index), nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, eris.Errorf("value of %s has %d bytes; at most %d are accepted", key, len(value), store.MaxValueBytes)
	}
	if len(value) > maxTxnValueBytes {
		return c.putLarge(ctx, key, value, index)
	}
	// A transaction returns the new index. After a PUT with cas, the index would
	// have to be read with another call, which may see a later write.
	results, err := c.Txn(ctx, []store.Op{{Key: key, Value: value, Index: index}})
	if err != nil {
		return 0, err
	}
	return results[0].Index, nil
}

// putLarge writes a value that is too large for a transaction and reads the key
// back to learn its index.
func (c *Client) putLarge(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	q := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	res, err := c.call(ctx, c.callTransport, c.options.Timeout, true, http.MethodPut, "/v1/kv/"+key, q, value)
	switch {
	case err != nil:
		return 0, err
	case res.status != http.StatusOK:
		return 0, rejectedError(res)
	}
	switch string(bytes.TrimSpace(res.body)) {
	case "true":
	case "false":
		return 0, store.ErrConflict
	default:
		return 0, &callError{store.ErrUnknown, statusError(res.status, res.body)}
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

// txnOp is an element of the request body of PUT /v1/txn, txnResponse the response
// body.
type txnOp struct {
	KV txnKV
}

type txnKV struct {
	Verb  string
	Key   string
	Value []byte
	Index uint64
}

type txnResponse struct {
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
	res, err := c.call(ctx, c.callTransport, c.options.Timeout, true, http.MethodPut, "/v1/txn", nil, b)
	if err != nil {
		return nil, err
	}
	switch res.status {
	case http.StatusOK, http.StatusConflict:
	default:
		return nil, rejectedError(res)
	}
	results, err := parseTxn(res.body, ops, res.status == http.StatusOK)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return nil, &callError{store.ErrUnknown, err}
	}
	return results, err
}

// parseTxn parses the response to the transaction ops; ok says that its status was a
// success. For a transaction that took no effect, parseTxn returns store.ErrConflict
// with the results that name the conflicts. Any other error means that the response
// is invalid.
func parseTxn(b []byte, ops []store.Op, ok bool) ([]store.OpResult, error) {
	var t txnResponse
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

// parseEntries parses the response to GET /v1/kv/.
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
