// Package scenario reads what the lab plays: a fleet, its traffic and its troubles, with what must
// hold. A file is read as strictly as an appliance's: each mistake is a line with file, line and
// field.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lynxspool"
	"lynxspool/internal/config"
	"lynxspool/internal/model"
)

// Scenario is a file's content.
type Scenario struct {
	Name   string
	About  string
	Model  model.Config
	Expect Expect
}

// Expect is what must hold beside the four rules.
type Expect struct {
	InTime float64 // least share of first tries answered within their aim
	// From EndFrom on, counted from the start, the share in time must be EndInTime: what a trigger
	// leaves behind when it has gone.
	EndFrom   time.Duration
	EndInTime float64
}

// Missed says what does not hold in a run.
func (s *Scenario) Missed(r *model.Summary) (missed []string) {
	for rule, n := range r.Broken {
		if n > 0 {
			missed = append(missed, fmt.Sprintf("%v: %d times", model.Rule(rule), n))
		}
	}
	if got := r.InTime(); got < s.Expect.InTime {
		missed = append(missed, fmt.Sprintf("%.4f in time, %.4f expected", got, s.Expect.InTime))
	}
	if s.Expect.EndInTime > 0 {
		asked, in := 0, 0
		for i, sec := range r.Seconds {
			if time.Duration(i)*time.Second >= s.Expect.EndFrom {
				asked, in = asked+sec.Asked, in+sec.InTime
			}
		}
		if asked > 0 && float64(in) < s.Expect.EndInTime*float64(asked) {
			missed = append(missed, fmt.Sprintf("%.4f in time from %v on, %.4f expected", float64(in)/float64(asked), s.Expect.EndFrom, s.Expect.EndInTime))
		}
	}
	return missed
}

// file is the form of the text.
type file struct {
	About    string
	Length   config.Span
	Gateways int
	Module   struct {
		Attempts   int
		RetryAfter config.Span `toml:"retry_after"`
		ColdFrom   float64     `toml:"cold_from"`
		WarmAfter  config.Span `toml:"warm_after"`
		Overload   float64
		Fall       config.Span
	}
	Hosts []struct {
		Count, Cores, Slots, Queue, Conns, Zone int
		Speed                                   float64
		CrowdAt                                 float64 `toml:"crowd_at"`
		CrowdEnd                                float64 `toml:"crowd_end"`
		Slower                                  float64
	}
	Class []struct {
		Name, Effect, Group, Dist string
		Rate, CV, Worth           float64
		Work, Aim, Deadline       config.Span
		Window                    config.Span
	}
	Clients struct {
		Retries         int
		Backoff, Notice config.Span
		Jitter, Honour  float64
	}
	Net struct {
		Delay, Handshake, Connect config.Span
		Spread                    float64
	}
	Lists struct {
		Delay, Silent, Spread config.Span
	}
	Burst []struct {
		At, For config.Span
		Times   float64
		Class   string
	}
	Trouble []struct {
		Kind       string
		At, For    config.Span
		Part, Size float64
	}
	Expect struct {
		InTime    float64     `toml:"in_time"`
		EndFrom   config.Span `toml:"end_from"`
		EndInTime float64     `toml:"end_in_time"`
	}
}

var (
	effects = []string{"safe", "keyed", "unsafe"}
	groups  = []string{"all", "zone", "cell"}
)

// Load reads a file.
func Load(path string) (*Scenario, []error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{err}
	}
	return Parse(path, string(text))
}

