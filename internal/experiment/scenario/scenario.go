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

	"github.com/BurntSushi/toml"

	"dunemoor/balancer"
	"dunemoor/internal/config"
	"dunemoor/internal/experiment/simulator"
)

// Scenario is a file's content.
type Scenario struct {
	Name   string
	About  string
	Seed   uint64 // that it is played with where no other is asked for; 0: 1
	Model  simulator.Config
	Expect Expect
}

// Expect is what must hold beside the four rules.
type Expect struct {
	InTime float64 // least share of first tries answered within their aim
	// From EndFrom on, counted from the start, the share in time must be EndInTime: what a trigger
	// leaves behind when it has gone.
	EndFrom   time.Duration
	EndInTime float64
	Worth     float64 // least share of the worth asked for that is answered within the aim
	Class     float64 // least share in time of any class
	Most      Budget
}

// Budget is what a fleet may do in a second, all gateways together; 0: not looked at.
type Budget struct {
	Handshakes int `toml:"handshakes,omitzero"`
	ColdSends  int `toml:"cold_sends,omitzero"`
	DeadSends  int `toml:"dead_sends,omitzero"`
	ListCalls  int `toml:"list_calls,omitzero"`
}

// over says what a second has too much of.
func (b *Budget) over(s *simulator.Second) string {
	for _, x := range []struct {
		name      string
		got, most int
	}{
		{"handshakes", s.Handshakes, b.Handshakes}, {"cold_sends", s.ColdSends, b.ColdSends},
		{"dead_sends", s.DeadSends, b.DeadSends}, {"list_calls", s.ListCalls, b.ListCalls},
	} {
		if x.most > 0 && x.got > x.most {
			return fmt.Sprintf("%s: %d, at most %d expected", x.name, x.got, x.most)
		}
	}
	return ""
}

