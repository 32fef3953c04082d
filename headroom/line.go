package headroom

import "slices"

// LinePlace is the place of a stream in a Line.
type LinePlace struct {
	// begun streams have events at their clients.
	begun    bool
	priority int
	// work is the number of events that the client has.
	work    int
	ordinal uint64
}

// Line orders the streams that wait to be sent again after the loss of their engines: those
// that were begun first, then by priority, then by the work that would be lost with them.
type Line struct {
	waiting []*LinePlace
	last    uint64
}

// Join adds a stream.
func (l *Line) Join(begun bool, priority, work int) *LinePlace {
	l.last++
	p := &LinePlace{begun, priority, work, l.last}
	i, _ := slices.BinarySearchFunc(l.waiting, p, before)
	l.waiting = slices.Insert(l.waiting, i, p)
	return p
}

// Leave removes a stream.
func (l *Line) Leave(p *LinePlace) {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *LinePlace) bool { return o == p })
}

// First reports whether a stream is the next one.
func (l *Line) First(p *LinePlace) bool { return len(l.waiting) > 0 && l.waiting[0] == p }

// Len returns the number of streams.
func (l *Line) Len() int { return len(l.waiting) }

func before(a, b *LinePlace) int {
	switch {
	case a.begun != b.begun:
		if a.begun {
			return -1
		}
		return 1
	case a.priority != b.priority:
		return a.priority - b.priority
	case a.work != b.work:
		return b.work - a.work
	}
	return int(a.ordinal) - int(b.ordinal)
}
