package config

import (
	"os"
	"strings"
	"testing"
)

// reloadedConfig is a valid file of a platform gateway. It has all keys whose absence is tested.
const reloadedConfig = `{"admin":"127.0.0.1:2","discovery":"127.0.0.1:1","listen":"127.0.0.1:0","name":"n","seed":"1f",
 "limits":{"cores":1,"memory_mb":64,"sockets":384},"known":{"version":1,"full":true,"servers":[]},
 "settings":{"balancers":2,"rank":0,"caps":{"cancel":true,"max_attempts":4},"classes":[
  {"name":"look","effect":"idempotent","hard_limit":1000000,"promise":400000},
  {"name":"book","effect":"at_most_once","hard_limit":400000,"promise":130000,"window":1}]}}`

// reloadedWith returns reloadedConfig with old replaced by new.
func reloadedWith(old, new string) string { return strings.ReplaceAll(reloadedConfig, old, new) }

// reloads are files that replace reloadedConfig, with the expected results.
var reloads = []struct {
	name string
	text string
	want string // text in the error; "" for no error
}{
	{"the same", reloadedConfig, ""},
	{"another discovery", reloadedWith("127.0.0.1:1", "127.0.0.1:7"), ""},
	{"another class without optional keys", reloadedWith(`"window":1}`, `"window":1},{"name":"n","effect":"idempotent","hard_limit":5,"promise":4}`), ""},
	{"fewer attempts", reloadedWith(`"max_attempts":4`, `"max_attempts":1`), ""},
	{"empty", "", "unexpected end"},
	{"blank", " \n", "unexpected end"},
	{"truncated", reloadedConfig[:len(reloadedConfig)/2], "unexpected end"},
	{"truncated by a byte", reloadedConfig[:len(reloadedConfig)-1], "unexpected end"},
	{"null", "null", "not a host:port address"},
	{"max_attempts missing", reloadedWith(`,"max_attempts":4`, ``), "settings.caps.max_attempts: missing"},
	{"null attempts", reloadedWith(`"max_attempts":4`, `"max_attempts":null`), "settings.caps.max_attempts: missing"},
	{"0 attempts", reloadedWith(`"max_attempts":4`, `"max_attempts":0`), "caps.max_attempts: 0 is not greater than 0"},
	{"negative attempts", reloadedWith(`"max_attempts":4`, `"max_attempts":-1`), "max attempts: -1"},
	{"attempts as text", reloadedWith(`"max_attempts":4`, `"max_attempts":"4"`), "max_attempts"},
	{"half an attempt", reloadedWith(`"max_attempts":4`, `"max_attempts":1.5`), "max_attempts"},
	{"deadline 0", reloadedWith(`"hard_limit":400000`, `"hard_limit":0`), "class 1: deadline"},
	{"deadline as text", reloadedWith(`"hard_limit":400000`, `"hard_limit":"x"`), "hard_limit"},
	{"deadline null", reloadedWith(`"hard_limit":400000`, `"hard_limit":null`), "class 1: deadline"},
	{"no deadline", reloadedWith(`"hard_limit":400000,`, ``), "class 1: deadline"},
	{"no latency objective in one class", reloadedWith(`"promise":130000,`, ``), "settings.classes[].promise: missing"},
	{"no classes", reloadedWith(`"classes":[`, `"klasses":[`), "classes"},
	{"no seed", reloadedWith(`"seed":"1f",`, ``), "seed"},
	{"no name", reloadedWith(`"name":"n",`, ``), "name: missing"},
	{"admin missing", reloadedWith(`"admin":"127.0.0.1:2",`, ``), "admin: missing"},
	{"known missing", reloadedWith(`"known":{"version":1,"full":true,"servers":[]},`, ``), "known: missing"},
	{"malformed list", reloadedWith(`"servers":[]`, `"servers":{}`), "Servers"},
	{"no rank", reloadedWith(`"rank":0,`, ``), "settings.rank: missing"},
	{"two values", reloadedConfig + reloadedConfig, "after top-level value"},
}

// platformFileInUse writes reloadedConfig to a file and loads it. It returns the environment that names the file, the path
// of the file, and its configuration.
func platformFileInUse(t *testing.T) (env func(name string) string, path string, first *Platform) {
	t.Helper()
	path = writeTempFile(t, "config.json", reloadedConfig)
	env = func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.1:9"}[name]
	}
	first, err := LoadPlatform(env)
	if err != nil {
		t.Fatal(err)
	}
	if first.Admin != "127.0.0.1:2" || first.Discovery != "127.0.0.1:9" {
		t.Errorf("admin %q, discovery %q, want 127.0.0.1:2 and 127.0.0.1:9", first.Admin, first.Discovery)
	}
	return env, path, first
}

// A reload rejects a file that is empty or truncated, lacks keys of the first file or has invalid
// values. A complete file with other valid values is applied.
func TestReloadPlatformRejectsIncompleteFiles(t *testing.T) {
	env, path, first := platformFileInUse(t)
	for _, c := range reloads {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReloadPlatform(env, first)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: error %v, want none", c.name, err)
		case c.want != "" && err == nil:
			t.Errorf("%s: no error, want %q", c.name, c.want)
		case c.want != "" && !strings.Contains(err.Error(), c.want):
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		case c.name == "another discovery" && got.Discovery != "127.0.0.1:7":
			t.Errorf("%s: discovery %s, want 127.0.0.1:7", c.name, got.Discovery)
		}
	}
}
