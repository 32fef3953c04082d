package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// maxResponsesPerRequest bounds the responses that are read for one request,
// including informational ones and those to earlier requests, before the
// connection is given up.
const maxResponsesPerRequest = 4

// inlineBodyBytes is the size of the largest body that is written before the
// response is read. Writing a longer one could block on full TCP windows while
// the upstream responds early and does not read the body.
const inlineBodyBytes = 4 << 10

// readBufferBytes is the size of a connection's read buffer. It bounds how far
// a response is read ahead, and a daemon has one buffer for each request in
// flight.
const readBufferBytes = 4 << 10

// maxHeadBytes bounds the head of a response, and what is read of its body together
// with it.
const maxHeadBytes = 64 << 10

// maxSkippedBytes bounds the body of a response to another request, which is read
// only so that the next response can be.
const maxSkippedBytes = 1 << 20

// errHeadTooLong reports a response whose head is longer than maxHeadBytes.
var errHeadTooLong = errors.New("response head is too long")

// errNoOrderlyEnd reports the end of a response without a length for which nothing proves
// that the upstream ended it in order.
var errNoOrderlyEnd = errors.New("connection ended while the request was written, without proof that the response is complete")

// ErrNotSent reports that no byte of a request was sent, so that the request
// has not run.
var ErrNotSent = errors.New("request was not sent")

// ErrMalformed reports a response that is none by its status: one outside 100 to 599, an
// informational one with a body, or 101, which no request asks for. Its length cannot be
// trusted, so that nothing that follows it is read. The request may have run.
var ErrMalformed = errors.New("malformed response")

// maxStatus is the largest status of a response.
const maxStatus = 599

// ErrConnectTimeout reports that no connection could be opened in time. The
// request was not sent.
var ErrConnectTimeout = errors.New("no connection to the upstream within the time allowed")

// Request is one request to one upstream.
type Request struct {
	Address string
	Method  string
	// Target is the path and the query of the request line, sent unchanged.
	Target string
	Host   string
	Header http.Header
	// Body is nil for requests without one.
	Body []byte
	// Matches reports whether a response with these headers belongs to this
	// request. If it is nil, every response does.
	Matches func(http.Header) bool
	// Identified reports whether a response with these headers says to which request it
	// belongs. On a connection on which one did, a response that does not is an error. If it
	// is nil, responses need not say so.
	Identified func(http.Header) bool
	// CloseAfter reports whether the connection is closed after a complete response. If it
	// is nil, the connection may be kept.
	CloseAfter func(status int, h http.Header) bool
	// MaxIdle bounds how long a reused connection may have been idle; 0 leaves only
	// the pool's own bound.
	MaxIdle time.Duration
}

// Response is the response of an upstream. Body must be closed; its Read
// returns io.EOF only if the response is complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

type conn struct {
	net.Conn
	addr      string
	input     *boundedReader
	br        *bufio.Reader
	idleSince time.Time
	expires   time.Time
	closed    atomic.Bool
	// identified is set once a response said to which request it belongs.
	identified bool
}

func newConn(nc net.Conn, addr string) *conn {
	input := &boundedReader{r: nc}
	return &conn{Conn: nc, addr: addr, input: input, br: bufio.NewReaderSize(input, readBufferBytes)}
}

// boundedReader fails with errHeadTooLong once it has read as many bytes as limit
// allowed, until unlimit is called.
type boundedReader struct {
	r       io.Reader
	limited bool
	left    int
}

func (b *boundedReader) limit(n int) { b.limited, b.left = true, n }

func (b *boundedReader) unlimit() { b.limited = false }

func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.limited {
		return b.r.Read(p)
	}
	if b.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// The error is ignored because the connection is given up.
		_ = c.Conn.Close()
	}
}

func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	if !now.Before(c.expires) || maxIdle > 0 && now.Sub(c.idleSince) > maxIdle {
		return false
	}
	return c.br.Buffered() == 0 && openAndEmpty(c.Conn)
}

// Do sends a request and returns the head of its response. When ctx ends, the
// connection is closed, also while the body is being read, so that the upstream
// stops. An error that wraps ErrNotSent means that the request has not run;
// after any other error it may have run.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.get(ctx, r.Address, r.MaxIdle)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil, errors.Join(ErrNotSent, ErrConnectTimeout, err)
		}
		return nil, errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, c.close)
	written := make(chan error, 1)
	if err := send(c, r, written); err != nil {
		stop()
		c.close()
		return nil, err
	}
	res, err := readResponse(c, r)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	body := &responseBody{pool: p, conn: c, res: res, stop: stop, written: written, keepFor: p.keepAliveTime(res.Header)}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// send writes the head and the body. A long body is written concurrently with
// the reading of the response; the result of the write is sent to written.
func send(c *conn, r Request, written chan<- error) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), inlineBodyBytes))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Join(ErrNotSent, err)
	}
	if r.Body != nil || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	rest := r.Body
	if len(rest) <= inlineBodyBytes {
		b.Write(rest)
		rest = nil
	}
	n, err := c.Write(b.Bytes())
	if err != nil {
		if n == 0 {
			return errors.Join(ErrNotSent, err)
		}
		return eris.Wrap(err, "send request")
	}
	if rest == nil {
		written <- nil
		return nil
	}
	go func() {
		_, err := c.Write(rest)
		written <- err
	}()
	return nil
}

