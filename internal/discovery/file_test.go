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
	"dunemoor/internal/testutil"
)

// listSink collects the lists of a file.
type listSink chan MemberList

func (c listSink) UpdateEndpoints(kind balancer.ListKind, list MemberList) {
	if kind != balancer.ListFull {
		panic("a file source sends full lists only")
	}
	c <- list
}

// oneHost is a file with one ready host, a.
const oneHost = `{"version":1,"servers":[
 {"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":2,"state":"ready","weight":1.0,"started_ms":5}
]}`

// Each change of the file is reported once. While the file is malformed or missing, nothing is
// reported; its list is reported again when it is valid.
func TestFileReportsEachChangeOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hosts.json")
	write := func(text string) {
		t.Helper()
		// The file is written under another name and renamed, as operators should replace it too.
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	c := make(listSink, 1)
	f := NewFile(path)
	for _, step := range []struct {
		name string
		do   func()
		want string // the reported IDs; "" if no list is reported
	}{
		{"no file yet", func() {}, ""},
		{"created", func() { write(oneHost) }, "a"},
		{"written unchanged", func() { write(oneHost) }, ""},
		{"another host", func() { write(strings.Replace(oneHost, `"a"`, `"b"`, 1)) }, "b"},
		{"truncated", func() { write(oneHost[:40]) }, ""},
		{"empty list", func() { write(`{"servers":[]}`) }, ""},
		{"removed", func() { os.Remove(path) }, ""},
		{"restored", func() { write(strings.Replace(oneHost, `"a"`, `"b"`, 1)) }, "b"},
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
			t.Errorf("%s: reported %q, want %q", step.name, got, step.want)
		}
	}
	// Run reads the file periodically until its context is done.
	f.Interval = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx, c) }()
	write(oneHost)
	select {
	case list := <-c:
		if m := list.Servers[0]; m.ID != "a" || m.Cell != 2 || m.HostState() != balancer.Ready || m.StartedMS != 5 {
			t.Errorf("host %+v, want a in cell 2, ready and started at 5", m)
		}
	case <-time.After(20 * time.Second):
		t.Error("change not reported within 20 s, want it reported")
	}
	cancel()
	<-done
}

// Each error is one line with the line number in the file.
func TestParseFileErrorNamesLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"cell":2`, `"cel":2`, `unknown field "cel"`},
		{`"cell":2`, `"cell":"2"`, "f:2: servers.cell: is a string, must be of type int"},
		{`"addr":"127.0.0.1:1"`, `"addr":"127.0.0.1"`, `f:2: host a: addr: "127.0.0.1" is not a host:port address`},
		{`"ready"`, `"redy"`, `f:2: host a: state: "redy" is neither`},
		{`"ready"`, `"gone"`, `f:2: host a: state: "gone" is neither`},
		{"\n]}", ",\n {\"id\":\"a\",\"addr\":\"h:1\",\"state\":\"ready\"}\n]}", `f:3: id: "a" is listed twice`},
		{`"id":"a"`, `"id":""`, "host 1: id is missing"},
		{"\n]}", "\n]}\n{}", "f:4: unexpected data after the list"},
		{"\n]}", "\n]", "f:3: the file is truncated"},
	} {
		_, err := ParseFile("f", []byte(strings.Replace(oneHost, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error %v, want one line with %q", c.new, c.old, err, c.want)
		}
	}
	if list, err := ParseFile("f", []byte(oneHost)); err != nil || !list.Full {
		t.Errorf("list %+v, error %v, want a full list", list, err)
	}
}

// A change is reported within a second. The test runs in virtual time.
func TestFileReportsChangeWithinASecond(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hosts.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(oneHost)
	testutil.VirtualTime(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c, done := make(listSink, 4), make(chan struct{})
		go func() { defer close(done); NewFile(path).Run(ctx, c) }()
		synctest.Wait()
		if len(c) != 1 {
			t.Fatalf("%d lists reported at the start, want 1", len(c))
		}
		<-c
		write(strings.Replace(oneHost, `"id":"a"`, `"id":"b"`, 1))
		time.Sleep(time.Second)
		synctest.Wait()
		if len(c) != 1 {
			t.Errorf("%d lists reported in the second after a change, want 1", len(c))
		}
		time.Sleep(time.Minute)
		if len(c) != 1 {
			t.Errorf("%d lists reported after a minute without a change, want 1", len(c))
		}
		cancel()
		<-done
	})
}