// Missed says what does not hold in a run.
func (s *Scenario) Missed(r *simulator.Summary) (missed []string) {
	for rule, n := range r.Broken {
		if n > 0 {
			missed = append(missed, fmt.Sprintf("%v: %d times", simulator.Rule(rule), n))
		}
	}
	if got := r.InTime(); got < s.Expect.InTime {
		missed = append(missed, fmt.Sprintf("%.4f in time, %.4f expected", got, s.Expect.InTime))
	}
	if got := r.Worth(); got < s.Expect.Worth {
		missed = append(missed, fmt.Sprintf("%.4f of the worth in time, %.4f expected", got, s.Expect.Worth))
	}
	for _, c := range r.Classes {
		if c.Asked > 0 && float64(c.InTime) < s.Expect.Class*float64(c.Asked) {
			missed = append(missed, fmt.Sprintf("%s: %.4f in time, %.4f expected", c.Name, float64(c.InTime)/float64(c.Asked), s.Expect.Class))
		}
	}
	for i := range r.Seconds {
		if over := s.Expect.Most.over(&r.Seconds[i]); over != "" {
			missed = append(missed, fmt.Sprintf("second %d: %s", i, over))
			break
		}
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
	About    string          `toml:"about,omitempty"`
	Seed     int64           `toml:"seed,omitzero"`
	Length   config.Duration `toml:"length"`
	Gateways int             `toml:"gateways"`
	Skew     float64         `toml:"skew,omitzero"`
	Module   module          `toml:"module"`
	Hosts    []hosts         `toml:"hosts"`
	Class    []class         `toml:"class"`
	Clients  clients         `toml:"clients"`
	Net      network         `toml:"net"`
	Lists    lists           `toml:"lists"`
	Burst    []burst         `toml:"burst,omitempty"`
	Trouble  []trouble       `toml:"trouble,omitempty"`
	Expect   expect          `toml:"expect"`
}

type module struct {
	Attempts   int             `toml:"attempts,omitzero"`
	RetryAfter config.Duration `toml:"retry_after,omitzero"`
	ColdFrom   float64         `toml:"cold_from,omitzero"`
	WarmAfter  config.Duration `toml:"warm_after,omitzero"`
	Overload   float64         `toml:"overload,omitzero"`
	Fall       config.Duration `toml:"fall,omitzero"`
}

type hosts struct {
	Count      int             `toml:"count"`
	Cores      int             `toml:"cores"`
	Speed      float64         `toml:"speed,omitzero"`
	Slots      int             `toml:"slots,omitzero"`
	Queue      int             `toml:"queue,omitzero"`
	Conns      int             `toml:"conns,omitzero"`
	Zone       int             `toml:"zone,omitzero"`
	CrowdAt    float64         `toml:"crowd_at,omitzero"`
	CrowdEnd   float64         `toml:"crowd_end,omitzero"`
	Slower     float64         `toml:"slower,omitzero"`
	CrowdAfter config.Duration `toml:"crowd_after,omitzero"`
	Cell       int             `toml:"cell,omitzero"`
}

type class struct {
	Name     string          `toml:"name"`
	Effect   string          `toml:"effect"`
	Group    string          `toml:"group,omitempty"`
	Window   config.Duration `toml:"window,omitzero"`
	Rate     float64         `toml:"rate"`
	Work     config.Duration `toml:"work"`
	Dist     string          `toml:"dist,omitempty"`
	CV       float64         `toml:"cv,omitzero"`
	Aim      config.Duration `toml:"aim,omitzero"`
	Deadline config.Duration `toml:"deadline,omitzero"`
	Worth    float64         `toml:"worth,omitzero"`
}

type clients struct {
	Retries int             `toml:"retries,omitzero"`
	Backoff config.Duration `toml:"backoff,omitzero"`
	Jitter  float64         `toml:"jitter,omitzero"`
	Honour  float64         `toml:"honour,omitzero"`
	Notice  config.Duration `toml:"notice,omitzero"`
	Early   float64         `toml:"early,omitzero"`
	Hasty   float64         `toml:"hasty,omitzero"`
}

type network struct {
	Delay     config.Duration `toml:"delay,omitzero"`
	Spread    float64         `toml:"spread,omitzero"`
	Handshake config.Duration `toml:"handshake,omitzero"`
	Connect   config.Duration `toml:"connect,omitzero"`
}

type lists struct {
	Delay  config.Duration `toml:"delay,omitzero"`
	Silent config.Duration `toml:"silent,omitzero"`
	Spread config.Duration `toml:"spread,omitzero"`
	Call   config.Duration `toml:"call,omitzero"`
}

type burst struct {
	At    config.Duration `toml:"at"`
	For   config.Duration `toml:"for"`
	Times float64         `toml:"times"`
	Class string          `toml:"class,omitempty"`
}

type trouble struct {
	Kind  string          `toml:"kind"`
	At    config.Duration `toml:"at"`
	For   config.Duration `toml:"for"`
	Part  float64         `toml:"part"`
	Size  float64         `toml:"size,omitzero"`
	Steps int             `toml:"steps,omitzero"`
}

type expect struct {
	InTime    float64         `toml:"in_time,omitzero"`
	EndFrom   config.Duration `toml:"end_from,omitzero"`
	EndInTime float64         `toml:"end_in_time,omitzero"`
	Worth     float64         `toml:"worth,omitzero"`
	Class     float64         `toml:"class,omitzero"`
	Budget
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
		wrong = append(wrong, text.Errorf(text.Line(table, n, field), name, format, args...))
	}
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(path), ".toml"), About: f.About, Seed: uint64(max(f.Seed, 0))}
	if f.Seed < 0 {
		bad("", 0, "seed", "%d is below 0", f.Seed)
	}
	m := &s.Model
	m.Length, m.Gateways, m.Skew = time.Duration(f.Length), f.Gateways, f.Skew
	m.Settings = balancer.Settings{
		Instances: 1, MaxAttempts: f.Module.Attempts, Cancel: true, MaxRetryAfter: time.Duration(f.Module.RetryAfter),
		SlowStartShare: f.Module.ColdFrom, SlowStartWindow: time.Duration(f.Module.WarmAfter), OverloadFactor: f.Module.Overload, OverloadWindow: time.Duration(f.Module.Fall),
	}
	for _, h := range f.Hosts {
		m.Hosts = append(m.Hosts, simulator.Kind{
			Count: h.Count, Cores: h.Cores, Speed: h.Speed, Slots: h.Slots, Queue: h.Queue, Conns: h.Conns, Zone: h.Zone,
			CrowdAt: h.CrowdAt, CrowdEnd: h.CrowdEnd, Slower: h.Slower, CrowdAfter: time.Duration(h.CrowdAfter), Cell: h.Cell,
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
		m.Settings.Classes = append(m.Settings.Classes, balancer.Class{
			LatencyObjective: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline), PriorityWeight: c.Worth, Idempotency: balancer.Idempotency(max(effect, 0)),
			DedupScope: balancer.DedupScope(max(group, 0)), DedupWindow: time.Duration(c.Window),
		})
		m.Classes = append(m.Classes, simulator.Traffic{Name: c.Name, Rate: c.Rate, Work: time.Duration(c.Work), Dist: simulator.Dist(c.Dist), CV: c.CV})
	}
	m.Clients = simulator.Clients{Retries: f.Clients.Retries, Backoff: time.Duration(f.Clients.Backoff), Jitter: f.Clients.Jitter, Honour: f.Clients.Honour, Notice: time.Duration(f.Clients.Notice), Early: f.Clients.Early, Hasty: f.Clients.Hasty}
	m.Net = simulator.Net{Delay: time.Duration(f.Net.Delay), Spread: f.Net.Spread, Handshake: time.Duration(f.Net.Handshake), Connect: time.Duration(f.Net.Connect)}
	m.Lists = simulator.Lists{Delay: time.Duration(f.Lists.Delay), Silent: time.Duration(f.Lists.Silent), Spread: time.Duration(f.Lists.Spread), Call: time.Duration(f.Lists.Call)}
	for _, b := range f.Burst {
		m.Bursts = append(m.Bursts, simulator.Burst{At: time.Duration(b.At), For: time.Duration(b.For), Times: b.Times, Class: b.Class})
	}
	for _, t := range f.Trouble {
		m.Troubles = append(m.Troubles, simulator.Trouble{Kind: simulator.TroubleKind(t.Kind), At: time.Duration(t.At), For: time.Duration(t.For), Part: t.Part, Size: t.Size, Steps: t.Steps})
	}
	s.Expect = Expect{f.Expect.InTime, time.Duration(f.Expect.EndFrom), f.Expect.EndInTime, f.Expect.Worth, f.Expect.Class, f.Expect.Budget}
	for _, x := range []struct {
		field string
		share float64
	}{{"in_time", s.Expect.InTime}, {"end_in_time", s.Expect.EndInTime}, {"worth", s.Expect.Worth}, {"class", s.Expect.Class}} {
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
		if _, err := balancer.New(m.Settings, 1); err != nil {
			wrong = append(wrong, fmt.Errorf("%s: %w", path, err))
		}
	}
	if len(wrong) > 0 {
		return nil, wrong
	}
	return s, nil
}

