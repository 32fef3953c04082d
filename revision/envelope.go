package revision

import (
	"encoding/json"
	"fmt"
	"time"
)

// Prefix is the store prefix of accepted documents.
const Prefix = "config/"

// Envelope is the stored value of a document: the document and who wrote it.
type Envelope struct {
	Team     string `json:"team"`
	Operator string `json:"operator,omitempty"`
	// WriteID is unique to one write. By it, the writer can tell whether a write
	// whose answer was lost has taken effect.
	WriteID string `json:"write_id"`
	// Base is the revision that the write replaced, 0 for a new service. It is the one in
	// force if the store was restored and holds an older one.
	Base uint64 `json:"base"`
	// At is when the writer made the change, by its own clock.
	At time.Time `json:"at"`
	// Deleted marks a tombstone.
	Deleted  bool   `json:"deleted,omitempty"`
	Document string `json:"document,omitempty"`
}

// Encode returns the stored form of the envelope.
func (e Envelope) Encode() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		// An envelope has only strings, numbers and a time.
		panic("revision: envelope does not encode: " + err.Error())
	}
	return b
}

// Decode reads the stored form of an envelope.
func Decode(b []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return Envelope{}, fmt.Errorf("stored value is not an envelope with a document: %w", err)
	}
	return e, nil
}
