package gateway

import (
	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/frontend/http1"
	"dunemoor/internal/overload"
)

// Status holds the state and counters of a gateway for operators. They are read without waiting for the event loop.
type Status struct {
	State    string           `json:"state"`    // "serving", or the phase of a drain
	Ready    bool             `json:"ready"`    // result of the health check
	Detail   string           `json:"detail"`   // text of the health check
	IDs      int              `json:"ids"`      // request IDs of the platform's protocol in use by open requests
	Pressure float64          `json:"pressure"` // number of class ranks being shed, the last of them in part; 0 if none
	Shed     float64          `json:"shed"`     // target share of requests to reject, not counting those of the highest rank
	Clients  http1.ConnCounts `json:"clients"`
	Bodies   map[string]Bytes `json:"bodies"`  // memory for bodies, by purpose
	Refused  map[string]int64 `json:"refused"` // rejections at admission since the start, by reason
	Loop     Delay            `json:"loop"`    // time that requests waited for the event loop, since the start
	Uploads  Uploads          `json:"uploads"` // requests that failed after a part of their streamed body was sent, since the start
}

// Uploads counts requests that failed after a part of their streamed body was sent, and that had no other attempt.
type Uploads struct {
	NeverRan   int64 `json:"never_ran"`    // provably not run by the host; answered with 503
	MayHaveRun int64 `json:"may_have_run"` // answered with 502
}

// Delay has quantiles and the maximum of a delay in microseconds. The quantiles have an error of at most an eighth.
type Delay struct {
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"most_us"`
}

func newDelay(h *overload.Delays) Delay {
	return Delay{h.Quantile(0.5).Microseconds(), h.Quantile(0.99).Microseconds(), h.Max().Microseconds()}
}

// Bytes is the memory in use for a purpose, and its limit.
type Bytes struct {
	Used int64 `json:"used"`
	Max  int64 `json:"most"`
}

// Status returns the current Status of the gateway. It is safe for concurrent use.
func (g *Gateway) Status() any {
	state, _ := g.admission.Draining()
	s := Status{
		State:   state.String(),
		IDs:     g.admission.OpenIDs(),
		Clients: g.server.ConnCounts(),
		Bodies:  map[string]Bytes{},
		Refused: map[string]int64{},
		Uploads: Uploads{g.engine.FailedUploads.NeverRan.Load(), g.engine.FailedUploads.MayHaveRun.Load()},
		Loop:    newDelay(&g.engine.LoopDelays),
	}
	s.Ready, s.Detail = g.admission.Health()
	for _, purpose := range body.Purposes() {
		used, limit := g.admission.Bodies.Used(purpose)
		s.Bodies[purpose.String()] = Bytes{used, limit}
	}
	if l := g.admission.Limits; l != nil {
		for _, reason := range frontend.RejectReasons() {
			s.Refused[reason.String()] = l.Rejected(reason)
		}
		if l.Overload != nil {
			s.Pressure = l.Overload.Pressure()
			s.Shed = l.Overload.Shed()
		}
	}
	return s
}
