package http1

import (
	"sync"
	"time"
)

// tunnel is a connection that has switched to another protocol.
type tunnel struct {
	*conn
	closeOnce sync.Once
}

func newTunnel(c *conn) *tunnel {
	c.headerLimit.N = unlimitedBytes
	c.SetReadDeadline(time.Time{})
	c.SetWriteDeadline(time.Time{})
	return &tunnel{conn: c}
}

// Read reads from the connection, beginning with the bytes that were buffered after the response.
func (t *tunnel) Read(p []byte) (int, error) { return t.in.Read(p) }

// SetDeadline sets the deadlines of reads and writes.
func (t *tunnel) SetDeadline(at time.Time) error { return t.Conn.SetDeadline(at) }

// CloseWrite closes the write side of the connection, or the whole connection if the write side can't be closed alone.
func (t *tunnel) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return t.Close()
}

// Close closes the connection. Further calls do nothing.
func (t *tunnel) Close() error {
	t.closeOnce.Do(func() { t.host.transport.closeConn(t.conn) })
	return nil
}