// Text is the scenario as a file that Parse reads as the same.
func (s *Scenario) Text() (string, error) {
	m, k := &s.Model, &s.Model.Settings
	f := file{
		About: s.About, Seed: int64(s.Seed), Length: config.Duration(m.Length), Gateways: m.Gateways, Skew: m.Skew,
		Module:  module{k.MaxAttempts, config.Duration(k.MaxRetryAfter), k.SlowStartShare, config.Duration(k.SlowStartWindow), k.OverloadFactor, config.Duration(k.OverloadWindow)},
		Clients: clients{m.Clients.Retries, config.Duration(m.Clients.Backoff), m.Clients.Jitter, m.Clients.Honour, config.Duration(m.Clients.Notice), m.Clients.Early, m.Clients.Hasty},
		Net:     network{config.Duration(m.Net.Delay), m.Net.Spread, config.Duration(m.Net.Handshake), config.Duration(m.Net.Connect)},
		Lists:   lists{config.Duration(m.Lists.Delay), config.Duration(m.Lists.Silent), config.Duration(m.Lists.Spread), config.Duration(m.Lists.Call)},
		Expect:  expect{s.Expect.InTime, config.Duration(s.Expect.EndFrom), s.Expect.EndInTime, s.Expect.Worth, s.Expect.Class, s.Expect.Most},
	}
	for _, h := range m.Hosts {
		f.Hosts = append(f.Hosts, hosts{h.Count, h.Cores, h.Speed, h.Slots, h.Queue, h.Conns, h.Zone, h.CrowdAt, h.CrowdEnd, h.Slower, config.Duration(h.CrowdAfter), h.Cell})
	}
	for i, t := range m.Classes {
		c := k.Classes[i]
		f.Class = append(f.Class, class{
			t.Name, effects[c.Idempotency], groups[c.DedupScope], config.Duration(c.DedupWindow), t.Rate, config.Duration(t.Work), string(t.Dist), t.CV,
			config.Duration(c.LatencyObjective), config.Duration(c.Deadline), c.PriorityWeight,
		})
	}
	for _, b := range m.Bursts {
		f.Burst = append(f.Burst, burst{config.Duration(b.At), config.Duration(b.For), b.Times, b.Class})
	}
	for _, t := range m.Troubles {
		f.Trouble = append(f.Trouble, trouble{string(t.Kind), config.Duration(t.At), config.Duration(t.For), t.Part, t.Size, t.Steps})
	}
	var out strings.Builder
	enc := toml.NewEncoder(&out)
	enc.Indent = ""
	if err := enc.Encode(f); err != nil {
		return "", err
	}
	return out.String(), nil
}
