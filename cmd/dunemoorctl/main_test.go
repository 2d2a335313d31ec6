package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/flightrecorder"
)

// writeRecording writes a small recording of requests that are served one after the other, and returns its path. seed is
// the seed of the balancer, and recordedSeed the seed in the recording: a replay diverges if they differ.
func writeRecording(t *testing.T, seed, recordedSeed uint64) string {
	t.Helper()
	settings := balancer.Settings{Instances: 1, Classes: []balancer.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}}}
	bal, err := balancer.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	now := balancer.Time(time.Hour)
	rec, err := flightrecorder.New(bal, flightrecorder.SessionStart{Name: "n7", Seed: recordedSeed, At: now, Settings: settings, Classes: []string{"look"}}, 1, flightrecorder.Options{})
	if err != nil {
		t.Fatal(err)
	}
	rec.NameHost(now, 1, "s-one")
	rec.Start(now)
	rec.UpdateEndpoints(now, balancer.ListSaved, []balancer.Host{{ID: 1}, {ID: 2}, {ID: 3}})
	rec.TakeActions(nil)
	for i := range balancer.RequestID(60) {
		rec.Request(now, balancer.Request{ID: i + 1, Remaining: 2 * time.Second})
		rec.TakeActions(nil)
		now += 5 * time.Millisecond
		rec.AttemptEnded(now, balancer.Outcome{Request: i + 1, Elapsed: 5 * time.Millisecond, Closed: true})
		rec.TakeActions(nil)
	}
	path := filepath.Join(t.TempDir(), "x.dmf")
	if err := os.WriteFile(path, rec.Dump(nil), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs a command line and returns what it prints.
func runCommand(args ...string) (string, error) {
	cmd, out := rootCommand(), &bytes.Buffer{}
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(out)
	err := cmd.Execute()
	return out.String(), err
}

// The flight commands read a recording and print its analysis.
func TestFlightCommands(t *testing.T) {
	path := writeRecording(t, 7, 7)
	svg := filepath.Join(t.TempDir(), "x.svg")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"flight", "replay", path}, "1 sessions, 122 events"},
		{[]string{"flight", "show", path}, "s-one"},
		{[]string{"flight", "show", path, "--host", "s-one", "--bucket", "100ms"}, "mean aims"},
		{[]string{"flight", "try", path}, "this build     60   100.0%"},
		{[]string{"flight", "show", path, "--svg", svg}, ""},
	} {
		if out, err := runCommand(c.args...); err != nil || !strings.Contains(out, c.want) {
			t.Errorf("%q: got error %v and\n%s\nwant %q", c.args[1:], err, out, c.want)
		}
	}
	if text, err := os.ReadFile(svg); err != nil || !bytes.HasSuffix(text, []byte("</svg>\n")) {
		t.Errorf("plot: got %d bytes, error %v, want an SVG", len(text), err)
	}
}

// The flight commands return an error if a file can't be read, and if a replay diverges.
func TestFlightCommandErrors(t *testing.T) {
	text := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(text, []byte(strings.Repeat("no recording\n", 100)), 0o600); err != nil {
		t.Fatal(err)
	}
	path := writeRecording(t, 7, 7)
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"flight", "replay", writeRecording(t, 7, 8)}, "decides otherwise"},
		{[]string{"flight", "replay", text}, text + ": this is no recording"},
		{[]string{"flight", "try", text}, "this is no recording"},
		{[]string{"flight", "show", "/none/such"}, "no such file"},
		{[]string{"flight", "show", path, "--host", "s-none"}, "no host s-none"},
		{[]string{"flight", "show", path, "--from", "1h", "--svg", text + ".svg"}, "nothing to draw"},
		{[]string{"flight", "show"}, "accepts 1 arg"},
		{[]string{"fly"}, "unknown command"},
	} {
		if out, err := runCommand(c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, want one with %q; printed %s", c.args, err, c.want, out)
		}
	}
	if _, err := os.Stat(text + ".svg"); err == nil {
		t.Error("after a failed plot: got a file, want none")
	}
}

const example = "../../deploy/appliance.toml"

// The command routes prints the route, the class and the pools of a request. It returns an error if the request would be
// rejected because its target is invalid or no route matches.
func TestRoutesCommand(t *testing.T) {
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"GET", "http://Calendar.Example.org:80/days/G41"}, []string{"GET calendar.example.org/days/G41", `route "calendar", line`,
			"calendar 90%, calendar-next 10%", "below, a part goes to calendar-old"}},
		{[]string{"get", "http://calendar.example.org/", "-H", "X-Household: 12"}, []string{"by X-Household: 12"}},
		{[]string{"HEAD", "http://any/address/x"}, []string{`route "address"`, "method GET or HEAD", "class lookup, 2s", "pool address"}},
		{[]string{"POST", "http://any/address/x"}, []string{"rejected with status 404"}},
		{[]string{"GET", "http://any/address/../x"}, []string{"rejected with status 400: the path"}},
		{[]string{"GET", "http://any/a%2Fb"}, []string{"rejected with status 400: the path"}},
	} {
		out, err := runCommand(append([]string{"routes", example}, c.args...)...)
		if rejected := strings.HasPrefix(c.want[0], "rejected"); rejected != (err != nil) {
			t.Errorf("%q: got error %v, want an error: %v", c.args, err, rejected) // scripts rely on the exit code
		} else if rejected {
			out += err.Error()
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%q: got\n%s\nwant %q", c.args, out, want)
			}
		}
	}
}

// The command check accepts the example, and prints each error in an invalid file.
func TestCheckCommand(t *testing.T) {
	if out, err := runCommand("check", example); err != nil || !strings.Contains(out, "2 listeners, 3 classes, 5 pools, 5 routes") {
		t.Errorf("%s: got error %v and %s, want the number of listeners, classes, pools and routes in the example", example, err, out)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`effect = "safe"`), []byte(`effect = "save"`), 1)
	text = bytes.Replace(text, []byte(`pool = "address"`), []byte(`pool = "adress"`), 1)
	if err := os.WriteFile(bad, text, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := runCommand("check", bad)
	if err == nil || !strings.Contains(err.Error(), ": 2 errors") || strings.Count(out, bad+":") != 2 {
		t.Errorf("got error %v and %s, want 2 errors with a line for each", err, out)
	}
	for args, want := range map[string]string{
		"routes " + example + " GET /x":            "is not a URL",
		"routes " + example + " GET http://x -H y": "does not have the form",
		"routes " + bad + " GET http://x":          ": 2 errors",
	} {
		if _, err := runCommand(strings.Fields(args)...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one with %q", args, err, want)
		}
	}
}

// The fleet commands have aliases in the usual terms beside their earlier names, and their help texts name the aliases.
func TestFleetCommandHelpNamesAliases(t *testing.T) {
	for alias, name := range map[string]string{"overrides": "words", "leases": "duties", "release": "resign", "transfer": "move"} {
		cmd, _, err := rootCommand().Find([]string{"fleet", alias})
		if err != nil || cmd.Name() != name {
			t.Errorf("fleet %s: got command %q, error %v, want %q", alias, cmd.Name(), err, name)
		}
		if want := "alias: " + alias; !strings.Contains(cmd.Short, want) {
			t.Errorf("fleet %s: got help %q, want it to contain %q", name, cmd.Short, want)
		}
	}
}
