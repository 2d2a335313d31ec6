package frontend

import (
	"testing"
	"weak"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/testutil"
)

// The body of a request is dropped when its memory is returned to the budget, and not when its response has been sent to
// a client that may be slow. Guards against memory that no budget counts.
func TestRequestBodyIsNotReferencedOnceReleased(t *testing.T) {
	const size = body.MaxPooledPage + 1 // not pooled
	ticket := &Ticket{admission: NewAdmission(engine.New(1), body.NewBudget(64<<20))}
	buf, err := ticket.AllocBody(size)
	if err != nil {
		t.Fatal(err)
	}
	memory := weak.Make(&buf[0])
	ticket.Body = body.NewBuffered(buf)
	buf = nil
	ticket.Done()
	if used, _ := ticket.admission.Bodies.Used(body.RequestBodies); used != 0 {
		t.Errorf("got %d bytes reserved, want 0", used)
	}
	testutil.CheckCollected(t, "the body", memory)
	if length := ticket.Body.Len(); length != size {
		t.Errorf("got a length of %d bytes, want %d", length, size)
	}
}
