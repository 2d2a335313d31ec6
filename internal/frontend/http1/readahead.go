package http1

import "dunemoor/internal/body"

const (
	// maxReadAhead is how many bytes of pipelined requests are read while the current request is served, so that the end of
	// the connection behind them is detected.
	maxReadAhead = 64 << 10
	// readAheadBufferBytes is the size of the buffer that holds them, which grows by doubling.
	readAheadBufferBytes = 2 * maxReadAhead
)

// mayHaveLeft reports whether so many requests are unread behind the current one that the end of the connection may wait
// behind them in the client's send buffer. It is safe for concurrent use while a request is served.
func (c *clientConn) mayHaveLeft() bool {
	return !c.streamsBody.Load() && socketInput{c.raw}.mayHideClose()
}

// readAhead reads requests behind the current one until the close of the connection can't be hidden behind them. It returns
// false if that would take more than maxReadAhead bytes, or if there is no memory: the client may have disconnected, so its
// request must not be forwarded.
func (s *Server) readAhead(c *clientConn) bool {
	if !c.mayHaveLeft() {
		return true
	}
	if c.readAheadBytes == 0 {
		if !s.admission.Bodies.Reserve(body.RequestBodies, readAheadBufferBytes) {
			return false
		}
		c.readAheadBytes = readAheadBufferBytes
	}
	for c.in.buffered() < maxReadAhead && c.in.readAvailable() {
	}
	return !c.mayHaveLeft()
}

// releaseReadAhead returns the memory of readAhead once its buffer was consumed.
func (s *Server) releaseReadAhead(c *clientConn) {
	if c.readAheadBytes > 0 {
		c.in.releaseBuffer()
		s.admission.Bodies.Release(body.RequestBodies, c.readAheadBytes)
		c.readAheadBytes = 0
	}
}
