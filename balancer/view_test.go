package balancer

import (
	"slices"
	"testing"
)

func TestViewsReportAvailability(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	g.b.refreshSubset()
	if usable, ready := g.b.Usable(); usable != 3 || ready != 3 {
		t.Errorf("%d of %d can be used", usable, ready)
	}
	g.b.eject(g.b.byID[1], CauseSilent)
	g.b.recheck(g.b.byID[1])
	// It counts until it has answered, also beyond its ejection.
	g.b.now = g.b.byID[1].ejectedUntil + 1
	g.b.recheck(g.b.byID[1])
	if usable, ready := g.b.Usable(); usable != 2 || ready != 3 {
		t.Errorf("after an ejection %d of %d can be used", usable, ready)
	}
	if back, err := Restore(g.b.set, g.b.Checkpoint(nil)); err != nil {
		t.Error(err)
	} else if usable, ready := back.Usable(); usable != 2 || ready != 3 {
		t.Errorf("restored, %d of %d can be used", usable, ready)
	}
	g.b.now = g.now
	g.b.byID[2].restingUntil = g.now + ms
	views := g.b.Views(nil)
	var held []string
	for i := range views {
		held = append(held, views[i].Unavailable(g.now))
	}
	if !slices.Equal(held, []string{"ejected", "resting", ""}) && !slices.Equal(held, []string{"not drawn", "not drawn", "not drawn"}) {
		t.Errorf("held: %q", held)
	}
	if views[0].Cause != CauseSilent || views[0].Ejections != 1 || views[0].Host != 1 {
		t.Errorf("view of an ejected host: %+v", views[0])
	}
}
