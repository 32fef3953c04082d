package claim

import (
	"encoding/json"
	"fmt"
	"time"
)

// EpochsKey is the key of the epochs in the store. It is outside Prefix.
const EpochsKey = "claim-epochs"

// Defaults of the retention: a key is remembered for 24 hours at least.
const (
	DefaultEpochDuration = time.Hour
	DefaultKeepEpochs    = 24
)

// Epochs tell the age of records without any clock that daemons would have to
// agree on. A daemon that has seen the same epochs for the length of an epoch
// on its own monotonic clock adds the index of the entry that it saw, by
// compare-and-swap. Each index in the list is therefore at least one epoch
// older than the next, and a record with an index up to the first of n is at
// least n epochs old.
type Epochs struct {
	Ends []uint64 `json:"ends"`
}

// Next returns the epochs after one that ended at the given index, which is the
// index of the entry that holds e.
func (e Epochs) Next(index uint64, keep int) Epochs {
	ends := append(append([]uint64(nil), e.Ends...), index)
	return Epochs{Ends: ends[max(0, len(ends)-keep):]}
}

// Expired tells whether a record with the given index may be deleted. A claimed
// record never expires: its holder may be paused and run when it wakes.
func (e Epochs) Expired(r Record, index uint64, keep int) bool {
	return r.State != StateClaimed && len(e.Ends) >= keep && keep > 0 && index <= e.Ends[len(e.Ends)-keep]
}

// Encode returns the value of the epochs in the store.
func (e Epochs) Encode() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		// The type has no field that can fail to encode.
		panic("claim: epochs do not encode: " + err.Error())
	}
	return b
}

// DecodeEpochs reads the value of the epochs.
func DecodeEpochs(b []byte) (Epochs, error) {
	var e Epochs
	if err := json.Unmarshal(b, &e); err != nil {
		return Epochs{}, fmt.Errorf("claim epochs: %w", err)
	}
	return e, nil
}

// EpochTimer measures on one daemon how long the epochs have not changed.
type EpochTimer struct {
	index uint64
	since time.Time
}

// Due notes the index of the epochs' entry and tells whether the epoch is over.
// now must come from a monotonic clock.
func (t *EpochTimer) Due(now time.Time, index uint64, epoch time.Duration) bool {
	if t.since.IsZero() || t.index != index {
		t.index, t.since = index, now
		return false
	}
	return now.Sub(t.since) >= epoch
}
