package clientconn

import (
	"bytes"
	"strconv"
	"strings"
)

// maxFieldBytes is how much of a header line is kept to be decoded. The fields that
// frame a body are shorter.
const maxFieldBytes = 128

// fieldBytes is what net/http holds for a header field beside its bytes: its name and value as
// strings, a list of values and an entry of a map.
const fieldBytes = 128

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
	// heads is the number of heads that are complete, and headMemory what net/http may hold
	// for those that were completed since takeHeadMemory was called.
	heads      int
	headMemory int64
	// headBytes and fields are the size and the number of lines of the head that arrives, or
	// that arrived last.
	headBytes, fields int
	// unframed says that the length of the body is not known.
	unframed bool
	// malformed says that the request line of this head is none, so that net/http refuses it.
	malformed bool
}

// inHead reports whether a head has begun to arrive and is not complete.
func (r *requestCounter) inHead() bool {
	return r.part == partRequestLine || r.part == partField && !r.trailer
}

// takeHeadMemory returns what net/http may hold for the heads that were completed since the
// last call, in bytes.
func (r *requestCounter) takeHeadMemory() int64 {
	n := r.headMemory
	r.headMemory = 0
	return n
}

// resync is called when net/http, which has taken the given number of requests, waits for the
// bytes of a head. If the framing says otherwise it was lost, and the next byte begins a request.
func (r *requestCounter) resync(taken int) {
	if r.part != partNone && !r.inHead() {
		r.begun, r.part = taken, partNone
	}
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
				*r = requestCounter{begun: r.begun, heads: r.heads, headMemory: r.headMemory, part: partRequestLine, line: r.line[:0]}
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
	if r.inHead() {
		r.headBytes += len(part)
		if end >= 0 {
			r.headBytes++
		}
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
		r.malformed = len(r.line) < maxFieldBytes && !strings.Contains(line, " HTTP/")
	case partField:
		if !r.trailer {
			r.fields++
		}
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
	framesBody := strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding")
	switch {
	case r.trailer, field == "":
	case framesBody && len(field) >= maxFieldBytes:
		r.unframed = true // the end of the value is not known
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			r.unframed = true
			return
		}
		r.left = n
	case strings.EqualFold(name, "Transfer-Encoding"):
		r.chunked = strings.EqualFold(value, "chunked")
	}
}

// headEnded is called at the end of the head, and of the trailer.
func (r *requestCounter) headEnded() {
	if !r.trailer {
		r.heads++
		r.headMemory += int64(r.headBytes) + int64(r.fields)*fieldBytes
	}
	switch {
	case r.trailer:
		r.part = partNone
	case r.unframed:
		r.part = partUnknown
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
