package engine

import (
	"context"
	"time"
)

// maxUploadTime is the longest time that a streamed request body may take to arrive in total. A gigabyte arrives in that
// time at 12 kB/s.
const maxUploadTime = 24 * time.Hour

// arrivalCheckInterval is how often the arrival of a streamed body is checked.
const arrivalCheckInterval = 100 * time.Millisecond

// BodyArrival tells how much of a streamed request body its client may have sent. While a host takes a body slowly, the
// frontend reads no further, and the last byte may wait in the buffers of the sockets.
type BodyArrival interface {
	// EarliestEnd returns the earliest time at which the last byte may have been sent. It is now if that byte has
	// provably not been sent yet. It is called by any goroutine, and does not block.
	EarliestEnd(now time.Time) time.Time
}

// await waits until there is a response to a request, its client disconnects, or the response is due.
func (e *Engine) await(ctx context.Context, x *Request) (resp Response, waiting bool) {
	shutdown := e.shutdown.begun
	uploadDue := time.Now().Add(maxUploadTime)
	dueTimer := time.NewTimer(time.Until(x.mayBeDue(uploadDue)))
	defer dueTimer.Stop()
	for {
		select {
		case resp = <-x.response:
			return resp, true
		case <-x.bodyArrived:
			dueTimer.Reset(time.Until(x.mayBeDue(uploadDue)))
		case <-shutdown:
			shutdown = nil
			dueTimer.Reset(time.Until(x.mayBeDue(uploadDue)))
		case <-ctx.Done():
			if x.Close() {
				e.handleFinishedByDo(x)
			} else {
				resp = <-x.response
				resp.Release()
			}
			return Response{}, false
		case <-dueTimer.C:
			if wait := time.Until(x.mayBeDue(uploadDue)); wait > 0 {
				dueTimer.Reset(wait) // the body may still be arriving
				continue
			}
			return e.respondOverdue(x), true
		}
	}
}

// mayBeDue returns the earliest time at which the response may be due, as far as is known now, or the next check of a
// streamed body that is arriving. Without a BodyArrival that body has until uploadDue.
func (x *Request) mayBeDue(uploadDue time.Time) time.Time {
	due, known := x.Due()
	if !known {
		due = uploadDue // the pace that is required of the upload ends the request sooner
	}
	if !x.isArriving() || x.BodyArrival == nil || x.Timeout <= 0 {
		return due
	}
	now := time.Now()
	return earliest(due, x.BodyArrival.EarliestEnd(now).Add(x.Timeout), now.Add(arrivalCheckInterval))
}

// earliest returns the earliest of three times.
func earliest(a, b, c time.Time) time.Time {
	if b.Before(a) {
		a = b
	}
	if c.Before(a) {
		a = c
	}
	return a
}

// respondOverdue finishes a request whose response is due. The balancer should have decided on a response by now. The client
// gets one without waiting any longer. The balancer, and so the recording, is notified that the client has disconnected,
// unless the body was being streamed. This response is not counted for the recording's trigger (countResponse).
func (e *Engine) respondOverdue(x *Request) Response {
	if !x.Close() {
		return <-x.response
	}
	response := Response{Kind: Failed}
	if x.BodyArrival != nil && x.arrival.CompareAndSwap(contentArriving, contentOverdue) {
		// Proof: the gateway has not read the last byte of the request, and sends none that it reads from now on.
		response.Kind = Rejected
		e.FailedUploads.NeverRan.Add(1)
	}
	e.handleFinishedByDo(x)
	return response
}
