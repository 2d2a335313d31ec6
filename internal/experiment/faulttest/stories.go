package faulttest

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Times of stories: how long a thing is watched for that must not come, and how long for one that
// must.
const (
	storySpan = 3 * sessionTime
	storyMost = handsMost
)

// Story is what is played among processes to find a guard taken out.
type Story struct {
	Guard string
	// Jumps says that it needs a build whose clock on the wall can be set: see BuildJumps.
	Jumps bool
	// Play says what it has seen that must not be, "" for nothing.
	Play func(f *Fleet) (seen string, err error)
}

// Stories are those that there are, for fleets of three of a build with the tag failpoints.
var Stories = []Story{
	{"pre-vote", false, func(f *Fleet) (string, error) {
		// A keeper that is cut off asks nobody for votes: its term stays.
		g, err := aside(f)
		if err != nil {
			return "", err
		}
		f.Alone(g, true, true)
		s, err := g.Status()
		if err != nil {
			return "", err
		}
		return within(f, func() string {
			if now, err := g.Status(); err == nil && now.Term > s.Term+1 { // one may have been on its way
				return fmt.Sprintf("alone, it went from term %d to %d", s.Term, now.Term)
			}
			return ""
		}), nil
	}},
	{"check-quorum", false, func(f *Fleet) (string, error) {
		g := f.Leader()
		if g == nil {
			return "", fmt.Errorf("nobody leads")
		}
		f.Alone(g, true, true)
		return lasts(f, "it leads, alone", func() bool { s, err := g.Status(); return err == nil && s.Role == "leader" }), nil
	}},
	{"deadline", false, func(f *Fleet) (string, error) {
		return believes(f, f.Owner("list/calendar"))
	}},
	{"wall-clock", true, func(f *Fleet) (string, error) {
		// The owner's clock goes back by hours, the others' go ahead: it counts by neither.
		owner := f.Owner("list/calendar")
		for _, g := range f.Gateways {
			by := 5 * time.Hour
			if g == owner {
				by = -by
			}
			if err := g.Jump(context.Background(), by); err != nil {
				return "", err
			}
		}
		return believes(f, owner)
	}},
	{"token-grows", false, func(f *Fleet) (string, error) {
		_, err := f.Hands(context.Background(), Kill, "list/calendar", nil)
		if bad := Check(f.History.Events()); len(bad) > 0 {
			return bad[0], nil
		}
		return "", err
	}},
	{"disk-identity", false, func(f *Fleet) (string, error) {
		return comesBack(f, (*Gateway).Wipe, func(*Status) bool { return true })
	}},
	{"old-copy", false, func(f *Fleet) (string, error) {
		// Laid over the files themselves: the disk can't tell, others can.
		return comesBack(f, func(g *Gateway) error {
			names, err := filepath.Glob(g.dir + ".copy/*")
			if err != nil || len(names) == 0 {
				return fmt.Errorf("no copy in %s: %v", g.dir, err)
			}
			for _, name := range names {
				b, err := os.ReadFile(name)
				if err == nil {
					err = os.WriteFile(filepath.Join(g.dir, filepath.Base(name)), b, 0o600)
				}
				if err != nil {
					return err
				}
			}
			return nil
		}, func(s *Status) bool {
			return s.Session != 0 && s.Role != "stopped" || strings.Contains(s.Why, "the log contradicts itself")
		})
	}},
}

// believes cuts the owner of the list off, and says whether it goes on believing that it is.
func believes(f *Fleet, g *Gateway) (string, error) {
	if g == nil {
		return "", fmt.Errorf("nobody owns the list")
	}
	n := f.History.Len()
	f.Alone(g, true, true)
	return lasts(f, "it believes that it owns the list, alone", func() bool {
		for _, e := range f.History.Events()[n:] {
			if e.Kind == LaidDown && e.Gateway == g.Name && e.Duty == "list/calendar" {
				return false
			}
		}
		return true
	}), nil
}

// aside is a keeper that does not lead.
func aside(f *Fleet) (*Gateway, error) {
	lead := f.Leader()
	for _, g := range f.Gateways[:f.Keepers] {
		if lead != nil && g != lead {
			return g, nil
		}
	}
	return nil, fmt.Errorf("nobody leads")
}

// within looks for so long whether something is seen.
func within(f *Fleet, look func() string) (seen string) {
	f.Until(context.Background(), "it is seen", storySpan, func() bool { seen = look(); return seen != "" })
	return seen
}

// lasts looks whether something that must end goes on for so long.
func lasts(f *Fleet, what string, on func() bool) string {
	if f.Until(context.Background(), "it ends", storySpan, func() bool { return !on() }) != nil {
		return fmt.Sprintf("%s, for %v", what, storySpan)
	}
	return ""
}

// comesBack has the disk of a keeper become another, and says whether it comes back as the one
// that it was, as soon as it does take part.
func comesBack(f *Fleet, become func(*Gateway) error, part func(*Status) bool) (string, error) {
	g, err := aside(f)
	if err != nil {
		return "", err
	}
	was, err := g.Status()
	if err != nil {
		return "", err
	}
	if err := g.Copy(); err != nil {
		return "", err
	}
	for i := range 4 { // entries that the copy does not have
		to := f.Gateways[i%2]
		if code, text, err := f.Gateways[0].Call("move", url.Values{"duty": {"housekeeping"}, "to": {to.Name}}); err != nil || code != 200 {
			return "", fmt.Errorf("move answers %d %s %v", code, text, err)
		}
	}
	if err := f.Until(context.Background(), "it has them", storyMost, func() bool { s, err := g.Status(); return err == nil && s.Commit > was.Commit }); err != nil {
		return "", err
	}
	g.Kill()
	if err := become(g); err != nil {
		return "", err
	}
	if err := g.Start(); err != nil {
		return "", err
	}
	var now *Status
	if err := f.Until(context.Background(), "it takes part", storyMost, func() bool {
		now, err = g.Status()
		return err == nil && (now.Disk != was.Disk || part(now))
	}); err != nil {
		return "", err
	}
	if now.Disk == was.Disk {
		return fmt.Sprintf("it is replica %d again, as %s", now.Disk, now.Role), nil
	}
	return "", nil
}
