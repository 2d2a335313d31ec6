package config

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/route"
)

// applianceExample is the example file of an appliance with several pools.
const applianceExample = "../../deploy/appliance.toml"

func TestLoadApplianceReadsExample(t *testing.T) {
	a, errs := LoadAppliance(applianceExample)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	if a.Name != "depot-1" || len(a.Pools) != 5 || len(a.Classes) != 3 || a.Classes[1].Idempotency != balancer.NonIdempotent ||
		a.Classes[2].DedupWindow != 2500*time.Millisecond || a.Pools[0].MinShare != route.DefaultMinShare || a.Listeners[0].Protocol != "http1" ||
		a.Pools[3].Members[0].ID != "127.0.0.1:9201" || a.Routes[0].RetryShare != defaultRetryShare || a.Routes[1].RetryShare != 0.1 {
		t.Errorf("appliance %+v, want the values of the example: depot-1, 5 pools, the first with the default of need and the fourth with the host 127.0.0.1:9201, 3 classes, the second non-idempotent and the third with window 2.5s, an http1 listener, and for the first two routes the default of retry_share and 0.1", a)
	}
	r := a.Table.Match(&route.Request{Host: "calendar.example.org", Path: "/days", Method: "GET"})
	if r == nil || r.Name != "calendar" || len(r.Split) != 2 {
		t.Errorf("route %+v, want calendar with two pools", r)
	}
}

// invalidExamples are changes that make the example invalid, with the expected errors.
var invalidExamples = []struct {
	old, new string // text of the example, and its replacement
	want     string // beginning of the error after file and line
	at       string // text of the example that begins on the expected line of the error
}{
	{`effect = "safe"`, `effect = "save"`, `class.effect: "save" is not one of safe, keyed, unsafe`, `effect = "safe"`},
	{`deadline = "4s"`, `deadline = 4`, "class.deadline: ", `deadline = "4s"`},
	{`aim = "500ms"`, `aim = "5s"`, "class.aim: 5s is not between 0 and the deadline", `aim = "500ms"`},
	{`window = "2500ms"`, ``, "class.window: is missing", "[[class]]\nname = \"report\""},
	{`sockets = 1024`, `sockets = 5`, "limits.sockets: 5 is not between 64 and", `sockets = 1024`},
	{`address = "127.0.0.1:8080"`, `address = "8080"`, `listener.address: "8080" is not an address`, `address = "127.0.0.1:8080"`},
	{`fallback = ["calendar-old"]`, `fallback = ["calender-old"]`, `pool.fallback: "calender-old": there is no pool`, `fallback =`},
	{`fallback = ["calendar-old"]`, ``, `pool.name: no route uses "calendar-old"`, `name = "calendar-old"`},
	{`pool = "address"` + "\n", `pool = "adress"` + "\n", `route "address": pool "adress": there is none of that name`, "[[route]]\nname = \"address\""},
	{`class = "lookup"`, `class = "look"`, `route.class: "look": there is no class`, `class = "lookup"`},
	{`retry_share = 0.1`, `retry_share = 7.0`, "route.retry_share: 7 is not between 0 and 3", `retry_share`},
	{`timeout = "2s"`, `timeuot = "2s"`, "route.timeuot: there is no such setting", `timeout = "2s"`},
	{`split_by = "X-Household"`, `pool = "calendar"`, "route.pool: can't be combined with split", `split_by`},
	{`{ id = "cal-2", address = "127.0.0.1:9102", cell = 1 }`, `{ id = "cal-1", address = "127.0.0.1:9102" }`, `pool.members: "cal-1" is listed twice`, "members = ["},
	{`name = "calendar-next"`, `name = "calendar"`, `pool.name: "calendar" is taken (line `, `name = "calendar-next"`},
}

// lineOf returns the line on which the first occurrence of part begins, counted from 1.
func lineOf(t *testing.T, text, part string) int {
	t.Helper()
	before, _, found := strings.Cut(text, part)
	if !found {
		t.Fatalf("text does not contain %q", part)
	}
	return 1 + strings.Count(before, "\n")
}

// Each error is one line with file, line and field.
func TestParseApplianceErrorNamesLineAndField(t *testing.T) {
	valid := readExample(t, applianceExample)
	for _, c := range invalidExamples {
		_, errs := ParseAppliance("f", replaceFirst(t, valid, c.old, c.new))
		wantLine := lineOf(t, valid, c.at)
		found := false
		for _, err := range errs {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q, want one line", err)
			}
			line, rest, _ := strings.Cut(strings.TrimPrefix(err.Error(), "f:"), ": ")
			found = found || strings.HasPrefix(rest, c.want) && line == strconv.Itoa(wantLine)
		}
		if !found {
			t.Errorf("%q: errors %v, want line %d: %q", c.new, errs, wantLine, c.want)
		}
	}
}

