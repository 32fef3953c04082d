package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

// runMoves orders moves of plain requests to other versions, one after the other, and
// removes their upstreams at the end. It does nothing while other moves run.
func (s *Soak) runMoves(ctx context.Context, kind FaultKind) {
	if !s.moveMu.TryLock() {
		return
	}
	defer s.moveMu.Unlock()
	defer func() {
		for _, u := range slices.Concat(s.moveTargets, s.laterTargets) {
			s.store.Unregister(u.ID())
		}
	}()
	first := s.runMove(ctx, s.moveTargets, kind != MoveGood, nil)
	if kind == MoveAfterRevert && first.state == "reverted" {
		s.runMove(ctx, s.laterTargets, false, &first)
	}
}

// runMove starts upstreams of a new version, orders a move to it, waits until it is
// completed or reverted, but at most for the sum of moveDuration and moveExtraWait, and
// deletes the order. reverted is an earlier move whose upstreams are still registered.
func (s *Soak) runMove(ctx context.Context, targets []*upstream, bad bool, reverted *move) move {
	s.moves++
	m := move{bad: bad, version: fmt.Sprint("next-", s.moves), from: time.Now(), reverted: reverted}
	for _, u := range targets {
		u.Set(func(b *platformtest.Behaviour) {
			b.Status = 0
			if bad {
				b.Status = http.StatusInternalServerError
			}
		})
		s.store.RegisterVersion(u.Replica, m.version, u.link.address(), u.service, u.zone, "ready")
	}
	s.store.Move("tags", m.version, moveDuration)
	for time.Since(m.from) < moveDuration+moveExtraWait {
		if m.state = s.store.MoveState("tags", m.version); m.state != "" && m.state != "running" {
			break
		}
		if !pause.For(ctx, pollInterval) {
			break
		}
	}
	m.to = time.Now()
	s.store.EndMove("tags")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.moves = append(s.observed.moves, m)
	return m
}
