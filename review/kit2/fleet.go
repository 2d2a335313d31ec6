package kit2

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Gateway is a gateway of a fleet of a case.
type Gateway struct {
	*Process
	ID, Web, Admin, Listen, Discovery, DataDir string
	Peers                                      map[string]string // addresses of the other gateways, as this one has them

	c        *Case
	replicas []string
	settings string
}

// NewFleet returns the gateways of a fleet of three, which are not started yet. settings is the part of the file without
// name, admin, listener and fleet; DISCOVERY in it stands for the gateway's address of discovery.
func (c *Case) NewFleet(d *Discovery, settings string) (list []*Gateway, err error) {
	if _, err := c.Write("fleet.key", strings.Repeat("k", 44)+"\n"); err != nil {
		return nil, err
	}
	names := []string{"depot-1", "depot-2", "depot-3"}
	for _, name := range names {
		g := &Gateway{
			ID: name, c: c, Web: c.Address(), Admin: c.Address(), Listen: c.Address(), replicas: names, settings: settings,
			DataDir: filepath.Join(c.Dir, name), Peers: map[string]string{},
		}
		if d != nil {
			if g.Discovery, err = d.Serve(); err != nil {
				return nil, err
			}
		}
		list = append(list, g)
	}
	for _, g := range list {
		for _, o := range list {
			g.Peers[o.ID] = o.Listen
		}
	}
	return list, nil
}

// SetSettings changes the file; Write puts it in place.
func (g *Gateway) SetSettings(settings string) { g.settings = settings }

// WriteFile writes the gateway's file and returns its path.
func (g *Gateway) WriteFile() (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nadmin = %q\n[[listener]]\nname = \"web\"\naddress = %q\n", g.ID, g.Admin, g.Web)
	b.WriteString(strings.ReplaceAll(g.settings, "DISCOVERY", g.Discovery))
	fmt.Fprintf(&b, "\n[fleet]\nid = \"glasgow\"\nlisten = %q\ndata_dir = %q\nkey_file = %q\nfirst = [\"%s\"]\n",
		g.Listen, g.DataDir, filepath.Join(g.c.Dir, "fleet.key"), strings.Join(g.replicas, `", "`))
	for i, name := range g.replicas {
		fmt.Fprintf(&b, "[[fleet.peer]]\nname = %q\nzone = \"hall-a\"\nmachine = \"m%d\"\n", name, i)
		if name != g.ID {
			fmt.Fprintf(&b, "address = %q\n", g.Peers[name])
		}
	}
	// The file is replaced in one step, as a gateway may read it at any time.
	path := filepath.Join(g.c.Dir, g.ID+".toml")
	if err := os.WriteFile(path+".new", []byte(b.String()), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// Launch writes the file and starts the process.
func (g *Gateway) Launch() error {
	path, err := g.WriteFile()
	if err != nil {
		return err
	}
	g.Process, err = g.c.Start(g.ID, path)
	return err
}

// Ready reports whether the gateway says that it can serve.
func (g *Gateway) Ready() bool {
	status, _ := get("http://" + g.Web + "/_health")
	return status == http.StatusOK
}

// Status is a part of what a gateway says of its fleet.
type Status struct {
	Session uint64 `json:"session"`
	Role    string `json:"role"`
	Duties  []struct {
		Name, Owner string
		Token       uint64
	} `json:"duties"`
	Words []struct{ Pool, Host string } `json:"words"`
}

// Fleet returns what the gateway says of its fleet.
func (g *Gateway) Fleet() (s Status) {
	_, text := get("http://" + g.Admin + "/admin/fleet")
	json.Unmarshal([]byte(text), &s)
	return s
}

// Holder returns the gateway that holds a lease, as this one knows it; "" if there is none.
func (g *Gateway) Holder(lease string) string {
	for _, d := range g.Fleet().Duties {
		if d.Name == lease {
			return d.Owner
		}
	}
	return ""
}

// Call makes an operator's call.
func (g *Gateway) Call(path string) (status int, text string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.Admin+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	status, text = do(r)
	g.c.Logf("%s: POST %s: %d %s", g.ID, path, status, strings.TrimSpace(text))
	return status, text
}

// LaunchAll starts the gateways and waits until all have a session, serve, and one holds the lease.
func (c *Case) LaunchAll(fleet []*Gateway, lease string) error {
	for _, g := range fleet {
		if err := g.Launch(); err != nil {
			return err
		}
	}
	return c.Await("the fleet serves", func() bool {
		for _, g := range fleet {
			if !g.Ready() || g.Fleet().Session == 0 || lease != "" && g.Holder(lease) == "" {
				return false
			}
		}
		return true
	})
}

func get(url string) (status int, text string) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err.Error()
	}
	return do(r)
}

var client = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func do(r *http.Request) (status int, text string) {
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// Health returns the status of the health check at an address, 0 if there is none.
func Health(addr string) int {
	status, _ := get("http://" + addr + "/_health")
	return status
}
