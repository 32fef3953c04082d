package gateway

import (
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

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
}
