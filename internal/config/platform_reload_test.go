package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// reloadedConfig is a valid file of the platform whose values all have an effect on a reload.
const reloadedConfig = `{"admin":"127.0.0.1:2","discovery":"127.0.0.1:1","listen":"127.0.0.1:0","name":"n","seed":"1f",
 "limits":{"cores":1,"memory_mb":64,"sockets":384},"known":{"version":1,"full":true,"servers":[]},
 "settings":{"balancers":2,"rank":0,"caps":{"cancel":true,"max_attempts":4},"classes":[
  {"name":"look","effect":"idempotent","hard_limit":1000000,"promise":400000},
  {"name":"book","effect":"at_most_once","hard_limit":400000,"promise":130000,"window":1}]}}`

// A file is rejected as a whole on a reload if it is empty or truncated, lacks what the first one had
// or has invalid values; one with other values is applied.
func TestReloadPlatformRejectsIncompleteFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.1:9"}[name]
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(reloadedConfig)
	first, err := LoadPlatform(env)
	if err != nil {
		t.Fatal(err)
	}
	if first.Admin != "127.0.0.1:2" || first.Discovery != "127.0.0.1:9" {
		t.Errorf("admin %q, discovery %q, want 127.0.0.1:2 and 127.0.0.1:9", first.Admin, first.Discovery)
	}
	changed := func(old, new string) string { return strings.NewReplacer(old, new).Replace(reloadedConfig) }
	for _, c := range []struct {
		name string
		text string
		want string // in the error; "": no error
	}{
		{"the same", reloadedConfig, ""},
		{"another discovery", changed("127.0.0.1:1", "127.0.0.1:7"), ""},
		{"another class without optional keys", changed(`"window":1}`, `"window":1},{"name":"n","effect":"idempotent","hard_limit":5,"promise":4}`), ""},
		{"fewer attempts", changed(`"max_attempts":4`, `"max_attempts":1`), ""},
		{"empty", "", "unexpected end"},
		{"blank", " \n", "unexpected end"},
		{"truncated", reloadedConfig[:len(reloadedConfig)/2], "unexpected end"},
		{"truncated by a byte", reloadedConfig[:len(reloadedConfig)-1], "unexpected end"},
		{"null", "null", "no host:port"},
		{"no attempts", changed(`,"max_attempts":4`, ``), "settings.caps.max_attempts: missing"},
		{"null attempts", changed(`"max_attempts":4`, `"max_attempts":null`), "settings.caps.max_attempts: missing"},
		{"0 attempts", changed(`"max_attempts":4`, `"max_attempts":0`), "caps.max_attempts: 0 is not above 0"},
		{"negative attempts", changed(`"max_attempts":4`, `"max_attempts":-1`), "max attempts: -1"},
		{"attempts as text", changed(`"max_attempts":4`, `"max_attempts":"4"`), "max_attempts"},
		{"half an attempt", changed(`"max_attempts":4`, `"max_attempts":1.5`), "max_attempts"},
		{"deadline 0", changed(`"hard_limit":400000`, `"hard_limit":0`), "class 1: deadline"},
		{"deadline as text", changed(`"hard_limit":400000`, `"hard_limit":"x"`), "hard_limit"},
		{"deadline null", changed(`"hard_limit":400000`, `"hard_limit":null`), "class 1: deadline"},
		{"no deadline", changed(`"hard_limit":400000,`, ``), "class 1: deadline"},
		{"no latency objective in one class", changed(`"promise":130000,`, ``), "settings.classes[].promise: missing"},
		{"no classes", changed(`"classes":[`, `"klasses":[`), "classes"},
		{"no seed", changed(`"seed":"1f",`, ``), "seed"},
		{"no name", changed(`"name":"n",`, ``), "name: missing"},
		{"no second address", changed(`"admin":"127.0.0.1:2",`, ``), "admin: missing"},
		{"no list", changed(`"known":{"version":1,"full":true,"servers":[]},`, ``), "known: missing"},
		{"malformed list", changed(`"servers":[]`, `"servers":{}`), "Servers"},
		{"no rank", changed(`"rank":0,`, ``), "settings.rank: missing"},
		{"two values", reloadedConfig + reloadedConfig, "after top-level value"},
	} {
		write(c.text)
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
