package fakes

import (
	"context"
	"strings"
	"testing"
)

// The outcomes of a load match the behaviour of the node. A response to another request is recorded as a lost connection,
// and Run rejects addresses other than loopback ones and loads beyond maxLoadCount.
func TestLoadRecordsOutcomes(t *testing.T) {
	n, l := startNode(t, Behaviour{Mode: Errors, Share: 0.25})
	load := Load{URL: "http://" + n.Addr(), Rate: 2000, Count: 200, Classes: DefaultClasses(), Seed: 3}
	if err := load.Run(context.Background(), l); err != nil {
		t.Fatal(err)
	}
	c := l.Count()
	if c.Requests != 200 || c.Outcomes[Served]+c.Outcomes[Failed] != 200 || c.Outcomes[Failed] < 20 || c.Outcomes[Failed] > 80 || c.Violations() != "" {
		t.Errorf("got outcomes %+v, violations %q, want about a quarter of 200 failed", c.Outcomes, c.Violations())
	}
	if outcomeOf(200, "done y", "x") != ConnectionLost || outcomeOf(429, "", "x") != Rejected || outcomeOf(502, "", "x") != Failed {
		t.Error("got a wrong outcome for a response to another request, a 429 or a 502")
	}
	for _, url := range []string{"http://10.0.0.1:80", "http://example.org:80", "http://[2001:db8::1]:80"} {
		bad := load
		bad.URL = url
		if err := bad.Run(context.Background(), NewLedger()); err == nil || !strings.Contains(err.Error(), "loopback") {
			t.Errorf("%s: got error %v, want one about the loopback address", url, err)
		}
	}
	load.Count = maxLoadCount + 1
	if load.Run(context.Background(), l) == nil {
		t.Error("load beyond maxLoadCount: got no error")
	}
}
