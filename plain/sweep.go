package plain

import (
	"context"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Deleter is a store that deletes a key if it has the given index. It returns
// store.ErrConflict if the key has another one.
type Deleter interface {
	CompareAndDelete(ctx context.Context, key string, index uint64) error
}

// Sweeper deletes old records of claims. Several may run at the same time.
type Sweeper struct {
	store   store.Store
	deleter Deleter
	clock   Clock
	timer   claim.EpochTimer
	shard   int
}

// NewSweeper returns a sweeper of s. Records are only counted if s is no
// Deleter.
func NewSweeper(s store.Store, clock Clock) *Sweeper {
	if clock == nil {
		clock = systemClock{}
	}
	d, _ := s.(Deleter)
	return &Sweeper{store: s, deleter: d, clock: clock}
}

// Swept counts the records of one shard.
type SweepStats struct{ Seen, Claimed, Expired, Deleted int }

// Sweep ends an epoch if its time is over and sweeps the next of claim.Shards
// shards. It costs two reads, at most one write, and one call for each deleted
// record. It is called by one goroutine.
func (s *Sweeper) Sweep(ctx context.Context) (SweepStats, error) {
	var n SweepStats
	epochs, err := s.epochs(ctx)
	if err != nil {
		return n, err
	}
	shard := s.shard
	entries, _, err := s.store.List(ctx, claim.ShardPrefix(shard), 0, 0)
	if err != nil {
		return n, eris.Wrap(err, "list claims")
	}
	s.shard = (shard + 1) % claim.Shards
	for _, e := range entries {
		n.Seen++
		r, err := claim.Decode(e.Value)
		if err != nil || !strings.HasPrefix(e.Key, claim.Prefix) {
			continue
		}
		if r.State == claim.StateClaimed {
			n.Claimed++
		}
		if !epochs.Expired(r, e.Index, claim.DefaultKeepEpochs) {
			continue
		}
		n.Expired++
		if s.deleter == nil {
			continue
		}
		switch err := s.deleter.CompareAndDelete(ctx, e.Key, e.Index); {
		case err == nil:
			n.Deleted++
		case errors.Is(err, store.ErrConflict):
			// The record has been claimed again.
		default:
			return n, eris.Wrap(err, "delete claim")
		}
	}
	return n, nil
}

// epochs reads the epochs and ends the current one if it is over.
func (s *Sweeper) epochs(ctx context.Context) (claim.Epochs, error) {
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
		// Another sweeper may have ended the epoch first; its write counts.
		_, err = s.store.CompareAndSwap(ctx, claim.EpochsKey, epochs.Next(e.Index, claim.DefaultKeepEpochs).Encode(), e.Index)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return epochs, eris.Wrap(err, "write claim epochs")
		}
	}
	return epochs, nil
}
