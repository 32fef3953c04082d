package tokenlog

import "encoding/binary"

// Log is a queue of token texts in one byte slice. Each token costs its text
// and a length prefix, which is one byte for tokens below 128 bytes. The zero
// value is an empty log.
type Log struct {
	buf   []byte
	head  int // offset of the first token that was not shifted
	count int
	text  int // bytes of text in the log
}

// minGrow and the growth of an eighth keep the unused capacity small: the
// doubling of append would hold up to twice the text of a stalled caller.
const minGrow = 512

// Append adds a token at the end.
func (l *Log) Append(text string) {
	need := len(text) + binary.MaxVarintLen32
	if cap(l.buf)-len(l.buf) < need {
		l.grow(need)
	}
	l.buf = binary.AppendUvarint(l.buf, uint64(len(text)))
	l.buf = append(l.buf, text...)
	l.count++
	l.text += len(text)
}

func (l *Log) grow(need int) {
	live := len(l.buf) - l.head
	room := max(minGrow, live/8, need)
	buf := make([]byte, live, live+room)
	copy(buf, l.buf[l.head:])
	l.buf, l.head = buf, 0
}

// Shift removes and returns the first token.
func (l *Log) Shift() (string, bool) {
	if l.count == 0 {
		return "", false
	}
	n, w := binary.Uvarint(l.buf[l.head:])
	start := l.head + w
	text := string(l.buf[start : start+int(n)])
	l.head = start + int(n)
	l.count--
	l.text -= len(text)
	if l.count == 0 {
		l.buf, l.head = nil, 0
	}
	return text, true
}

// First returns the length of the first token in bytes, or 0.
func (l *Log) FirstLen() int {
	if l.count == 0 {
		return 0
	}
	n, _ := binary.Uvarint(l.buf[l.head:])
	return int(n)
}

// Len returns the number of tokens.
func (l *Log) Len() int { return l.count }

// TextLen returns the length of the text in bytes.
func (l *Log) TextLen() int { return l.text }

// Size returns the memory that the log holds in bytes, unused capacity
// included.
func (l *Log) Size() int { return cap(l.buf) }

// Text returns the concatenated text of all tokens.
func (l *Log) Text() string {
	out := make([]byte, 0, l.text)
	for at := l.head; at < len(l.buf); {
		n, w := binary.Uvarint(l.buf[at:])
		at += w
		out = append(out, l.buf[at:at+int(n)]...)
		at += int(n)
	}
	return string(out)
}