// Parse reads a text. All that is wrong is said.
func Parse(path, data string) (*Scenario, []error) {
	text := config.NewText(path, data)
	var f file
	wrong := text.DecodeAll(&f)
	bad := func(table string, n int, field, format string, args ...any) {
		name := field
		if table != "" {
			name = table + "." + field
		}
		wrong = append(wrong, text.Error(text.Line(table, n, field), name, format, args...))
	}
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(path), ".toml"), About: f.About}
	m := &s.Model
	m.Length, m.Gateways = time.Duration(f.Length), f.Gateways
	m.Settings = lynxspool.Settings{
		Instances: 1, MaxAttempts: f.Module.Attempts, Cancel: true, MaxRetryAfter: time.Duration(f.Module.RetryAfter),
		ColdFrom: f.Module.ColdFrom, WarmAfter: time.Duration(f.Module.WarmAfter), OverloadFactor: f.Module.Overload, Fall: time.Duration(f.Module.Fall),
	}
	for _, h := range f.Hosts {
		m.Hosts = append(m.Hosts, model.Kind{
			Count: h.Count, Cores: h.Cores, Speed: h.Speed, Slots: h.Slots, Queue: h.Queue, Conns: h.Conns, Zone: h.Zone,
			CrowdAt: h.CrowdAt, CrowdEnd: h.CrowdEnd, Slower: h.Slower,
		})
	}
	for i, c := range f.Class {
		effect, group := slices.Index(effects, c.Effect), slices.Index(groups, c.Group)
		if effect < 0 {
			bad("class", i, "effect", "%q is none of %s", c.Effect, strings.Join(effects, ", "))
		}
		if c.Group == "" {
			group = 0
		} else if group < 0 {
			bad("class", i, "group", "%q is none of %s", c.Group, strings.Join(groups, ", "))
		}
		m.Settings.Classes = append(m.Settings.Classes, lynxspool.Class{
			Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline), Worth: c.Worth, Effect: lynxspool.Effect(max(effect, 0)),
			Group: lynxspool.Group(max(group, 0)), Window: time.Duration(c.Window),
		})
		m.Classes = append(m.Classes, model.Traffic{Name: c.Name, Rate: c.Rate, Work: time.Duration(c.Work), Dist: model.Dist(c.Dist), CV: c.CV})
	}
	m.Clients = model.Clients{Retries: f.Clients.Retries, Backoff: time.Duration(f.Clients.Backoff), Jitter: f.Clients.Jitter, Honour: f.Clients.Honour, Notice: time.Duration(f.Clients.Notice)}
	m.Net = model.Net{Delay: time.Duration(f.Net.Delay), Spread: f.Net.Spread, Handshake: time.Duration(f.Net.Handshake), Connect: time.Duration(f.Net.Connect)}
	m.Lists = model.Lists{Delay: time.Duration(f.Lists.Delay), Silent: time.Duration(f.Lists.Silent), Spread: time.Duration(f.Lists.Spread)}
	for _, b := range f.Burst {
		m.Bursts = append(m.Bursts, model.Burst{At: time.Duration(b.At), For: time.Duration(b.For), Times: b.Times, Class: b.Class})
	}
	for _, t := range f.Trouble {
		m.Troubles = append(m.Troubles, model.Trouble{Kind: model.TroubleKind(t.Kind), At: time.Duration(t.At), For: time.Duration(t.For), Part: t.Part, Size: t.Size})
	}
	s.Expect = Expect{f.Expect.InTime, time.Duration(f.Expect.EndFrom), f.Expect.EndInTime}
	for _, x := range []struct {
		field string
		share float64
	}{{"in_time", s.Expect.InTime}, {"end_in_time", s.Expect.EndInTime}} {
		if !(x.share >= 0 && x.share <= 1) {
			bad("expect", 0, x.field, "%v is not between 0 and 1", x.share)
		}
	}
	if s.Expect.EndFrom < 0 || s.Expect.EndFrom > m.Length {
		bad("expect", 0, "end_from", "%v is not within the run", s.Expect.EndFrom)
	}
	for _, x := range m.Check() {
		bad(x.Table, x.N, x.Field, "%s", x.Text)
	}
	if len(wrong) == 0 {
		if _, err := lynxspool.New(m.Settings, 1); err != nil {
			wrong = append(wrong, fmt.Errorf("%s: %w", path, err))
		}
	}
	if len(wrong) > 0 {
		return nil, wrong
	}
	return s, nil
}