// readResponse reads responses until one belongs to the request.
func readResponse(c *conn, r Request) (*http.Response, error) {
	for range maxResponsesPerRequest {
		c.input.limit(maxHeadBytes)
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		c.input.unlimit()
		if err != nil {
			return nil, eris.Wrap(err, "read response")
		}
		if err := checkStatus(res); err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(res.Header) {
			return res, c.attribute(res, r)
		}
		if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, eris.New("response to another request has no length")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes+1))
		switch {
		case err != nil:
			return nil, eris.Wrap(err, "skip response to another request")
		case n > maxSkippedBytes:
			return nil, eris.Errorf("response to another request is longer than %d bytes", maxSkippedBytes)
		}
	}
	return nil, eris.New("too many informational responses or responses to other requests")
}

// checkStatus returns an error that wraps ErrMalformed if a response has a status that no
// response to these requests can have, or announces a body that its status excludes.
func checkStatus(res *http.Response) error {
	switch {
	case res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus:
		return eris.Wrapf(ErrMalformed, "status %d", res.StatusCode)
	case res.StatusCode == http.StatusSwitchingProtocols:
		return eris.Wrap(ErrMalformed, "status 101 to a request that asks for no other protocol")
	case res.StatusCode < http.StatusOK && hasBody(res):
		return eris.Wrapf(ErrMalformed, "informational status %d with a body", res.StatusCode)
	}
	return nil
}

// hasBody reports whether the head of a response announces a body.
func hasBody(res *http.Response) bool {
	length := strings.TrimSpace(res.Header.Get("Content-Length"))
	return len(res.TransferEncoding) > 0 || length != "" && length != "0"
}

// attribute returns an error if a response may belong to an earlier request, and marks
// it as the last one of its connection if the request wants that.
func (c *conn) attribute(res *http.Response, r Request) error {
	if r.Identified != nil {
		identified := r.Identified(res.Header)
		if !identified && c.identified {
			return eris.New("response does not say to which request it belongs")
		}
		c.identified = c.identified || identified
	}
	res.Close = res.Close || r.CloseAfter != nil && r.CloseAfter(res.StatusCode, res.Header)
	return nil
}

// responseBody returns the connection to the pool once the response is
// complete.
type responseBody struct {
	pool    *Pool
	conn    *conn
	res     *http.Response
	stop    func() bool
	written <-chan error
	// keepFor is how long the connection may be idle afterwards. It is read with the head
	// because the caller may change the header while another goroutine reads the body.
	keepFor time.Duration
	// writeEnded is set once the result of the write, writeErr, was received from written.
	writeEnded bool
	writeErr   error
	done       bool
	// endErr is what Read returns after the end.
	endErr error
}

func (b *responseBody) Read(buf []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.res.Body.Read(buf)
	if err == io.EOF && !b.endedInOrder() {
		err = errors.Join(errNoOrderlyEnd, b.writeErr, io.ErrUnexpectedEOF)
	}
	b.endErr = err
	if err == io.EOF {
		b.finish(true)
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(complete bool) {
	if b.done {
		return
	}
	b.done = true
	notCancelled := b.stop()
	if !complete || !notCancelled || b.res.Close || b.conn.br.Buffered() > 0 || !b.requestWritten() {
		b.conn.close()
		return
	}
	b.pool.put(b.conn, b.keepFor)
}

// endedInOrder reports whether the end of the body that was read is the end of the response.
// A length or a last chunk proves it. A response without either ends with the connection, and
// the end of the connection is orderly if the upstream closed it, not if it reset it. The
// kernel reports a reset to one call only: a write that fails takes it, and the next read
// reports an ordinary end. So while the request is not written completely, or if its write
// failed, the end of the connection proves nothing by itself; then the response is complete
// only if the kernel has the upstream's FIN and no reset.
func (b *responseBody) endedInOrder() bool {
	delimitedByClose := b.res.ContentLength < 0 && len(b.res.TransferEncoding) == 0 && b.res.Body != http.NoBody
	return !delimitedByClose || b.requestWritten() || closedByPeer(b.conn.Conn)
}

// requestWritten reports whether the whole request was sent. A connection on
// which the upstream still waits for bytes of the body cannot carry another
// request.
func (b *responseBody) requestWritten() bool {
	if !b.writeEnded {
		select {
		case b.writeErr = <-b.written:
			b.writeEnded = true
		default:
		}
	}
	return b.writeEnded && b.writeErr == nil
}

// keepAliveTime returns how long an idle connection may be kept: the timeout in
// the upstream's Keep-Alive header less IdleMargin, or else MaxIdleTime.
func (p *Pool) keepAliveTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil {
				return time.Duration(s)*time.Second - p.o.IdleMargin
			}
		}
	}
	return p.o.MaxIdleTime
}
