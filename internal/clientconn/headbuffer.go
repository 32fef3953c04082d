package clientconn

import "sync"

// headChunkBytes is the size of the chunks in which the bytes of an incomplete head are held.
const headChunkBytes = 4 << 10

type headChunk [headChunkBytes]byte

// headChunks holds chunks for reuse: heads without end would otherwise leave more garbage
// than what is held.
var headChunks = sync.Pool{New: func() any { return new(headChunk) }}

// headBuffer is a queue of bytes in chunks. The zero value is empty.
type headBuffer struct {
	chunks []*headChunk
	// first is the position of the first byte in the first chunk, end that after the last byte
	// in the last chunk.
	first, end int
}

// missing returns the number of bytes of the chunks that have to be added for n more bytes.
func (h *headBuffer) missing(n int) int {
	free := 0
	if len(h.chunks) > 0 {
		free = headChunkBytes - h.end
	}
	return (max(n-free, 0) + headChunkBytes - 1) / headChunkBytes * headChunkBytes
}

func (h *headBuffer) add(b []byte) {
	for len(b) > 0 {
		if len(h.chunks) == 0 || h.end == headChunkBytes {
			h.chunks, h.end = append(h.chunks, headChunks.Get().(*headChunk)), 0
		}
		n := copy(h.chunks[len(h.chunks)-1][h.end:], b)
		h.end += n
		b = b[n:]
	}
}

// take moves bytes from the front to b and returns their number.
func (h *headBuffer) take(b []byte) int {
	taken := 0
	for taken < len(b) && len(h.chunks) > 0 {
		end := headChunkBytes
		if len(h.chunks) == 1 {
			end = h.end
		}
		n := copy(b[taken:], h.chunks[0][h.first:end])
		taken += n
		if h.first += n; h.first == end {
			headChunks.Put(h.chunks[0])
			h.chunks[0] = nil
			h.chunks, h.first = h.chunks[1:], 0
		}
	}
	return taken
}

func (h *headBuffer) empty() bool { return len(h.chunks) == 0 }

// clear frees all chunks.
func (h *headBuffer) clear() {
	for _, c := range h.chunks {
		headChunks.Put(c)
	}
	*h = headBuffer{}
}
