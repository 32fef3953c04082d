package gateway

import (
	"maps"
	"net/http"
	"strings"
)

// connectionHeaders are the hop-by-hop fields, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length",
}

// RemoveConnectionHeaders deletes the hop-by-hop fields, including those that
// the field Connection lists.
func RemoveConnectionHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// copyResponseHeader copies the fields of an upstream's response, except the hop-by-hop ones,
// and leaves src as it is: the body of the response may still be read.
func copyResponseHeader(dst, src http.Header) {
	src = src.Clone()
	RemoveConnectionHeaders(src)
	maps.Copy(dst, src)
}
