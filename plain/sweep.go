package plain

import (
	"context"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Deleter is a store that can delete keys.
type Deleter interface {
	// CompareAndDelete deletes a key if it has the given index. It returns
	// store.ErrConflict if the key has another index.
	CompareAndDelete(ctx context.Context, key string, index uint64) error
}

// Sweeper deletes the expired records of claims. Several sweepers may run on one
// store at the same time.
type Sweeper struct {
	store     store.Store
	deleter   Deleter
	clock     Clock
	timer     claim.EpochTimer
	nextShard int
}

// NewSweeper returns a sweeper of s. If s is not a Deleter, expired records are
// counted but not deleted. A nil clock is the system's.
func NewSweeper(s store.Store, clock Clock) *Sweeper {
	if clock == nil {
		clock = systemClock{}
	}
	d, _ := s.(Deleter)
	return &Sweeper{store: s, deleter: d, clock: clock}
}

// SweepStats counts the records of one shard. Claimed, Expired and Deleted are
// parts of Seen.
type SweepStats struct{ Seen, Claimed, Expired, Deleted int }

// Sweep ends the current epoch if its time is over, and then sweeps the next of
// claim.Shards shards. It makes two reads, at most one write, and one call for
// each expired record. It is not safe for concurrent use.
func (s *Sweeper) Sweep(ctx context.Context) (SweepStats, error) {
	var stats SweepStats
	epochs, err := s.currentEpochs(ctx)
	if err != nil {
		return stats, err
	}
	shard := s.nextShard
	entries, _, err := s.store.List(ctx, claim.ShardPrefix(shard), 0, 0)
	if err != nil {
		return stats, eris.Wrap(err, "list claims")
	}
	s.nextShard = (shard + 1) % claim.Shards
	for _, e := range entries {
		stats.Seen++
		r, err := claim.Decode(e.Value)
		if err != nil || !strings.HasPrefix(e.Key, claim.Prefix) {
			continue
		}
		if r.State == claim.StateClaimed {
			stats.Claimed++
		}
		if !epochs.Expired(r, e.Index, claim.DefaultKeepEpochs) {
			continue
		}
		stats.Expired++
		if s.deleter == nil {
			continue
		}
		switch err := s.deleter.CompareAndDelete(ctx, e.Key, e.Index); {
		case err == nil:
			stats.Deleted++
		case errors.Is(err, store.ErrConflict):
			// The record was claimed again after the list was read.
		default:
			return stats, eris.Wrap(err, "delete claim")
		}
	}
	return stats, nil
}

// currentEpochs reads the epochs and ends the current epoch if its time is over.
// It returns the epochs as they were read.
func (s *Sweeper) currentEpochs(ctx context.Context) (claim.Epochs, error) {
	e, err := s.store.Get(ctx, claim.EpochsKey)
	if errors.Is(err, store.ErrNotFound) {
		_, err = s.store.CompareAndSwap(ctx, claim.EpochsKey, claim.Epochs{}.Encode(), 0)
		if errors.Is(err, store.ErrConflict) {
			err = nil
		}
		return claim.Epochs{}, eris.Wrap(err, "create claim epochs")
	}
	if err != nil {
		return claim.Epochs{}, eris.Wrap(err, "read claim epochs")
	}
	epochs, err := claim.DecodeEpochs(e.Value)
	if err != nil {
		return claim.Epochs{}, err
	}
	if s.timer.Due(s.clock.Now(), e.Index, claim.DefaultEpochDuration) {
		// On a conflict another sweeper has ended the epoch.
		_, err = s.store.CompareAndSwap(ctx, claim.EpochsKey, epochs.Next(e.Index, claim.DefaultKeepEpochs).Encode(), e.Index)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return epochs, eris.Wrap(err, "write claim epochs")
		}
	}
	return epochs, nil
}
