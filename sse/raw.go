package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxRawEventBytes bounds one event that is passed on as it is.
const MaxRawEventBytes = 256 << 10

// RawEvent is one event with its bytes as they arrived, the empty line that
// ends it included.
type RawEvent struct {
	Bytes []byte
	// ID is the number in the id field; 0 when there is none.
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

// Next returns the next event. It returns io.EOF when the stream ends between
// two events, and io.ErrUnexpectedEOF when it ends inside one.
func (e *RawReader) Next() (RawEvent, error) {
	var ev RawEvent
	for {
		line, err := e.r.ReadSlice('\n')
		ev.Bytes = append(ev.Bytes, line...)
		if len(ev.Bytes) > MaxRawEventBytes {
			return RawEvent{}, eris.Errorf("event is longer than %d bytes", MaxRawEventBytes)
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(ev.Bytes) > 0:
			return RawEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return RawEvent{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.ID = id
			}
		}
	}
}
