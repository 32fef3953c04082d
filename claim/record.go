package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// State is the state of a record.
type State string

const (
	// StateClaimed means that only the request with the record's nonce may run,
	// and that it may have run.
	StateClaimed State = "claimed"
	// StateReleased means that no request has run; the next one may claim.
	StateReleased State = "released"
	// StateDone means that the request ran and its outcome is known.
	StateDone State = "done"
)

// Header is one header field of a reply.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Record is the value of a claim in the store.
type Record struct {
	State    State  `json:"state"`
	BodyHash string `json:"body_hash"`
	Nonce    string `json:"nonce"`
	// Daemon is the name of the daemon that wrote the record.
	Daemon string `json:"daemon,omitempty"`
	// Outcome is set in state done.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the reply of the upstream.
type Outcome struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyBytes is the length of the reply's body. It is above len(Body) when
	// the body was too large to store.
	BodyBytes int64 `json:"body_bytes"`
	// HeadersDropped is set when the headers were too large to store.
	HeadersDropped bool `json:"headers_dropped,omitempty"`
}

// Complete reports whether the outcome holds the whole reply.
func (o Outcome) Complete() bool { return int64(len(o.Body)) == o.BodyBytes && !o.HeadersDropped }

// Bounds of what a record stores of a reply.
const (
	// DefaultMaxRecordBody bounds a stored body, in bytes. A full batch of 64
	// records takes 1.4 MB after base64; BatcherOptions.MaxBytes bounds a batch
	// as well.
	DefaultMaxRecordBody = 16 << 10
	// MaxRecordHeaders bounds the names and values of all stored headers
	// together, in bytes.
	MaxRecordHeaders = 4 << 10
)

// truncated returns the outcome as it is stored: without a body that is longer
// than maxBody or incomplete, and without headers above MaxRecordHeaders.
func (o Outcome) truncated(maxBody int) Outcome {
	if len(o.Body) > maxBody || !o.Complete() {
		o.Body = nil
	}
	size := 0
	for _, h := range o.Headers {
		size += len(h.Name) + len(h.Value)
	}
	if size > MaxRecordHeaders {
		o.Headers, o.HeadersDropped = nil, true
	}
	return o
}

// Prefix is the prefix of all claims in the store.
const Prefix = "claims/"

// Shards is the number of shards of the claims. The sweeper lists one shard at
// a time, so that each list is a bounded part of all claims.
const Shards = 256

// ShardPrefix returns the store key prefix of one shard.
func ShardPrefix(shard int) string { return fmt.Sprintf("%s%02x/", Prefix, shard%Shards) }

// StoreKey returns the key of a claim in the store. The caller's idempotency
// key is hashed because it may hold any bytes.
func StoreKey(service, account, key string) string {
	sum := sha256.Sum256([]byte(key))
	h := hex.EncodeToString(sum[:])
	return Prefix + h[:2] + "/" + service + "/" + account + "/" + h
}

// Encode returns the value of a record in the store.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// The type has no field that can fail to encode.
		panic("claim: record does not encode: " + err.Error())
	}
	return b
}

// Decode parses the value of a record. It returns an error for a value that is
// not a record; the caller must then assume that the request ran.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("claim record: %w", err)
	}
	switch r.State {
	case StateClaimed, StateReleased:
	case StateDone:
		if r.Outcome == nil {
			return Record{}, fmt.Errorf("claim record: state done without an outcome")
		}
	default:
		return Record{}, fmt.Errorf("claim record: unknown state %q", r.State)
	}
	return r, nil
}
