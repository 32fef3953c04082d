package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxRawEventBytes bounds the size of one event that is forwarded unchanged. Events
// hold a few tokens.
const MaxRawEventBytes = 64 << 10

// RawEvent is one event with its bytes as they arrived, including the empty
// line that ends it. Comments, empty lines and events without an ID belong to the next
// event, so that bytes of an upstream in trouble are not taken for progress.
type RawEvent struct {
	Bytes []byte
	// ID is the number in the id field; 0 for what follows the last event with an ID.
	ID int64
}

// RawReader splits an event stream without changing its bytes.
type RawReader struct {
	r *bufio.Reader
}

// NewRawReader returns a reader of the stream r.
func NewRawReader(r io.Reader) *RawReader {
	return &RawReader{r: bufio.NewReaderSize(r, ReadBufferBytes)}
}

// Next returns the next event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends inside one.
func (e *RawReader) Next() (RawEvent, error) {
	var ev RawEvent
	// lineStart is where the current line begins in ev.Bytes, inside says that the
	// lines since the last empty one are not ended.
	lineStart, inside := 0, false
	for {
		part, err := e.r.ReadSlice('\n')
		ev.Bytes = append(ev.Bytes, part...)
		if len(ev.Bytes) > MaxRawEventBytes {
			return RawEvent{}, eris.Errorf("no event with an ID in %d bytes", MaxRawEventBytes)
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && (inside || lineStart < len(ev.Bytes)):
			return RawEvent{}, io.ErrUnexpectedEOF
		case err == io.EOF && len(ev.Bytes) > 0:
			return ev, nil
		case err != nil:
			return RawEvent{}, err
		}
		line := bytes.TrimRight(ev.Bytes[lineStart:], "\r\n")
		lineStart = len(ev.Bytes)
		inside = len(line) > 0
		if !inside && ev.ID != 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.ID = id
			}
		}
	}
}
