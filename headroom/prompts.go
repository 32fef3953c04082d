package headroom

import (
	"cmp"
	"slices"
	"time"
)

const (
	// HeldFor is how long after its last use a part of a prompt is taken to be held by an
	// engine.
	HeldFor = 10 * time.Second
	// maxHeldParts bounds the parts that are remembered for an engine. A daemon sends an
	// engine a few prompts of some parts within HeldFor.
	maxHeldParts = 64
)

// heldPart is a part of a prompt that an engine read.
type heldPart struct {
	tokens int
	usedAt time.Time
}

// Holds records that an engine is known to hold the prompt of a request.
func (t *Tracker) Holds(id string, r Request, now time.Time) {
	t.holds(t.engine(id, r.Service), r.Parts, now)
}

// holds records that an engine has read the parts of a prompt.
func (t *Tracker) holds(e *engine, parts []Part, now time.Time) {
	for _, p := range parts {
		if p.ID == "" || p.Tokens <= 0 {
			return
		}
		e.parts[p.ID] = &heldPart{tokens: p.Tokens, usedAt: now}
	}
	for id, p := range e.parts {
		if now.Sub(p.usedAt) > HeldFor {
			delete(e.parts, id)
		}
	}
	for len(e.parts) > maxHeldParts {
		oldest := ""
		for id, p := range e.parts {
			if o := e.parts[oldest]; o == nil || p.usedAt.Before(o.usedAt) || p.usedAt.Equal(o.usedAt) && id < oldest {
				oldest = id
			}
		}
		delete(e.parts, oldest)
	}
}

// held returns how many tokens of a prompt an engine still holds: those of its first parts.
// An engine can use a part again only after the same parts before it.
func (t *Tracker) held(e *engine, parts []Part, now time.Time) int {
	tokens := 0
	if e == nil {
		return 0
	}
	for _, p := range parts {
		h := e.parts[p.ID]
		if h == nil || now.Sub(h.usedAt) > HeldFor {
			break
		}
		tokens += min(h.tokens, p.Tokens)
	}
	return tokens
}

// maxSentParts bounds the parts of prompts that were sent to any engine.
const maxSentParts = 4096

// uncertain returns how many tokens of a prompt an engine may hold because of requests of
// other daemons: those of parts that this daemon has sent to other engines lately. It notes the
// parts of this prompt.
func (t *Tracker) uncertain(e *engine, r Request, now time.Time) int {
	tokens := 0
	for _, p := range r.Parts {
		held := e.parts[p.ID]
		if at, ok := t.sentParts[p.ID]; ok && now.Sub(at) <= HeldFor && (held == nil || now.Sub(held.usedAt) > HeldFor) {
			tokens += p.Tokens
		}
		t.sentParts[p.ID] = now
	}
	if len(t.sentParts) > maxSentParts {
		for id, at := range t.sentParts {
			if now.Sub(at) > HeldFor {
				delete(t.sentParts, id)
			}
		}
		if len(t.sentParts) > maxSentParts {
			clear(t.sentParts)
		}
	}
	return tokens
}

// Holders returns the engines of a service that are known to hold parts of a prompt, at most
// limit, those that hold the most first.
func (t *Tracker) Holders(r Request, limit int, now time.Time) []string {
	type holder struct {
		id     string
		tokens int
		load   int
	}
	var found []holder
	for id, e := range t.engines {
		if e.service != r.Service {
			continue
		}
		if tokens := t.held(e, r.Parts, now); tokens > 0 {
			found = append(found, holder{id, tokens, len(e.sent)})
		}
	}
	slices.SortFunc(found, func(a, b holder) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.load, b.load), cmp.Compare(a.id, b.id))
	})
	var out []string
	for _, h := range found[:min(len(found), limit)] {
		out = append(out, h.id)
	}
	return out
}
