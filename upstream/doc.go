// Package upstream sends HTTP/1.1 requests to upstreams over persistent
// connections.
//
// It differs from the transport of net/http where a request must not run twice:
// it never retries a request by itself, it reports whether any byte of a
// request was sent, it discards responses that belong to an earlier request,
// and it does not reuse a connection on which unread bytes remain.
package upstream
