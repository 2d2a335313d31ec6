package peer

import (
	"bytes"
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

// A handshake, D dials and A accepts, HMAC-SHA-256 by the fleet's key over a letter for who and
// when, both nonces and what is told:
//
//	D: "dunemoor" version purpose nonceD[16]
//	A: "dunemoor" version nonceA[16] mac("A", nonceD, nonceA)[32]
//	D: mac("D", nonceD, nonceA, helloD)[32] length[2] helloD
//	A: mac("B", nonceD, nonceA, word)[32] length[2] word
//
// The last word is A's hello, or says why D is refused. Letters and nonces keep any of it from
// being played back, to the other side or another time. What follows is not signed.
const (
	magic         = "dunemoor"
	version       = 1
	nonceBytes    = 16
	macBytes      = sha256.Size
	helloMost     = 4 << 10
	handshakeTime = 3 * time.Second

	purposeFrames   = 1
	purposeSnapshot = 2
	purposeStream   = 3
)

// word is A's last: its hello or a refusal.
type word struct {
	Hello   *node.Hello `json:"hello,omitempty"`
	Refused string      `json:"refused,omitempty"`
}

// errKey is a handshake by another key: whoever it is, it is none of the fleet.
var errKey = errors.New("it does not know the fleet's key")

// refusal is what the other side has against us, or we against it.
type refusal struct {
	theirs bool
	why    string
}

func (r *refusal) Error() string {
	if r.theirs {
		return "refused by it: " + r.why
	}
	return "refused: " + r.why
}

func sign(key []byte, who byte, nonceD, nonceA, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte{who})
	m.Write(nonceD)
	m.Write(nonceA)
	m.Write(text)
	return m.Sum(nil)
}

func nonce() []byte {
	b := make([]byte, nonceBytes)
	rand.Read(b) // it never fails
	return b
}

// dial makes the handshake on a connection that we opened, until within, and returns the other's
// hello.
func dial(c net.Conn, key []byte, purpose byte, within time.Time, hello func() node.Hello, judge func(*node.Hello) string) (*node.Hello, error) {
	c.SetDeadline(within)
	defer c.SetDeadline(time.Time{})
	nonceD := nonce()
	if _, err := c.Write(append(append([]byte(magic), version, purpose), nonceD...)); err != nil {
		return nil, err
	}
	b := make([]byte, len(magic)+1+nonceBytes+macBytes)
	if _, err := io.ReadFull(c, b); err != nil {
		return nil, err
	}
	if string(b[:len(magic)]) != magic || b[len(magic)] != version {
		return nil, fmt.Errorf("it does not speak version %d of the carrier", version)
	}
	nonceA := b[len(magic)+1 : len(magic)+1+nonceBytes]
	if !hmac.Equal(b[len(magic)+1+nonceBytes:], sign(key, 'A', nonceD, nonceA, nil)) {
		return nil, errKey
	}
	text, err := json.Marshal(hello())
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(append(sign(key, 'D', nonceD, nonceA, text), appendShort(nil, text)...)); err != nil {
		return nil, err
	}
	mac := make([]byte, macBytes)
	if _, err := io.ReadFull(c, mac); err != nil {
		return nil, err
	}
	text, err = readShort(c, helloMost)
	if err != nil {
		return nil, err
	}
	var w word
	if !hmac.Equal(mac, sign(key, 'B', nonceD, nonceA, text)) {
		return nil, errKey
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, err
	}
	if w.Hello == nil {
		return nil, &refusal{true, w.Refused}
	}
	if why := judge(w.Hello); why != "" {
		return nil, &refusal{false, why}
	}
	return w.Hello, nil
}

// accept makes the handshake on a connection that came in. The purpose is known where it was read,
// with an error too.
func accept(c net.Conn, key []byte, hello func() node.Hello, judge func(purpose byte, h *node.Hello) string) (purpose byte, _ *node.Hello, _ error) {
	c.SetDeadline(time.Now().Add(handshakeTime))
	defer c.SetDeadline(time.Time{})
	b := make([]byte, len(magic)+2+nonceBytes)
	if _, err := io.ReadFull(c, b); err != nil {
		return 0, nil, err
	}
	if !bytes.HasPrefix(b, []byte(magic)) || b[len(magic)] != version {
		return 0, nil, fmt.Errorf("it does not speak version %d of the carrier", version)
	}
	purpose = b[len(magic)+1]
	nonceD, nonceA := b[len(magic)+2:], nonce()
	if _, err := c.Write(append(append(append([]byte(magic), version), nonceA...), sign(key, 'A', nonceD, nonceA, nil)...)); err != nil {
		return purpose, nil, err
	}
	mac := make([]byte, macBytes)
	if _, err := io.ReadFull(c, mac); err != nil {
		return purpose, nil, err
	}
	text, err := readShort(c, helloMost)
	if err != nil {
		return purpose, nil, err
	}
	if !hmac.Equal(mac, sign(key, 'D', nonceD, nonceA, text)) {
		return purpose, nil, errKey
	}
	var h node.Hello
	if err := json.Unmarshal(text, &h); err != nil {
		return purpose, nil, err
	}
	mine := hello()
	w := word{Hello: &mine}
	why := judge(purpose, &h)
	if why != "" {
		w = word{Refused: why}
	}
	if text, err = json.Marshal(w); err != nil {
		return purpose, nil, err
	}
	if _, err := c.Write(append(sign(key, 'B', nonceD, nonceA, text), appendShort(nil, text)...)); err != nil {
		return purpose, nil, err
	}
	if why != "" {
		return purpose, nil, &refusal{false, why}
	}
	return purpose, &h, nil
}
