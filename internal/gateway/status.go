package gateway

import (
	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/frontend/http1"
	"dunemoor/internal/overload"
)

// Status is what a gateway counts, for operators. All of it is read beside the loop, which is never waited for.
type Status struct {
	State    string           `json:"state"`    // serving, or how far a drain has gone
	Ready    bool             `json:"ready"`    // as the health check reports
	Detail   string           `json:"detail"`   // text of the health check
	IDs      int              `json:"ids"`      // of the platform's protocol, in use by open requests
	Pressure float64          `json:"pressure"` // ranks of classes that are shed; 0: none
	Shed     float64          `json:"shed"`     // share of requests that is to be rejected, those of the highest rank left out
	Clients  http1.ConnCounts `json:"clients"`
	Bodies   map[string]Bytes `json:"bodies"`  // memory by its use
	Refused  map[string]int64 `json:"refused"` // rejections at admission since the start, by reason
	Loop     Delay            `json:"loop"`    // how long requests waited for the loop since the start
}

// Delay is how long something took, in microseconds, to within an eighth.
type Delay struct {
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"most_us"`
}

func newDelay(h *overload.Delays) Delay {
	return Delay{h.Quantile(0.5).Microseconds(), h.Quantile(0.99).Microseconds(), h.Max().Microseconds()}
}

// Bytes are how many are in use, and how many may be.
type Bytes struct {
	Used int64 `json:"used"`
	Max  int64 `json:"most"`
}

// Status returns what the gateway counts now. It may be called by any goroutine.
func (g *Gateway) Status() any {
	state, _ := g.admission.Draining()
	s := Status{
		State:   state.String(),
		IDs:     g.admission.OpenIDs(),
		Clients: g.server.ConnCounts(),
		Bodies:  map[string]Bytes{},
		Refused: map[string]int64{},
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
