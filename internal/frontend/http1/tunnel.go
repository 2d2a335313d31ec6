package http1

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

// webSocketGoingAway is a WebSocket close frame with status 1001, "going away" (RFC 6455, 7.4.1).
var webSocketGoingAway = []byte{0x88, 0x02, 0x03, 0xe9}

// tunnel copies bytes in both directions between a client and a host that have switched to another protocol.
type tunnel struct {
	client      *clientConn
	host        engine.Tunnel
	protocol    string
	idleTimeout time.Duration // maximum time without a byte from either side
	bodies      *body.Budget
}

// runTunnel writes the response that switches protocols, and copies until both sides have been closed, either of them
// fails, or the server shuts down.
func (s *Server) runTunnel(c *clientConn, t *frontend.Ticket, resp *engine.Response) {
	s.conns.remove(c) // tunnels have a separate limit
	tunnel := &tunnel{
		client:      c,
		host:        resp.Tunnel,
		protocol:    resp.Header.Get("Upgrade"),
		idleTimeout: t.Route.Streams.Pace.IdleTimeout,
		bodies:      s.admission.Bodies,
	}
	if tunnel.writeSwitch(resp.Header) != nil {
		return
	}
	tunnel.resetDeadlines()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
		case <-s.endTunnelsAndDelays:
			tunnel.goAway()
		}
	}()
	var copies sync.WaitGroup
	copies.Go(func() { tunnel.copy(tunnel.host, &c.in, tunnel.host.CloseWrite) })
	copies.Go(func() { tunnel.copy(c.TCPConn, tunnel.host, c.CloseWrite) })
	copies.Wait()
}

// writeSwitch writes the 101 response that switches protocols (RFC 9110, 15.2.2).
func (t *tunnel) writeSwitch(header http.Header) error {
	frontend.RemoveHopByHopHeaders(header)
	header.Set("Upgrade", t.protocol)
	b := t.client.startResponse(nil, http.StatusSwitchingProtocols)
	b = append(b, "Connection: Upgrade\r\n"...)
	b = httpwire.AppendHeader(b, header)
	b = append(b, crlf...)
	t.client.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := t.client.TCPConn.Write(b)
	return err
}

// resetDeadlines sets the deadlines of both sides to idleTimeout from now. It is called when a byte arrives from either
// side.
func (t *tunnel) resetDeadlines() {
	deadline := time.Now().Add(t.idleTimeout)
	t.client.SetDeadline(deadline)
	t.host.SetDeadline(deadline)
}

// copy copies from one side to the other. At the end of the input it calls closeWrite, which closes the other side for
// writing. After an error it closes both sides.
func (t *tunnel) copy(to io.Writer, from io.Reader, closeWrite func() error) {
	buf := t.bodies.AcquireBuffer()
	if buf == nil {
		t.close()
		return
	}
	defer t.bodies.ReleaseBuffer(buf)
	for {
		n, err := from.Read(*buf)
		if n > 0 {
			t.resetDeadlines()
			if _, writeErr := to.Write((*buf)[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF {
			closeWrite()
			return
		}
		if err != nil {
			t.close()
			return
		}
	}
}

// goAway closes the tunnel because the server shuts down. A WebSocket client is first sent a close frame, which must be
// written within frontend.CloseIdleTime. Shutdown closes all tunnels 0.5 s before the kill, or earlier.
func (t *tunnel) goAway() {
	if strings.EqualFold(t.protocol, "websocket") {
		t.client.SetWriteDeadline(time.Now().Add(frontend.CloseIdleTime))
		t.client.TCPConn.Write(webSocketGoingAway)
	}
	t.close()
}

// close closes both sides immediately.
func (t *tunnel) close() {
	t.client.TCPConn.Close()
	t.host.Close()
}
