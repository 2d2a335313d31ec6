package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"dunemoor/internal/cluster/node"
)

// In the handshake a dialler D and an acceptor A prove to each other that they have the fleet's key, by an
// HMAC-SHA-256 over a letter for the step, both nonces and the text of the step:
//
//	D: "dunemoor" version purpose nonceD[16]
//	A: "dunemoor" version nonceA[16] mac("A", nonceD, nonceA)[32]
//	D: mac("D", nonceD, nonceA, helloD)[32] length[2] helloD
//	A: mac("B", nonceD, nonceA, result)[32] length[2] result
//
// The result is A's hello, or the reason why D is rejected. Letters and nonces prevent any part from being
// replayed, to the other side or in another handshake. Data after the handshake is not authenticated.
const (
	magic            = "dunemoor"
	protocolVersion  = 1
	nonceSize        = 16
	macSize          = sha256.Size
	maxHelloBytes    = 4 << 10
	handshakeTimeout = 3 * time.Second

	stepAcceptorProof  = 'A'
	stepDiallerHello   = 'D'
	stepAcceptorResult = 'B'
)

// Purposes of a connection.
const (
	purposeFrames   = 1
	purposeSnapshot = 2
	purposeStream   = 3
)

// handshakeResult is the last part of a handshake. One field is set.
type handshakeResult struct {
	Hello     *node.Hello `json:"hello,omitempty"`
	Rejection string      `json:"refused,omitempty"`
}

// ErrWrongKey is returned if the other side does not have the fleet's key.
var ErrWrongKey = errors.New("the other side does not know the fleet's key")

// errVersion is returned if the other side uses another protocol or version.
var errVersion = fmt.Errorf("the other side does not use version %d of the protocol", protocolVersion)

// RejectedError is returned if one side rejects the other.
type RejectedError struct {
	ByPeer bool // the other side has rejected this one
	Reason string
}

func (e *RejectedError) Error() string {
	if e.ByPeer {
		return "refused by it: " + e.Reason
	}
	return "refused: " + e.Reason
}

// isRejection reports whether an error means that one of the two sides has rejected the other.
func isRejection(err error) bool {
	var r *RejectedError
	return errors.As(err, &r) || errors.Is(err, ErrWrongKey)
}

// mac returns the authentication code of a step.
func mac(key []byte, step byte, nonceD, nonceA, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte{step})
	m.Write(nonceD)
	m.Write(nonceA)
	m.Write(text)
	return m.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	rand.Read(b) // rand.Read never returns an error
	return b
}

// prologue returns the bytes that each side sends first.
func prologue() []byte { return append([]byte(magic), protocolVersion) }

// readPrologue reads the prologue of the other side, and returns the n bytes that follow it.
func readPrologue(c net.Conn, n int) ([]byte, error) {
	start := len(magic) + 1
	b := make([]byte, start+n)
	if _, err := io.ReadFull(c, b); err != nil {
		return nil, err
	}
	if string(b[:len(magic)]) != magic || b[len(magic)] != protocolVersion {
		return nil, errVersion
	}
	return b[start:], nil
}

// writeSigned sends a text with its authentication code.
func writeSigned(c net.Conn, key []byte, step byte, nonceD, nonceA, text []byte) error {
	_, err := c.Write(append(mac(key, step, nonceD, nonceA, text), appendPrefixed(nil, text)...))
	return err
}

// readSigned reads a text and verifies its authentication code.
func readSigned(c net.Conn, key []byte, step byte, nonceD, nonceA []byte) ([]byte, error) {
	code := make([]byte, macSize)
	if _, err := io.ReadFull(c, code); err != nil {
		return nil, err
	}
	text, err := readPrefixed(c, maxHelloBytes)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(code, mac(key, step, nonceD, nonceA, text)) {
		return nil, ErrWrongKey
	}
	return text, nil
}

// handshakeDial performs the handshake on a connection that this side has dialled, and returns the other side's
// hello.
func handshakeDial(c net.Conn, key []byte, purpose byte, deadline time.Time, hello func() node.Hello, validate func(*node.Hello) error) (*node.Hello, error) {
	c.SetDeadline(deadline)
	defer c.SetDeadline(time.Time{})
	nonceD := newNonce()
	if _, err := c.Write(append(append(prologue(), purpose), nonceD...)); err != nil {
		return nil, err
	}
	proof, err := readPrologue(c, nonceSize+macSize)
	if err != nil {
		return nil, err
	}
	nonceA := proof[:nonceSize]
	if !hmac.Equal(proof[nonceSize:], mac(key, stepAcceptorProof, nonceD, nonceA, nil)) {
		return nil, ErrWrongKey
	}
	text, err := json.Marshal(hello())
	if err != nil {
		return nil, err
	}
	if err := writeSigned(c, key, stepDiallerHello, nonceD, nonceA, text); err != nil {
		return nil, err
	}
	if text, err = readSigned(c, key, stepAcceptorResult, nonceD, nonceA); err != nil {
		return nil, err
	}
	var result handshakeResult
	if err := json.Unmarshal(text, &result); err != nil {
		return nil, fmt.Errorf("decode handshake: %w", err)
	}
	if result.Hello == nil {
		return nil, &RejectedError{ByPeer: true, Reason: result.Rejection}
	}
	if err := validate(result.Hello); err != nil {
		return nil, &RejectedError{Reason: err.Error()}
	}
	return result.Hello, nil
}

// handshakeAccept performs the handshake on an accepted connection, and returns the other side's hello. Once
// the purpose was read, it is returned with errors too.
func handshakeAccept(c net.Conn, key []byte, hello func() node.Hello, validate func(purpose byte, h *node.Hello) error) (purpose byte, _ *node.Hello, _ error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer c.SetDeadline(time.Time{})
	request, err := readPrologue(c, 1+nonceSize)
	if err != nil {
		return 0, nil, err
	}
	purpose = request[0]
	nonceD, nonceA := request[1:], newNonce()
	if _, err := c.Write(append(append(prologue(), nonceA...), mac(key, stepAcceptorProof, nonceD, nonceA, nil)...)); err != nil {
		return purpose, nil, err
	}
	text, err := readSigned(c, key, stepDiallerHello, nonceD, nonceA)
	if err != nil {
		return purpose, nil, err
	}
	var h node.Hello
	if err := json.Unmarshal(text, &h); err != nil {
		return purpose, nil, fmt.Errorf("decode handshake: %w", err)
	}
	own := hello()
	result := handshakeResult{Hello: &own}
	rejection := validate(purpose, &h)
	if rejection != nil {
		result = handshakeResult{Rejection: rejection.Error()}
	}
	if text, err = json.Marshal(result); err != nil {
		return purpose, nil, err
	}
	if err := writeSigned(c, key, stepAcceptorResult, nonceD, nonceA, text); err != nil {
		return purpose, nil, err
	}
	if rejection != nil {
		return purpose, nil, &RejectedError{Reason: rejection.Error()}
	}
	return purpose, &h, nil
}
