package config

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/route"
)

const example = "../../deploy/appliance.toml"

func TestExampleIsRight(t *testing.T) {
	a, wrong := LoadAppliance(example)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	if a.Name != "depot-1" || len(a.Pools) != 5 || len(a.Classes) != 3 || a.Classes[1].Idempotency != balancer.NonIdempotent ||
		a.Classes[2].DedupWindow != 2500*time.Millisecond || a.Pools[0].MinShare != route.DefaultMinShare || a.Listeners[0].Protocol != "http1" ||
		a.Pools[3].Members[0].ID != "127.0.0.1:9201" || a.Routes[0].RetryShare != defaultRetryShare || a.Routes[1].RetryShare != 0.1 {
		t.Errorf("%+v", a)
	}
	r := a.Table.Match(&route.Request{Host: "calendar.example.org", Path: "/days", Method: "GET"})
	if r == nil || r.Name != "calendar" || len(r.Split) != 2 {
		t.Errorf("%+v", r)
	}
}

// Every mistake is one line with file, line and field; several are said at once.
func TestMistakes(t *testing.T) {
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	lineOf := func(s string) int { return 1 + strings.Count(good[:strings.Index(good, s)], "\n") }
	for _, c := range []struct {
		old, new string // the one in the example for the other
		want     string
		line     int
	}{
		{`effect = "safe"`, `effect = "save"`, `class.effect: "save" is none of safe, keyed, unsafe`, lineOf(`effect = "safe"`)},
		{`deadline = "4s"`, `deadline = 4`, "class.deadline: ", lineOf(`deadline = "4s"`)},
		{`aim = "500ms"`, `aim = "5s"`, "class.aim: 5s is not between 0 and the deadline", lineOf(`aim = "500ms"`)},
		{`window = "2500ms"`, ``, "class.window: is missing", lineOf(`[[class]]` + "\nname = \"report\"")},
		{`sockets = 1024`, `sockets = 5`, "limits.sockets: 5 is not between 64 and", lineOf(`sockets = 1024`)},
		{`address = "127.0.0.1:8080"`, `address = "8080"`, `listener.address: "8080" is no address`, lineOf(`address = "127.0.0.1:8080"`)},
		{`fallback = ["calendar-old"]`, `fallback = ["calender-old"]`, `pool.fallback: "calender-old": there is no pool`, lineOf(`fallback =`)},
		{`fallback = ["calendar-old"]`, ``, `pool.name: no route uses "calendar-old"`, lineOf(`name = "calendar-old"`)},
		{`pool = "address"` + "\n", `pool = "adress"` + "\n", `route "address": pool "adress": there is none of that name`, lineOf("[[route]]\nname = \"address\"")},
		{`class = "lookup"`, `class = "look"`, `route.class: "look": there is no class`, lineOf(`class = "lookup"`)},
		{`retry_share = 0.1`, `retry_share = 7.0`, "route.retry_share: 7 is not between 0 and 3", lineOf(`retry_share`)},
		{`timeout = "2s"`, `timeuot = "2s"`, "route.timeuot: there is no such setting", lineOf(`timeout = "2s"`)},
		{`split_by = "X-Household"`, `pool = "calendar"`, "route.pool: it has both pool and split", lineOf(`split_by`)},
		{`{ id = "cal-2", address = "127.0.0.1:9102", cell = 1 }`, `{ id = "cal-1", address = "127.0.0.1:9102" }`, `pool.members: "cal-1" is there twice`, lineOf("members = [")},
		{`name = "calendar-next"`, `name = "calendar"`, `pool.name: "calendar" is taken (line `, lineOf(`name = "calendar-next"`)},
		{`path = "/address"`, `hosts = ["calendar.example.org"]`, "", 0}, // a route of another method: right
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("the example lacks %q", c.old)
		}
		_, wrong := ParseAppliance("f", strings.Replace(good, c.old, c.new, 1))
		if c.want == "" {
			if len(wrong) > 0 {
				t.Errorf("%q: %v", c.new, wrong)
			}
			continue
		}
		found := false
		for _, err := range wrong {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than a line: %q", err)
			}
			at, rest, _ := strings.Cut(strings.TrimPrefix(err.Error(), "f:"), ": ")
			found = found || strings.HasPrefix(rest, c.want) && at == strconv.Itoa(c.line)
		}
		if !found {
			t.Errorf("%q: %v, want line %d: %q", c.new, wrong, c.line, c.want)
		}
	}
	// The same route twice: both lines.
	_, wrong := ParseAppliance("f", good+"\n[[route]]\nname = \"again\"\npath = \"/address/\"\npool = \"address\"\nmethods = [\"HEAD\"]\n")
	if len(wrong) != 1 || !strings.Contains(wrong[0].Error(), "alike (line "+strconv.Itoa(lineOf("[[route]]\nname = \"address\""))+")") {
		t.Errorf("%v", wrong)
	}
	if _, wrong := ParseAppliance("f", ""); len(wrong) != 5 {
		t.Errorf("an empty file: %v", wrong)
	}
	if _, wrong := LoadAppliance("/none/such"); len(wrong) != 1 {
		t.Errorf("no file: %v", wrong)
	}
}

