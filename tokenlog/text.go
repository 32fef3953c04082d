package tokenlog

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"
)

// Text is an append-only text that is compressed in blocks. It stores the text
// delivered to a caller, which is read only when an engine is lost. The zero value is
// an empty text.
type Text struct {
	blocks         [][]byte
	tail           []byte
	length         int
	compressedSize int // memory of blocks in bytes
}

// blockBytes is the length of a block before compression. Smaller blocks compress
// worse, larger ones leave more text uncompressed.
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
			t.compressTail()
		}
	}
}

// compressTail turns the tail into a compressed block.
func (t *Text) compressTail() {
	var out bytes.Buffer
	// Writing to a buffer at the default level cannot fail.
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
	t.compressedSize += cap(block)
	t.tail = nil
}

// Compress compresses the uncompressed end of the text if it has at least minCompressBytes
// bytes. Call it before a long wait to save memory.
func (t *Text) Compress() {
	if len(t.tail) >= minCompressBytes {
		t.compressTail()
	}
}

// minCompressBytes is the length in bytes from which Compress makes a block. It keeps many
// short waits from making many small blocks.
const minCompressBytes = 2 << 10

// Len returns the length of the text in bytes.
func (t *Text) Len() int { return t.length }

// Size returns the memory that the text holds in bytes.
func (t *Text) Size() int { return t.compressedSize + cap(t.tail) }

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
