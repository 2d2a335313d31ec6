package discovery

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/balancer"
)

// told collects what a source tells.
type told chan MemberList

func (c told) UpdateEndpoints(kind balancer.ListKind, list MemberList) {
	if kind != balancer.ListFull {
		panic("a file has only whole lists")
	}
	c <- list
}

const one = `{"version":1,"servers":[
 {"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":2,"state":"ready","weight":1.0,"started_ms":5}
]}`

// A change of the file is told once; a file that is bad or away changes nothing, and when it
// is good again that is told.
func TestFileIsFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hosts.json")
	write := func(text string) {
		t.Helper()
		// Under another name first, as whoever replaces such a file should.
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	c := make(told, 1)
	f := NewFile(path)
	for _, step := range []struct {
		name string
		do   func()
		want string // the ids told; "": nothing
	}{
		{"no file yet", func() {}, ""},
		{"it is there", func() { write(one) }, "a"},
		{"the same again", func() { write(one) }, ""},
		{"another host", func() { write(strings.Replace(one, `"a"`, `"b"`, 1)) }, "b"},
		{"cut short", func() { write(one[:40]) }, ""},
		{"empty list", func() { write(`{"servers":[]}`) }, ""},
		{"gone", func() { os.Remove(path) }, ""},
		{"back as it was", func() { write(strings.Replace(one, `"a"`, `"b"`, 1)) }, "b"},
	} {
		step.do()
		f.read(c)
		got := ""
		select {
		case list := <-c:
			for _, m := range list.Servers {
				got += m.ID
			}
		default:
		}
		if got != step.want {
			t.Errorf("%s: told %q, want %q", step.name, got, step.want)
		}
	}
	// And by itself, until its end.
	f.Interval = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx, c) }()
	write(one)
	select {
	case list := <-c:
		if m := list.Servers[0]; m.ID != "a" || m.Cell != 2 || m.HostState() != balancer.Ready || m.StartedMS != 5 {
			t.Errorf("%+v", m)
		}
	case <-time.After(20 * time.Second):
		t.Error("a change is not told")
	}
	cancel()
	<-done
}

// What is wrong is one line with the line of the file.
func TestParseFileNamesTheLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"cell":2`, `"cel":2`, `unknown field "cel"`},
		{`"cell":2`, `"cell":"2"`, "f:2: servers.cell: is a string, wants a int"},
		{`"addr":"127.0.0.1:1"`, `"addr":"127.0.0.1"`, `f:2: host a: addr: "127.0.0.1" is no host:port`},
		{`"ready"`, `"redy"`, `f:2: host a: state: "redy" is neither`},
		{`"ready"`, `"gone"`, `f:2: host a: state: "gone" is neither`},
		{"\n]}", ",\n {\"id\":\"a\",\"addr\":\"h:1\",\"state\":\"ready\"}\n]}", `f:3: id: "a" is there twice`},
		{`"id":"a"`, `"id":""`, "host 1: it has no id"},
		{"\n]}", "\n]}\n{}", "f:4: something follows"},
		{"\n]}", "\n]", "f:3: it is cut short"},
	} {
		_, err := ParseFile("f", []byte(strings.Replace(one, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v, want %q", c.new, c.old, err, c.want)
		}
	}
	if list, err := ParseFile("f", []byte(one)); err != nil || !list.Full {
		t.Errorf("%+v, %v", list, err)
	}
}

// A change is told within a second, in virtual time: it guards the promise of how often the
// file is looked at.
func TestFileIsLookedAtEverySecond(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hosts.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(one)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c, done := make(told, 4), make(chan struct{})
		go func() { defer close(done); NewFile(path).Run(ctx, c) }()
		synctest.Wait()
		if len(c) != 1 {
			t.Fatalf("told %d times at the start", len(c))
		}
		<-c
		write(strings.Replace(one, `"id":"a"`, `"id":"b"`, 1))
		time.Sleep(time.Second)
		synctest.Wait()
		if len(c) != 1 {
			t.Errorf("told %d times in the second after a change", len(c))
		}
		time.Sleep(time.Minute)
		if len(c) != 1 {
			t.Errorf("told %d times though nothing changed", len(c))
		}
		cancel()
		<-done
	})
}
