package completions

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/sse"
)

// chunk is a decoded event of a generation.
type chunk struct {
	// done is set for the event [DONE].
	done         bool
	hasToken     bool
	index        int
	text         string
	finishReason string
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

// parseChunk decodes one event. A token without an index is an error, because its
// position in the answer would be unknown.
func parseChunk(ev sse.Event) (chunk, error) {
	if string(bytes.TrimSpace(ev.Data)) == "[DONE]" {
		return chunk{done: true}, nil
	}
	var b chunkBody
	if err := json.Unmarshal(ev.Data, &b); err != nil {
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
		c.finishReason = *f
	}
	switch c.finishReason {
	case "", engine.FinishStop, engine.FinishLength:
	default:
		// Reasons such as "abort" mean that the answer is incomplete.
		return chunk{}, eris.Errorf("engine ended the generation with finish reason %q", c.finishReason)
	}
	if c.hasToken {
		if !ev.HasID {
			return chunk{}, eris.New("event of the engine has a token but no id")
		}
		n, err := strconv.Atoi(ev.ID)
		if err != nil || n < 0 {
			return chunk{}, eris.Errorf("event of the engine has the id %q instead of a token index", ev.ID)
		}
		c.index = n
	}
	return c, nil
}
