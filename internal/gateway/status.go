package gateway

import (
	"dunemoor/internal/body"
	"dunemoor/internal/front"
	"dunemoor/internal/front/http1"
	"dunemoor/internal/overload"
)

// Status is what a gateway counts, for operators. All of it is read beside the loop, which is
// never asked and never waited for.
type Status struct {
	State    string           `json:"state"`    // serving, or how far a drain has gone
	Ready    bool             `json:"ready"`    // as health has it
	Detail   string           `json:"detail"`   // what health says
	IDs      int              `json:"ids"`      // of our protocol that are in use by open requests
	Pressure float64          `json:"pressure"` // ranks of classes that are shed; 0: none
	Shed     float64          `json:"shed"`     // share of requests that is to be turned away, what is worth most left out
	Clients  http1.Counts     `json:"clients"`
	Bodies   map[string]Bytes `json:"bodies"`  // by what memory is taken for
	Refused  map[string]int64 `json:"refused"` // at the gate since the start, by cause
	Loop     Delay            `json:"loop"`    // how long requests waited for the loop since the start
}

// Delay is how long something took, in microseconds, to within an eighth.
type Delay struct {
	P50  int64 `json:"p50_us"`
	P99  int64 `json:"p99_us"`
	Most int64 `json:"most_us"`
}

func delayOf(h *overload.Delays) Delay {
	return Delay{h.Quantile(0.5).Microseconds(), h.Quantile(0.99).Microseconds(), h.Most().Microseconds()}
}

// Bytes are how many are taken, and how many may be.
type Bytes struct {
	Used int64 `json:"used"`
	Most int64 `json:"most"`
}

// Status is what the gateway counts now.
func (g *Gateway) Status() any {
	state, _ := g.gate.Draining()
	s := Status{
		State: state.String(), IDs: g.gate.Open(), Clients: g.server.Counts(),
		Bodies: map[string]Bytes{}, Refused: map[string]int64{}, Loop: delayOf(&g.engine.LoopDelays),
	}
	s.Ready, s.Detail = g.gate.Health()
	for _, c := range body.Causes() {
		used, most := g.gate.Bodies.Used(c)
		s.Bodies[c.String()] = Bytes{used, most}
	}
	if l := g.gate.Limits; l != nil {
		for _, why := range front.Refusals() {
			s.Refused[why.String()] = l.Refused(why)
		}
		if l.Overload != nil {
			s.Pressure, s.Shed = l.Overload.Pressure(), l.Overload.Shed()
		}
	}
	return s
}
