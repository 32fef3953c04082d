package claim

import (
	"encoding/json"
	"fmt"
	"time"
)

// EpochsKey is the store key of the epochs. It does not begin with Prefix.
const EpochsKey = "claim-epochs"

// Defaults of the retention: a record is kept for at least 24 hours.
const (
	// DefaultEpochDuration is the length of an epoch.
	DefaultEpochDuration = time.Hour
	// DefaultKeepEpochs is the number of epochs that a record is kept.
	DefaultKeepEpochs = 24
)

// Epochs give the age of records without synchronised clocks. A daemon that has
// seen the same epochs for the length of an epoch on its own monotonic clock
// appends the index of the entry that it saw, by compare-and-swap. Each index in
// Ends is therefore at least one epoch older than the next, and a record whose
// index is at most the first of n ends is at least n epochs old.
type Epochs struct {
	Ends []uint64 `json:"ends"`
}

// Next returns the epochs after the current one has ended. The index is that of
// the store entry that holds e. At most keep ends are kept.
func (e Epochs) Next(index uint64, keep int) Epochs {
	ends := append(append([]uint64(nil), e.Ends...), index)
	return Epochs{Ends: ends[max(0, len(ends)-keep):]}
}

// Expired reports whether a record with the given index is at least keep epochs
// old and may be deleted. A claimed record never expires: its holder may be
// paused and run the call when it resumes.
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

// DecodeEpochs parses the value of the epochs in the store.
func DecodeEpochs(b []byte) (Epochs, error) {
	var e Epochs
	if err := json.Unmarshal(b, &e); err != nil {
		return Epochs{}, fmt.Errorf("claim epochs: %w", err)
	}
	return e, nil
}

// EpochTimer measures, on one daemon, the time since the epochs last changed.
type EpochTimer struct {
	index uint64
	since time.Time
}

// Due takes the current index of the epochs' store entry and reports whether it
// has been unchanged for the given epoch duration. now must come from a
// monotonic clock.
func (t *EpochTimer) Due(now time.Time, index uint64, epoch time.Duration) bool {
	if t.since.IsZero() || t.index != index {
		t.index, t.since = index, now
		return false
	}
	return now.Sub(t.since) >= epoch
}