// One slip does not hide the others: a value of a wrong type, one out of bounds and an unknown
// key are all said, each once, and nothing follows from what was left out.
func TestAllMistakesAtOnce(t *testing.T) {
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	bad := string(text)
	for _, c := range [][2]string{
		{`deadline = "4s"`, `deadline = 4`}, {`memory_mb = 64`, `memory_mb = "64"`}, {`sockets = 1024`, `sockets = 5`},
		{`timeout = "2s"`, `timeuot = "2s"`}, {`effect = "unsafe"`, `effect = "unsave"`}, {`worth = 5`, `wort = 5`},
		{`address = "127.0.0.1:8080"`, `address = "127.0.0.1:99999"`}, {`"127.0.0.1:9201"`, `"127.0.0.1:0"`},
		{`name = "depot-1"`, "admin = \"10.0.0.1:8090\"\nname = \"depot\\u001b[31m\""},
	} {
		if !strings.Contains(bad, c[0]) {
			t.Fatalf("the example lacks %q", c[0])
		}
		bad = strings.Replace(bad, c[0], c[1], 1)
	}
	_, wrong := ParseAppliance("f", bad)
	var all []string
	for _, err := range wrong {
		all = append(all, err.Error())
	}
	for _, want := range []string{
		"class.deadline: ", "limits.memory_mb: ", "limits.sockets: 5 is", "route.timeuot: there is no", `class.effect: "unsave"`,
		"class.wort: there is no", `listener.address: "127.0.0.1:99999"`, `pool.members: "127.0.0.1:0"`, `name: "depot\x1b[31m" has '\x1b' in it`, `admin: "10.0.0.1:8090" is no loopback`,
	} {
		n := 0
		for _, s := range all {
			if strings.Contains(s, want) {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%q is said %d times in\n%s", want, n, strings.Join(all, "\n"))
		}
	}
	if len(all) != 10 {
		t.Errorf("%d mistakes of 10:\n%s", len(all), strings.Join(all, "\n"))
	}
}

// Pools that would have no descriptors to serve with are a mistake, not a gateway that fails.
func TestSharesOfSockets(t *testing.T) {
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	for _, c := range []struct{ old, new, want string }{
		{`sockets = 1024`, `sockets = 64`, ""},
		{`fallback = ["calendar-old"]`, "fallback = [\"calendar-old\"]\nsockets = 0.6", ""},
		{`fallback = ["calendar-old"]`, "fallback = [\"calendar-old\"]\nsockets = 1.0", "limits.sockets: 1024 are too few: 4 pools would have 0.0 each"},
	} {
		_, wrong := ParseAppliance("f", strings.Replace(good, c.old, c.new, 1))
		if c.want == "" && len(wrong) > 0 || c.want != "" && (len(wrong) != 1 || !strings.Contains(wrong[0].Error(), c.want)) {
			t.Errorf("%q: %v, want %q", c.new, wrong, c.want)
		}
	}
}
