package completions

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/engine"
)

// maxLineBytes bounds one line of an event stream. A token is a few bytes; an
// engine that sends more than this without a line end is broken.
const maxLineBytes = 64 << 10

// event is one server-sent event.
type event struct {
	id    string
	hasID bool
	name  string
	data  []byte
}

// eventReader splits an event stream into events. The data of an event is
// valid until the next call of next.
type eventReader struct {
	r    *bufio.Reader
	line []byte
	data []byte
}

// readerBytes is the size of the buffer of one stream. It is small because a
// daemon holds one for each generation.
const readerBytes = 2 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readerBytes)}
}

// next returns the next event that has data. It returns io.ErrUnexpectedEOF
// when the stream ends, because a complete stream ends with a [DONE] event
// that the caller recognises.
func (e *eventReader) next() (event, error) {
	var ev event
	hasData := false
	e.data = e.data[:0]
	for {
		line, err := e.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if hasData {
				ev.data = e.data
				return ev, nil
			}
			ev = event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			ev.id, ev.hasID = string(value), true
		case "event":
			ev.name = string(value)
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			if len(e.data)+len(value) > maxLineBytes {
				return event{}, eris.Errorf("event is longer than %d bytes", maxLineBytes)
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// readLine returns one line without its end (LF or CR LF).
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.line)+len(part) > maxLineBytes {
			return nil, eris.Errorf("line of the event stream is longer than %d bytes", maxLineBytes)
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

// chunk is what one event of a generation says.
type chunk struct {
	done     bool
	hasToken bool
	index    int
	text     string
	finish   string
}

type chunkBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Code    any    `json:"code"`
	Outcome string `json:"outcome"`
}

// parseChunk reads the data of one event. A token without an index is an
// error, because its place in the answer would be a guess.
func parseChunk(ev event) (chunk, error) {
	if string(bytes.TrimSpace(ev.data)) == "[DONE]" {
		return chunk{done: true}, nil
	}
	var b chunkBody
	if err := json.Unmarshal(ev.data, &b); err != nil {
		return chunk{}, eris.Wrap(err, "event of the engine is not valid JSON")
	}
	if b.Error != nil {
		return chunk{}, eris.Errorf("engine ended the generation with an error: %s", b.Error.Message)
	}
	if len(b.Choices) != 1 {
		return chunk{}, eris.Errorf("event of the engine has %d choices instead of 1", len(b.Choices))
	}
	c := chunk{text: b.Choices[0].Text, hasToken: b.Choices[0].Text != ""}
	if f := b.Choices[0].FinishReason; f != nil {
		c.finish = *f
	}
	switch c.finish {
	case "", engine.FinishStop, engine.FinishLength:
	default:
		// Reasons such as "abort" mean that the answer is not whole.
		return chunk{}, eris.Errorf("engine ended the generation with finish reason %q", c.finish)
	}
	if c.hasToken {
		if !ev.hasID {
			return chunk{}, eris.New("event of the engine has a token but no id")
		}
		n, err := strconv.Atoi(ev.id)
		if err != nil || n < 0 {
			return chunk{}, eris.Errorf("event of the engine has the id %q instead of a token index", ev.id)
		}
		c.index = n
	}
	return c, nil
}
