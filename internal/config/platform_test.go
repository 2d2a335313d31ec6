package config

import (
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// platformConfig is a valid file of a platform gateway.
const platformConfig = `{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.3:9000","zone":"a","kind":"m2","cell":3,
		"state":"ready","weight":1.0,"started_ms":5}]},
	"settings":{"balancers":2,"rank":1,"azs":["a"],"kinds":["m1","m2"],"unheard":{"of":1},
		"caps":{"conn_idle":60000000,"dial_timeout":250000},"tenants":[{"name":"acme","quota_per_s":10}],
		"classes":[{"name":"look","effect":"idempotent","hard_limit":1000000},
			{"name":"book","effect":"at_most_once","hard_limit":1000000}]}}`

// loadPlatformText writes the text to a file and loads it. vars has names and values of environment
// variables.
func loadPlatformText(t *testing.T, text string, vars ...string) (*Platform, error) {
	t.Helper()
	env := map[string]string{"GW_CONFIG": writeTempFile(t, "config.json", text)}
	for i := 0; i < len(vars); i += 2 {
		env[vars[i]] = vars[i+1]
	}
	return LoadPlatform(func(name string) string { return env[name] })
}

func TestLoadPlatformReadsAllFields(t *testing.T) {
	c, err := loadPlatformText(t, platformConfig, "GW_LISTEN", "127.0.0.9:9000")
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.9:9000" || c.Discovery != "127.0.0.2:8500" || c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("platform %+v, want name, addresses and seed of the file", c)
	}
	if c.MemoryMB != 192 || c.Sockets != 1024 || c.Cores != 1 {
		t.Errorf("cores %v, memory %d MiB, sockets %d, want 1, 192 and 1024", c.Cores, c.MemoryMB, c.Sockets)
	}
	if c.Classes["book"] != 1 || c.Kinds["m2"] != 1 || c.Tenants["acme"] != 0 || c.Zones["a"] != 0 || len(c.Classes) != 2 {
		t.Errorf("indexes of classes %v, kinds %v, tenants %v, zones %v, want look 0 and book 1, m2 1, acme 0, a 0", c.Classes, c.Kinds, c.Tenants, c.Zones)
	}
	if c.ConnIdle != time.Minute || c.DialTimeout != 250*time.Millisecond {
		t.Errorf("idle time of connections %v, dial timeout %v, want 1m and 250ms", c.ConnIdle, c.DialTimeout)
	}
	if c.Settings.Instances != 2 || c.Settings.Rank != 1 || c.Settings.Classes[1].Idempotency != balancer.NonIdempotent {
		t.Errorf("settings %+v, want 2 instances, rank 1 and a non-idempotent class 1", c.Settings)
	}
	if len(c.Known.Servers) != 1 || c.Known.Version != 41 {
		t.Errorf("known list %+v, want one host in version 41", c.Known)
	}
}

// Each error is one line that names the field.
func TestLoadPlatformErrorNamesField(t *testing.T) {
	for _, tt := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:9000"`, `"listen":"127.0.0.1"`, "listen"},
		{`"discovery":"127.0.0.2:8500",`, ``, "discovery"},
		{`"8c1f30d27a5be964"`, `"soon"`, "seed"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "memory_mb"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"settings"`, `"set"`, "settings"},
		{`"balancers":2`, `"balancers":0`, "instances"},
		{`"name":"book"`, `"name":"look"`, "classes"},
		{`"name":"acme"`, `"name":""`, "tenants"},
		{`"dial_timeout":250000`, `"dial_timeout":-1`, "caps.dial_timeout"},
		{`{"name":"n3"`, `{"name":`, "GW_CONFIG"},
	} {
		_, err := loadPlatformText(t, replaceFirst(t, platformConfig, tt.from, tt.to))
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", tt.to, err, tt.want)
		}
	}
	if _, err := loadPlatformText(t, platformConfig, "GW_CONFIG", ""); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("no file: error %v, want one with GW_CONFIG", err)
	}
}
