package httpwire

import "strconv"

const (
	// ChunkPrefixBytes is the space that FrameChunk requires before the content, for the line with the chunk's size. It
	// is sufficient for chunks of less than 16 MiB.
	ChunkPrefixBytes = 8
	// ChunkSuffixBytes is the space that FrameChunk requires after the content, for the CRLF.
	ChunkSuffixBytes = 2
)

// AppendChunkSize appends the size line of a chunk with n bytes of content (RFC 9112, 7.1) to b and returns the
// extended slice.
func AppendChunkSize(b []byte, n int) []byte {
	b = strconv.AppendInt(b, int64(n), 16)
	return append(b, "\r\n"...)
}

// FrameChunk adds the framing of a chunk to the n bytes of content that start at index ChunkPrefixBytes of buf. It
// works in place and returns the subslice of buf that contains the chunk. buf must have space for ChunkSuffixBytes
// after the content.
func FrameChunk(buf []byte, n int) []byte {
	var room [ChunkPrefixBytes]byte
	sizeLine := AppendChunkSize(room[:0], n)
	start := ChunkPrefixBytes - len(sizeLine)
	end := ChunkPrefixBytes + n
	copy(buf[start:], sizeLine)
	copy(buf[end:], "\r\n")
	return buf[start : end+ChunkSuffixBytes]
}
