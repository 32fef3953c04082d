package tokenlog

import "encoding/binary"

// Log is a FIFO queue of token texts in one byte slice. Each token takes its text and a
// length prefix, which is one byte for tokens below 128 bytes. The zero value is an
// empty log.
type Log struct {
	buf       []byte
	head      int // offset of the first token
	count     int
	textBytes int // bytes of text without the length prefixes
}

// minRoom is the least unused capacity in bytes after growth. It and the growth by an
// eighth keep the unused capacity small: the doubling of append would hold up to twice
// the text of a stalled caller.
const minRoom = 512

// Append adds a token at the end.
func (l *Log) Append(text string) {
	need := len(text) + binary.MaxVarintLen32
	if cap(l.buf)-len(l.buf) < need {
		l.grow(need)
	}
	l.buf = binary.AppendUvarint(l.buf, uint64(len(text)))
	l.buf = append(l.buf, text...)
	l.count++
	l.textBytes += len(text)
}

// grow moves the tokens to a new slice with room for need more bytes.
func (l *Log) grow(need int) {
	live := len(l.buf) - l.head
	room := max(minRoom, live/8, need)
	buf := make([]byte, live, live+room)
	copy(buf, l.buf[l.head:])
	l.buf, l.head = buf, 0
}

// Shift removes and returns the first token; false means that the log is empty.
func (l *Log) Shift() (string, bool) {
	if l.count == 0 {
		return "", false
	}
	n, w := binary.Uvarint(l.buf[l.head:])
	start := l.head + w
	text := string(l.buf[start : start+int(n)])
	l.head = start + int(n)
	l.count--
	l.textBytes -= len(text)
	if l.count == 0 {
		l.buf, l.head = nil, 0
	}
	return text, true
}

// FirstLen returns the length of the first token in bytes, or 0 if the log is empty.
func (l *Log) FirstLen() int {
	if l.count == 0 {
		return 0
	}
	n, _ := binary.Uvarint(l.buf[l.head:])
	return int(n)
}

// Len returns the number of tokens.
func (l *Log) Len() int { return l.count }

// TextLen returns the total length of the tokens in bytes.
func (l *Log) TextLen() int { return l.textBytes }

// Size returns the memory that the log holds in bytes, including unused capacity.
func (l *Log) Size() int { return cap(l.buf) }

// Text returns the concatenated text of all tokens.
func (l *Log) Text() string {
	out := make([]byte, 0, l.textBytes)
	for at := l.head; at < len(l.buf); {
		n, w := binary.Uvarint(l.buf[at:])
		at += w
		out = append(out, l.buf[at:at+int(n)]...)
		at += int(n)
	}
	return string(out)
}
