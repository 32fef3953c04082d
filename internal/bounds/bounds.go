// Package bounds adds up the timers that keep a promise together, so that a promise with
// a time can be compared with what the timers of several packages come to.
//
//gooseberryroad:pure
package bounds

import (
	"fmt"
	"strings"
	"time"
)

// Link is one step on the way to keeping a promise.
type Link struct {
	Name string
	// Longest is the longest time that the step takes while the system is sound.
	Longest time.Duration
}

// Chain is the steps that follow one another until a promise is kept, in the worst case
// that it covers.
type Chain struct {
	Promise string
	// Bound is the time that the promise allows.
	Bound time.Duration
	Links []Link
}

// Sum returns the longest time that all links take.
func (c Chain) Sum() time.Duration {
	var sum time.Duration
	for _, l := range c.Links {
		sum += l.Longest
	}
	return sum
}

// Margin returns what is left of the bound; it is negative if the promise cannot be kept.
func (c Chain) Margin() time.Duration { return c.Bound - c.Sum() }

// String returns the links and their sum, as in "confirmation 800ms + call 700ms = 1.5s".
func (c Chain) String() string {
	parts := make([]string, len(c.Links))
	for i, l := range c.Links {
		parts[i] = fmt.Sprintf("%s %s", l.Name, l.Longest)
	}
	return fmt.Sprintf("%s = %s", strings.Join(parts, " + "), c.Sum())
}
