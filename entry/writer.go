package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/gooseberryroad/gooseberryroad/cursor"
	"github.com/gooseberryroad/gooseberryroad/recovery"
)

// writer writes the events of a streamed answer. Only its goroutine writes to the
// caller, so that a caller that does not read blocks nothing else.
type writer struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	window      *window
	sealer      *cursor.Stream
	now         func() time.Time
	timeout     time.Duration
	lifetime    time.Duration
	route       route
	id          string // completion ID
	model       string
	created     int64
	position    cursor.Cursor // of the next token; its attempt fields are set for each event
	buf         []byte
	chunkPrefix []byte // from renderChunkPrefix, once needed
	firstChunk  bool   // the next chunk is the first of the answer
}

// batchBytes is the number of rendered bytes after which a write begins. It bounds
// what a blocked writer holds besides the window.
const batchBytes = 2 << 10

// run writes until the stream ends, the window is closed or a write fails.
func (w *writer) run() {
	for !w.window.isClosed() {
		done, err := w.writeBatch()
		if err != nil {
			w.window.fail(err)
			return
		}
		if done {
			return
		}
		<-w.window.wake
	}
}

// writeBatch writes everything that is in the window. It returns true when the
// stream has ended or the window was closed.
func (w *writer) writeBatch() (done bool, err error) {
	for !w.window.isClosed() {
		w.buf = w.buf[:0]
		for len(w.buf) < batchBytes && !done {
			it, ok := w.window.next()
			if !ok {
				break
			}
			if done, err = w.render(it); err != nil {
				return false, err
			}
		}
		if len(w.buf) == 0 {
			return done, nil
		}
		if err := w.rc.SetWriteDeadline(w.now().Add(w.timeout)); err != nil {
			return false, err
		}
		if _, err := w.w.Write(w.buf); err != nil {
			return false, err
		}
		if err := w.rc.Flush(); err != nil {
			return false, err
		}
		if done {
			return true, nil
		}
	}
	return true, nil
}

func (w *writer) render(it item) (done bool, err error) {
	if it.token {
		w.position.Next++
		w.position.Delivered.Write(it.text)
	}
	if it.attempt != nil {
		if err := w.appendCursor(it.attempt); err != nil {
			return false, err
		}
	}
	switch {
	case it.token:
		w.appendChunk(it.text, "")
	case it.end == nil:
		// An event without data only sets the caller's last event ID.
		w.buf = append(w.buf, '\n')
	case it.end.reconnect:
		w.buf = append(w.buf, "event: reconnect\ndata: {}\n\n"...)
		return true, nil
	case it.end.fail != nil:
		f := it.end.fail
		body, err := json.Marshal(map[string]errorBody{"error": failureRefusal(*f).body()})
		if err != nil {
			return false, err
		}
		w.buf = append(w.buf, "event: error\n"...)
		w.appendData(body)
		return true, nil
	default:
		w.appendChunk("", it.end.reason)
		w.buf = append(w.buf, "data: [DONE]\n\n"...)
		return true, nil
	}
	return false, nil
}

func (w *writer) appendCursor(a *attempt) error {
	p := &w.position
	p.Attempt, p.Upstream, p.Version, p.EngineID = a.number, a.upstream, a.version, a.engineID
	p.Expires = w.now().Add(w.lifetime)
	text, err := w.sealer.Seal(*p)
	if err != nil {
		return err
	}
	w.buf = append(w.buf, "id: "...)
	w.buf = append(w.buf, text...)
	w.buf = append(w.buf, '\n')
	return nil
}

func (w *writer) appendData(b []byte) {
	w.buf = append(w.buf, "data: "...)
	w.buf = append(w.buf, b...)
	w.buf = append(w.buf, "\n\n"...)
}

type chunkBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// renderChunkPrefix returns the beginning that all chunks of an answer share.
func (w *writer) renderChunkPrefix() []byte {
	object, open := "text_completion", `{"index":0,"text":`
	if w.route == routeChat {
		object, open = "chat.completion.chunk", `{"index":0,"delta":{"content":`
	}
	var b []byte
	b = append(b, `{"id":`...)
	b = appendString(b, w.id)
	b = append(b, `,"object":`...)
	b = appendString(b, object)
	b = append(b, `,"created":`...)
	b = strconv.AppendInt(b, w.created, 10)
	b = append(b, `,"model":`...)
	b = appendString(b, w.model)
	b = append(b, `,"choices":[`...)
	return append(b, open...)
}

// appendChunk appends one event to the buffer. It does not use encoding/json, because
// that encoder enlarges the stack of the writer's goroutine, and each slow reader
// keeps such a goroutine.
func (w *writer) appendChunk(text, reason string) {
	if w.chunkPrefix == nil {
		w.chunkPrefix = w.renderChunkPrefix()
	}
	w.buf = append(w.buf, "data: "...)
	w.buf = append(w.buf, w.chunkPrefix...)
	w.buf = appendString(w.buf, text)
	if w.route == routeChat {
		if w.firstChunk {
			w.buf = append(w.buf, `,"role":"assistant"`...)
		}
		w.buf = append(w.buf, '}')
	}
	w.firstChunk = false
	w.buf = append(w.buf, `,"finish_reason":`...)
	if reason == "" {
		w.buf = append(w.buf, "null"...)
	} else {
		w.buf = appendString(w.buf, reason)
	}
	w.buf = append(w.buf, "}]}\n\n"...)
}

const hexDigits = "0123456789abcdef"

// appendString appends s as a JSON string. Bytes that are not UTF-8 become U+FFFD.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b = append(b, '\\', byte(r))
		case r == '\n':
			b = append(b, '\\', 'n')
		case r < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[r>>4], hexDigits[r&15])
		default:
			b = utf8.AppendRune(b, r)
		}
	}
	return append(b, '"')
}

// completionBody returns the body of an answer that is not streamed; n is its
// number of tokens.
func completionBody(rt route, id, model string, created int64, text, reason string, n int) chunkBody {
	body := chunkBody{ID: id, Created: created, Model: model, Usage: &usage{CompletionTokens: n}}
	if rt == routeChat {
		body.Object = "chat.completion"
		body.Choices = []any{chatChoice{Message: message{Role: "assistant", Content: text}, FinishReason: &reason}}
	} else {
		body.Object, body.Choices = "text_completion", []any{textChoice{Text: text, FinishReason: &reason}}
	}
	return body
}

func failureRefusal(f recovery.Fail) refusal {
	messages := map[string]string{
		codeQuarantined:             quarantinedMessage,
		recovery.CodeNoUpstream:     "no engine is available",
		recovery.CodeVersionGone:    "no engine of the answer's version is left to continue it",
		recovery.CodeRetryBudget:    "engines are overloaded; the retry budget is used up",
		recovery.CodeRetries:        "the engines that were tried failed",
		recovery.CodeDeadline:       "the deadline of the request passed",
		recovery.CodeGenerationLost: "the generation is lost; send delivered_text, or discard what was delivered and send the request again",
		recovery.CodeRefused:        "the engine refused the request with status " + strconv.Itoa(f.Status),
	}
	return refusal{Status: f.Status, Code: f.Code, Outcome: f.Outcome, Message: messages[f.Code], RetryAfter: f.RetryAfter}
}
