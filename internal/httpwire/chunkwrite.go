package httpwire

import "strconv"

const (
	// ChunkPrefixBytes is the room that FrameChunk needs before the content, for the line with the chunk's size. It is
	// enough for chunks of less than 16 MiB.
	ChunkPrefixBytes = 8
	// ChunkSuffixBytes is the room that FrameChunk needs after the content.
	ChunkSuffixBytes = 2
)

// AppendChunkSize appends the line that begins a chunk of n bytes of content (RFC 9112, 7.1) to b and returns the
// extended slice.
func AppendChunkSize(b []byte, n int) []byte {
	b = strconv.AppendInt(b, int64(n), 16)
	return append(b, "\r\n"...)
}

// FrameChunk makes a chunk, in place, of the n bytes of content that are in buf from ChunkPrefixBytes on, and returns the
// part of buf that is the chunk. There has to be room for ChunkSuffixBytes behind the content.
func FrameChunk(buf []byte, n int) []byte {
	var room [ChunkPrefixBytes]byte
	sizeLine := AppendChunkSize(room[:0], n)
	start := ChunkPrefixBytes - len(sizeLine)
	end := ChunkPrefixBytes + n
	copy(buf[start:], sizeLine)
	copy(buf[end:], "\r\n")
	return buf[start : end+ChunkSuffixBytes]
}
