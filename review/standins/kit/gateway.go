package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// Env is the surroundings of a case, from the variables that run.sh sets.
type Env struct {
	Root    string // the repository's root
	Temp    string // the run's temporary folder
	Trouble bool   // whether the disruption is played
	Record  *Record
}

// LoadEnv reads REVIEW_ROOT, REVIEW_TEMP, REVIEW_RECORD and TROUBLE.
func LoadEnv() (*Env, error) {
	e := &Env{Root: os.Getenv("REVIEW_ROOT"), Temp: os.Getenv("REVIEW_TEMP"), Trouble: os.Getenv("TROUBLE") != "0"}
	if e.Root == "" || e.Temp == "" {
		return nil, errors.New("REVIEW_ROOT or REVIEW_TEMP is not set")
	}
	var err error
	e.Record, err = NewRecord(os.Getenv("REVIEW_RECORD"))
	if err == nil {
		e.Record.Logf("trouble %t", e.Trouble)
	}
	return e, err
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Process is a process that the case has started, in a process group of its own.
type Process struct {
	*exec.Cmd
	Name   string
	Exited chan struct{}
}

// start starts a command whose output goes to a file in the temporary folder.
func (e *Env) start(name string, c *exec.Cmd) (*Process, error) {
	out, err := os.Create(filepath.Join(e.Temp, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	if c.Stdout == nil {
		c.Stdout = out
	}
	c.Stderr = out
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &Process{Cmd: c, Name: name, Exited: make(chan struct{})}
	go func() { c.Wait(); close(p.Exited) }()
	e.Record.Logf("started %s, process %d", name, c.Process.Pid)
	return p, nil
}

// Stop ends the process and its group.
func (p *Process) Stop() {
	if p != nil && p.Cmd.Process != nil {
		syscall.Kill(-p.Cmd.Process.Pid, syscall.SIGKILL)
		<-p.Exited
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Exited:
		return false
	default:
		return true
	}
}

// runLine is the line of the deploy file with the command that starts a gateway.
var runLine = regexp.MustCompile(`(?m)^run\s*=\s*("(?:[^"\\]|\\.)*")`)

// DeployRun returns the command `run` of deploy/balancer.toml.
func (e *Env) DeployRun() (string, error) {
	text, err := os.ReadFile(filepath.Join(e.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml: no run")
	}
	return strconv.Unquote(string(m[1]))
}

// Gateway is a gateway's process.
type Gateway struct {
	*Process
	Addr   string
	Config string // path of its configuration
}

// StartGateway writes a configuration and starts a gateway by the deploy file's command. It returns once GET /_health
// has responded with 200.
func (e *Env) StartGateway(name string, config map[string]any) (*Gateway, error) {
	run, err := e.DeployRun()
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(e.Temp, name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp(e.Temp, name+"-tmp-")
	if err != nil {
		return nil, err
	}
	listen := config["listen"].(string)
	c := exec.Command("/bin/sh", "-c", run)
	c.Dir = e.Root
	c.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME="+name, "GW_LISTEN="+listen,
		"GW_DISCOVERY="+config["discovery"].(string), "TMPDIR="+tmp)
	return e.startReady(name, c, listen, path)
}

// StartAppliance writes an appliance's file and starts a gateway with it, by the deploy file's command.
func (e *Env) StartAppliance(name, listen, text string) (*Gateway, error) {
	run, err := e.DeployRun()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(e.Temp, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	c := exec.Command("/bin/sh", "-c", run+` -appliance "$APPLIANCE"`)
	c.Dir = e.Root
	c.Env = append(os.Environ(), "APPLIANCE="+path, "TMPDIR="+e.Temp)
	return e.startReady(name, c, listen, path)
}

// startReady starts a gateway and waits until it is ready.
func (e *Env) startReady(name string, c *exec.Cmd, listen, path string) (*Gateway, error) {
	p, err := e.start(name, c)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Process: p, Addr: listen, Config: path}
	for range 150 {
		if healthy(listen) {
			e.Record.Logf("%s is ready", name)
			return g, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.Stop()
	return nil, fmt.Errorf("%s is not ready within 15 s", name)
}

func healthy(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartStandIn starts this program again in another role, as a process of its own.
func (e *Env) StartStandIn(name string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return e.start(name, exec.Command(self, args...))
}
