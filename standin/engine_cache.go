package standin

import (
	"container/list"
	"hash/fnv"
	"strings"
	"time"
)

// CacheBlock is the number of prompt words in one block of the prefix cache.
const CacheBlock = 16

// CacheEvent reports that a block entered or left the prefix cache.
type CacheEvent struct {
	Seq  uint64    `json:"seq"`
	At   time.Time `json:"at"`
	Kind string    `json:"kind"` // "stored" or "removed"
	// Block is the hash of all words up to the end of the block; see
	// CacheBlocks.
	Block uint64 `json:"block"`
}

// CacheBlocks returns one hash for each complete block of a prompt's words; it
// covers all words up to the end of the block. Two prompts share a cached
// prefix up to the first hash that differs.
func CacheBlocks(words []string) []uint64 {
	blocks := make([]uint64, 0, len(words)/CacheBlock)
	h := fnv.New64a()
	for i, w := range words {
		_, _ = h.Write([]byte(w))
		_, _ = h.Write([]byte{' '})
		if (i+1)%CacheBlock == 0 {
			blocks = append(blocks, h.Sum64())
		}
	}
	return blocks
}

// PromptWords splits a prompt into the words that the engine counts as tokens.
func PromptWords(prompt string) []string {
	return strings.Fields(prompt)
}

// maxCacheEvents is the number of cache events above which the older half is
// dropped.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	capacity int // blocks
	delay    time.Duration
	gap      int        // drops every gap-th event; 0 drops none
	order    *list.List // of uint64, most recent first
	blocks   map[uint64]*list.Element
	seq      uint64
	events   []CacheEvent
}

func newPrefixCache(tokens int, delay time.Duration, gap int) *prefixCache {
	return &prefixCache{
		capacity: max(0, tokens) / CacheBlock, delay: delay, gap: gap,
		order: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// lookup returns how many of the leading words are cached.
func (c *prefixCache) lookup(words []string) int {
	n := 0
	for _, b := range CacheBlocks(words) {
		el, ok := c.blocks[b]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		n += CacheBlock
	}
	return n
}

func (c *prefixCache) insert(words []string, now time.Time) {
	if c.capacity == 0 {
		return
	}
	blocks := CacheBlocks(words)
	// The first blocks are inserted last and so are the most recently used:
	// the ends of prefixes are evicted before their beginnings.
	for i := len(blocks) - 1; i >= 0; i-- {
		if el, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
		c.recordEvent("stored", blocks[i], now)
	}
	for len(c.blocks) > c.capacity {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, b)
		c.recordEvent("removed", b, now)
	}
}

// recordEvent numbers an event and keeps it, unless it is dropped for the gap.
func (c *prefixCache) recordEvent(kind string, block uint64, now time.Time) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, At: now, Kind: kind, Block: block})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// published returns the sequence number of the last published event, or 0.
func (c *prefixCache) published(now time.Time) uint64 {
	for i := len(c.events) - 1; i >= 0; i-- {
		if now.Sub(c.events[i].At) >= c.delay {
			return c.events[i].Seq
		}
	}
	return 0
}

// since returns the published events after a sequence number. An event is
// published once it is at least delay old.
func (c *prefixCache) since(seq uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, ev := range c.events {
		if ev.Seq > seq && now.Sub(ev.At) >= c.delay {
			out = append(out, ev)
		}
	}
	return out
}