func TestParseApplianceAcceptsSamePathWithOtherMethods(t *testing.T) {
	text := replaceFirst(t, readExample(t, applianceExample), `path = "/address"`, `hosts = ["calendar.example.org"]`)
	if _, errs := ParseAppliance("f", text); len(errs) > 0 {
		t.Errorf("errors %v, want none", errs)
	}
}

func TestParseApplianceErrorNamesBothLinesOfDuplicateRoutes(t *testing.T) {
	valid := readExample(t, applianceExample)
	firstLine := lineOf(t, valid, "[[route]]\nname = \"address\"")
	_, errs := ParseAppliance("f", valid+"\n[[route]]\nname = \"again\"\npath = \"/address/\"\npool = \"address\"\nmethods = [\"HEAD\"]\n")
	if len(errs) != 1 || !strings.Contains(errs[0].Error(), "alike (line "+strconv.Itoa(firstLine)+")") {
		t.Errorf("errors %v, want one that names line %d of the other route", errs, firstLine)
	}
}

func TestLoadApplianceRejectsEmptyAndMissingFiles(t *testing.T) {
	if _, errs := ParseAppliance("f", ""); len(errs) != 5 {
		t.Errorf("empty file: errors %v, want 5", errs)
	}
	if _, errs := LoadAppliance("/none/such"); len(errs) != 1 {
		t.Errorf("missing file: errors %v, want 1", errs)
	}
}

// One error does not hide the others: a value of a wrong type, a value out of range and an unknown key
// are all reported, each exactly once, and no consequential errors.
func TestParseApplianceReportsAllErrorsAtOnce(t *testing.T) {
	invalid := readExample(t, applianceExample)
	for _, c := range [][2]string{
		{`deadline = "4s"`, `deadline = 4`}, {`memory_mb = 64`, `memory_mb = "64"`}, {`sockets = 1024`, `sockets = 5`},
		{`timeout = "2s"`, `timeuot = "2s"`}, {`effect = "unsafe"`, `effect = "unsave"`}, {`worth = 5`, `wort = 5`},
		{`address = "127.0.0.1:8080"`, `address = "127.0.0.1:99999"`}, {`"127.0.0.1:9201"`, `"127.0.0.1:0"`},
		{`name = "depot-1"`, "admin = \"10.0.0.1:8090\"\nname = \"depot\\u001b[31m\""},
	} {
		invalid = replaceFirst(t, invalid, c[0], c[1])
	}
	_, errs := ParseAppliance("f", invalid)
	var messages []string
	for _, err := range errs {
		messages = append(messages, err.Error())
	}
	for _, want := range []string{
		"class.deadline: ", "limits.memory_mb: ", "limits.sockets: 5 is", "route.timeuot: there is no", `class.effect: "unsave"`,
		"class.wort: there is no", `listener.address: "127.0.0.1:99999"`, `pool.members: "127.0.0.1:0"`, `name: "depot\x1b[31m" contains '\x1b'`, `admin: "10.0.0.1:8090" is not a loopback`,
	} {
		n := 0
		for _, s := range messages {
			if strings.Contains(s, want) {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%q reported %d times, want once in\n%s", want, n, strings.Join(messages, "\n"))
		}
	}
	if len(messages) != 10 {
		t.Errorf("%d errors, want 10:\n%s", len(messages), strings.Join(messages, "\n"))
	}
}

// A socket limit that leaves pools without descriptors is reported when the file is parsed, before the
// gateway runs.
func TestParseApplianceRejectsPoolsWithoutSockets(t *testing.T) {
	valid := readExample(t, applianceExample)
	for _, c := range []struct{ old, new, want string }{
		{`sockets = 1024`, `sockets = 64`, ""},
		{`fallback = ["calendar-old"]`, "fallback = [\"calendar-old\"]\nsockets = 0.6", ""},
		{`fallback = ["calendar-old"]`, "fallback = [\"calendar-old\"]\nsockets = 1.0", "limits.sockets: 1024 is too low: 4 pools would have 0.0 descriptors each"},
	} {
		_, errs := ParseAppliance("f", replaceFirst(t, valid, c.old, c.new))
		if c.want == "" && len(errs) > 0 || c.want != "" && (len(errs) != 1 || !strings.Contains(errs[0].Error(), c.want)) {
			t.Errorf("%q: errors %v, want %q", c.new, errs, c.want)
		}
	}
}
