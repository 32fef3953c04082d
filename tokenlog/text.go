package tokenlog

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"
)

// Text is an append-only text that is compressed in blocks. It holds what was
// delivered to a caller, which is needed only when an engine is lost. The zero
// value is empty.
type Text struct {
	blocks [][]byte
	tail   []byte
	length int
	size   int // bytes of blocks
}

// blockBytes is a compromise: smaller blocks compress worse, larger ones leave
// more text uncompressed.
const blockBytes = 8 << 10

// Append adds text at the end.
func (t *Text) Append(text string) {
	t.length += len(text)
	for len(text) > 0 {
		n := min(len(text), blockBytes-len(t.tail))
		if need := len(t.tail) + n; need > cap(t.tail) {
			tail := make([]byte, len(t.tail), min(blockBytes, max(need+need/4, 256)))
			copy(tail, t.tail)
			t.tail = tail
		}
		t.tail = append(t.tail, text[:n]...)
		text = text[n:]
		if len(t.tail) == blockBytes {
			t.seal()
		}
	}
}

func (t *Text) seal() {
	var out bytes.Buffer
	// Writes to a buffer and the default level give no errors.
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(t.tail)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(fmt.Sprintf("tokenlog: compression failed: %v", err))
	}
	block := bytes.Clone(out.Bytes())
	t.blocks = append(t.blocks, block)
	t.size += cap(block)
	t.tail = nil
}

// Pack compresses what is not compressed yet, unless it is too short to gain
// by it. It is of use before a long wait.
func (t *Text) Compress() {
	if len(t.tail) >= packBytes {
		t.seal()
	}
}

// packBytes keeps many short waits from making many small blocks.
const packBytes = 2 << 10

// Len returns the length of the text in bytes.
func (t *Text) Len() int { return t.length }

// Size returns the memory that the text holds in bytes.
func (t *Text) Size() int { return t.size + cap(t.tail) }

// String returns the text.
func (t *Text) String() string {
	var out strings.Builder
	out.Grow(t.length)
	for _, b := range t.blocks {
		if _, err := io.Copy(&out, flate.NewReader(bytes.NewReader(b))); err != nil {
			panic(fmt.Sprintf("tokenlog: a compressed block is damaged: %v", err))
		}
	}
	out.Write(t.tail)
	return out.String()
}
