// Package sse reads server-sent event streams.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// MaxLineBytes bounds one line of an event stream. A token is a few bytes; an
// engine that sends more than this without a line end is broken.
const MaxLineBytes = 64 << 10

// Event is one server-sent event.
type Event struct {
	// ID is the value of the id field; HasID tells an empty one from none.
	ID    string
	HasID bool
	Name  string
	Data  []byte
}

// Reader splits an event stream into events. The data of an event is
// valid until the next call of Next.
type Reader struct {
	r    *bufio.Reader
	line []byte
	data []byte
}

// ReaderBytes is the size of the buffer of one stream. It is small because a
// daemon holds one for each generation.
const ReadBufferBytes = 2 << 10

// NewReader returns a reader of the stream r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, ReadBufferBytes)}
}

// Next returns the next event that has data. It returns io.ErrUnexpectedEOF
// when the stream ends, because a complete stream ends with a [DONE] event
// that the caller recognises.
func (e *Reader) Next() (Event, error) {
	var ev Event
	hasData := false
	e.data = e.data[:0]
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				ev.Data = e.data
				return ev, nil
			}
			ev = Event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			ev.ID, ev.HasID = string(value), true
		case "event":
			ev.Name = string(value)
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			if len(e.data)+len(value) > MaxLineBytes {
				return Event{}, eris.Errorf("event is longer than %d bytes", MaxLineBytes)
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// readLine returns one line without its end (LF or CR LF).
func (e *Reader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.line)+len(part) > MaxLineBytes {
			return nil, eris.Errorf("line of the event stream is longer than %d bytes", MaxLineBytes)
		}
		switch err {
		case nil:
			if len(e.line) > 0 {
				e.line = append(e.line, part...)
				part = e.line
			}
			part = part[:len(part)-1]
			return bytes.TrimSuffix(part, []byte("\r")), nil
		case bufio.ErrBufferFull:
			e.line = append(e.line, part...)
		case io.EOF:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
