package main

import (
	"net"
	"regexp"
	"testing"

	"dunemoor/internal/testutil"
)

// An outgoing connection that gets the port of the measured program before that listens does not prevent it from doing so.
// Guards against measurements that fail with "address already in use".
func TestOutgoingConnectionLeavesAddressOfProgramFree(t *testing.T) {
	head, err := configHead()
	if err != nil {
		t.Fatal(err)
	}
	address := regexp.MustCompile(`address = "(.*)"`).FindStringSubmatch(head)[1]
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	other := testutil.Listen(t, "127.0.0.1:0", nil)
	defer other.Close()
	local, err := net.ResolveTCPAddr("tcp", net.JoinHostPort("127.0.0.1", port))
	if err != nil {
		t.Fatal(err)
	}
	c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", other.Addr().String())
	if err == nil { // otherwise another connection has the port already, which is as good
		defer c.Close()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("listen at the address of the program: %v", err)
	}
	listener.Close()
}
