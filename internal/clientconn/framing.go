package clientconn

import (
	"bytes"
	"strconv"
	"strings"
)

// maxFieldBytes is how much of a header line is kept to be decoded. The fields that
// frame a body are shorter.
const maxFieldBytes = 128

// framePart is a part of an HTTP/1.1 request.
type framePart int

const (
	partNone framePart = iota // between two requests
	partRequestLine
	partField // the header fields, and the trailer fields after the last chunk
	partBody  // a body, or the data of a chunk, whose rest has known length
	partChunkSize
	partChunkEnd // the line end after the data of a chunk
	partUnknown  // the bytes cannot be framed
)

// requestCounter counts the requests that begin in the bytes of a client's connection. It
// reads no more of them than where requests end: net/http decides whether they are valid.
type requestCounter struct {
	// begun is the number of requests of which at least one byte arrived.
	begun int
	part  framePart
	// line holds the beginning of a line that has not ended, field the last field of a head,
	// which the next line may continue.
	line  []byte
	field string
	// left is the number of bytes of the body, or of the chunk, that have not arrived.
	left             int64
	chunked, trailer bool
}

// add counts the requests that begin in b.
func (r *requestCounter) add(b []byte) {
	for len(b) > 0 {
		switch r.part {
		case partUnknown:
			return
		case partNone:
			// Clients may send empty lines after a request.
			if b = bytes.TrimLeft(b, "\r\n"); len(b) > 0 {
				r.begun++
				*r = requestCounter{begun: r.begun, part: partRequestLine, line: r.line[:0]}
			}
		case partBody:
			n := min(r.left, int64(len(b)))
			b, r.left = b[n:], r.left-n
			if r.left == 0 {
				r.bodyEnded()
			}
		default:
			b = r.addToLine(b)
		}
	}
}

// addToLine adds bytes to the current line, up to its end, and returns the rest.
func (r *requestCounter) addToLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	r.line = append(r.line, part[:min(len(part), maxFieldBytes-len(r.line))]...)
	if end < 0 {
		return nil
	}
	r.lineEnded(strings.TrimRight(string(r.line), "\r"))
	r.line = r.line[:0]
	return b[end+1:]
}

func (r *requestCounter) lineEnded(line string) {
	switch r.part {
	case partRequestLine:
		r.part = partField
	case partField:
		if r.field != "" && (strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")) {
			r.field += line[:min(len(line), max(maxFieldBytes-len(r.field), 0))]
			return
		}
		r.addField(r.field)
		r.field = line
		if line == "" && r.part == partField {
			r.headEnded()
		}
	case partChunkEnd:
		r.part = partChunkSize
	case partChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		switch {
		case err != nil || n < 0:
			r.part = partUnknown
		case n == 0:
			r.part, r.trailer = partField, true
		default:
			r.part, r.left = partBody, n
		}
	}
}

func (r *requestCounter) addField(field string) {
	name, value, _ := strings.Cut(field, ":")
	value = strings.TrimSpace(value)
	switch {
	case r.trailer, field == "":
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			r.part = partUnknown
			return
		}
		r.left = n
	case strings.EqualFold(name, "Transfer-Encoding"):
		r.chunked = strings.EqualFold(value, "chunked")
	}
}

// headEnded is called at the end of the head, and of the trailer.
func (r *requestCounter) headEnded() {
	switch {
	case r.trailer:
		r.part = partNone
	case r.chunked:
		r.part = partChunkSize
	case r.left > 0:
		r.part = partBody
	default:
		r.part = partNone
	}
}

func (r *requestCounter) bodyEnded() {
	r.part = partNone
	if r.chunked {
		r.part = partChunkEnd
	}
}
