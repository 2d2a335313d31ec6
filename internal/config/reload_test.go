package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const platformText = `{"admin":"127.0.0.1:2","discovery":"127.0.0.1:1","listen":"127.0.0.1:0","name":"n","seed":"1f",
 "limits":{"cores":1,"memory_mb":64,"sockets":384},"known":{"version":1,"full":true,"servers":[]},
 "settings":{"balancers":2,"rank":0,"caps":{"cancel":true,"max_attempts":4},"classes":[
  {"name":"look","effect":"idempotent","hard_limit":1000000,"promise":400000},
  {"name":"book","effect":"at_most_once","hard_limit":400000,"promise":130000,"window":1}]}}`

// A file that is read anew is turned down whole where it is empty, cut, lacks what the first one
// had or has figures that are none; one that only says other things is taken.
func TestReloadPlatform(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.1:9"}[name]
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(platformText)
	first, err := LoadPlatform(env)
	if err != nil {
		t.Fatal(err)
	}
	if first.Admin != "127.0.0.1:2" || first.Discovery != "127.0.0.1:9" {
		t.Errorf("admin %q, discovery %q", first.Admin, first.Discovery)
	}
	r := strings.NewReplacer
	for _, c := range []struct {
		name string
		text string
		want string // in the error; "": it is taken
	}{
		{"the same", platformText, ""},
		{"another discovery", r("127.0.0.1:1", "127.0.0.1:7").Replace(platformText), ""},
		{"a class more, without what not all have", r(`"window":1}`, `"window":1},{"name":"n","effect":"idempotent","hard_limit":5,"promise":4}`).Replace(platformText), ""},
		{"fewer attempts", r(`"max_attempts":4`, `"max_attempts":1`).Replace(platformText), ""},
		{"empty", "", "unexpected end"},
		{"blank", " \n", "unexpected end"},
		{"cut", platformText[:len(platformText)/2], "unexpected end"},
		{"cut at its last byte", platformText[:len(platformText)-1], "unexpected end"},
		{"null", "null", "no host:port"},
		{"no attempts", r(`,"max_attempts":4`, ``).Replace(platformText), "settings.caps.max_attempts: missing"},
		{"null attempts", r(`"max_attempts":4`, `"max_attempts":null`).Replace(platformText), "settings.caps.max_attempts: missing"},
		{"0 attempts", r(`"max_attempts":4`, `"max_attempts":0`).Replace(platformText), "caps.max_attempts: 0 is not above 0"},
		{"fewer than 0 attempts", r(`"max_attempts":4`, `"max_attempts":-1`).Replace(platformText), "max attempts: -1"},
		{"attempts in words", r(`"max_attempts":4`, `"max_attempts":"4"`).Replace(platformText), "max_attempts"},
		{"half an attempt", r(`"max_attempts":4`, `"max_attempts":1.5`).Replace(platformText), "max_attempts"},
		{"deadline 0", r(`"hard_limit":400000`, `"hard_limit":0`).Replace(platformText), "class 1: deadline"},
		{"deadline in words", r(`"hard_limit":400000`, `"hard_limit":"x"`).Replace(platformText), "hard_limit"},
		{"deadline null", r(`"hard_limit":400000`, `"hard_limit":null`).Replace(platformText), "class 1: deadline"},
		{"no deadline", r(`"hard_limit":400000,`, ``).Replace(platformText), "class 1: deadline"},
		{"no aim in one class", r(`"promise":130000,`, ``).Replace(platformText), "settings.classes[].promise: missing"},
		{"no classes", r(`"classes":[`, `"klasses":[`).Replace(platformText), "classes"},
		{"no seed", r(`"seed":"1f",`, ``).Replace(platformText), "seed"},
		{"no name", r(`"name":"n",`, ``).Replace(platformText), "name: missing"},
		{"no second address", r(`"admin":"127.0.0.1:2",`, ``).Replace(platformText), "admin: missing"},
		{"no list", r(`"known":{"version":1,"full":true,"servers":[]},`, ``).Replace(platformText), "known: missing"},
		{"a list that is none", r(`"servers":[]`, `"servers":{}`).Replace(platformText), "Servers"},
		{"no rank", r(`"rank":0,`, ``).Replace(platformText), "settings.rank: missing"},
		{"two values", platformText + platformText, "after top-level value"},
	} {
		write(c.text)
		got, err := ReloadPlatform(env, first)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.want != "" && err == nil:
			t.Errorf("%s: taken", c.name)
		case c.want != "" && !strings.Contains(err.Error(), c.want):
			t.Errorf("%s: %v, want %q in it", c.name, err, c.want)
		case c.name == "another discovery" && got.Discovery != "127.0.0.1:7":
			t.Errorf("%s: %s", c.name, got.Discovery)
		}
	}
}

// Every single key of the file is missed, wherever it stands.
func TestEveryKeyIsMissed(t *testing.T) {
	var all any
	if err := json.Unmarshal([]byte(platformText), &all); err != nil {
		t.Fatal(err)
	}
	was := newKeySet(all)
	keys := 0
	var cut func(v any)
	cut = func(v any) {
		switch v := v.(type) {
		case map[string]any:
			for key, x := range v {
				if key == "window" {
					continue // one class has none from the start
				}
				keys++
				delete(v, key)
				if was.missing(newKeySet(all), "") == "" {
					t.Errorf("%s is not missed", key)
				}
				v[key] = x
				cut(x)
			}
		case []any:
			for _, x := range v {
				cut(x)
			}
		}
	}
	cut(all)
	if keys < 20 || was.missing(newKeySet(all), "") != "" {
		t.Errorf("%d keys were cut", keys)
	}
}
