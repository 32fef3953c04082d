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

// maxStrayAnswers bounds the answers of earlier requests that are skipped
// before a connection is given up.
const maxStrayAnswers = 4

// inlineBodyBytes is the largest body that is written before the answer is
// read. A longer one could fill the connection's windows while the upstream
// answers early and does not read.
const inlineBodyBytes = 4 << 10

// readerBytes is the size of a connection's read buffer. It bounds what an
// answer's headers may hold ahead, and a daemon has one for each request.
const readerBytes = 4 << 10

// ErrNotSent reports that no byte of a request was sent: it has not run.
var ErrNotSent = errors.New("request was not sent")

// ErrUnreached reports that no connection could be opened in time. The request
// was not sent.
var ErrConnectTimeout = errors.New("no connection in time")

// Request is one request to one upstream.
type Request struct {
	Address string
	Method  string
	// Target is the request line's path and query, sent as it is.
	Target string
	Host   string
	Header http.Header
	// Body is nil for requests without one.
	Body []byte
	// Belongs reports whether an answer is to this request, by its headers.
	Matches func(http.Header) bool
	// MaxIdle bounds how long a kept connection may have been idle; 0 is no bound
	// but the pool's own.
	MaxIdle time.Duration
}

// Answer is the answer of an upstream. Body must be closed; it returns io.EOF
// only when the answer is complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

type conn struct {
	net.Conn
	addr      string
	br        *bufio.Reader
	idleSince time.Time
	expires   time.Time
	closed    atomic.Bool
}

func newConn(nc net.Conn, addr string) *conn {
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readerBytes)}
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// The connection is given up; there is no one to tell about an error.
		_ = c.Conn.Close()
	}
}

func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	if !now.Before(c.expires) || maxIdle > 0 && now.Sub(c.idleSince) > maxIdle {
		return false
	}
	return c.br.Buffered() == 0 && quiet(c.Conn)
}

// Do sends a request and returns the head of its answer. The end of ctx closes
// the connection, also while the body is read, so that the upstream stops.
// An error that wraps ErrNotSent says that the request has not run; after any
// other error it may have run.
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
	res, err := readAnswer(c, r)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	body := &answerBody{pool: p, conn: c, res: res, stop: stop, written: written}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// send writes the head and the body. A long body is written beside the reading
// of the answer.
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

// readAnswer reads heads until one belongs to the request.
func readAnswer(c *conn, r Request) (*http.Response, error) {
	for range maxStrayAnswers {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(res.Header) {
			return res, nil
		}
		if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, eris.New("answer of another request without length")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, eris.Wrap(err, "skip answer of another request")
		}
	}
	return nil, eris.New("too many answers of other requests")
}

// answerBody returns the connection to the pool once the answer is complete.
type answerBody struct {
	pool    *Pool
	conn    *conn
	res     *http.Response
	stop    func() bool
	written <-chan error
	done    bool
}

func (b *answerBody) Read(buf []byte) (int, error) {
	n, err := b.res.Body.Read(buf)
	if err == io.EOF {
		b.finish(true)
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

func (b *answerBody) Close() error {
	b.finish(false)
	return nil
}

func (b *answerBody) finish(complete bool) {
	if b.done {
		return
	}
	b.done = true
	undisturbed := b.stop()
	if !complete || !undisturbed || b.res.Close || b.conn.br.Buffered() > 0 || !b.requestWritten() {
		b.conn.close()
		return
	}
	b.pool.put(b.conn, b.pool.keepFor(b.res.Header))
}

// requestWritten reports whether the whole request was sent. A connection on
// which the upstream still waits for body bytes cannot carry another request.
func (b *answerBody) requestWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// keepFor reads how long the upstream keeps an idle connection.
func (p *Pool) keepFor(h http.Header) time.Duration {
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
