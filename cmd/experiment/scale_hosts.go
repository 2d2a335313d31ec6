package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunemoor/internal/experiment/scaletest"
)

func init() {
	registerScale(&scalePart{
		name: "hosts", by: "host", sizes: []int{100, 300, 1000, 5000, 20_000, 60_000}, smallSizes: []int{10, 20, 50, 100}, duration: "a minute",
		about: "one pool with the hosts in a file: memory, CPU at rest and of a change of one host; and the limit of static lists",
		run:   measureHosts,
	})
}

// writeHosts writes a file with a full endpoint list in the format of discovery. The last host is in the given state.
func writeHosts(path string, hosts int, lastState string) error {
	var b bytes.Buffer
	b.WriteString(`{"version": 1, "full": true, "servers": [` + "\n")
	for i := range hosts {
		state := "ready"
		comma := ","
		if i == hosts-1 {
			state = lastState
			comma = ""
		}
		fmt.Fprintf(&b, `{"id":"host-%d","addr":%q,"zone":"z%d","kind":"m","cell":%d,"state":%q}%s`+"\n", i, hostAddress(i), i%10, i/hostsPerCell, state, comma)
	}
	b.WriteString("]}\n")
	if err := os.WriteFile(path+".new", b.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func measureHosts(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "host", targetSize: targetHosts}
	r := &scaletest.Report{Notes: []string{memoryNote, "the program checks the file once per second (fileInterval, internal/discovery/file.go) and reads it completely, which is its CPU at rest",
		"the CPU of a change is measured from the write of the file until the list is loaded, minus the CPU at rest for that time"}}
	dir, err := env.makeDir("hosts")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "hosts.json")
	config := fmt.Sprintf("[[pool]]\nname = \"pool-0\"\nmembers_file = %q\n", path) + routesConfig(1, 1)
	for _, size := range sizes {
		if err := s.addHosts(ctx, env, size, path, config); err != nil {
			return nil, fmt.Errorf("%d hosts: %w", size, err)
		}
	}
	r.Series = s.list
	const beyondStatic = 5001
	r.Breaks, err = startBeyondLimit(ctx, env, beyondStatic, "host", "internal/config: maxMembers; static lists only",
		strings.ReplaceAll(poolsConfig(1, beyondStatic), "p0-", "")+routesConfig(1, 1))
	if err != nil || env.small {
		return r, err
	}
	breaks, err := hostsFileLimit(ctx, env, path, config)
	r.Breaks = append(r.Breaks, breaks...)
	return r, err
}

// Numbers of changes of one host that are measured.
const (
	hostChanges      = 3
	smallHostChanges = 1
)

// addHosts measures the program with one number of hosts.
func (s *seriesSet) addHosts(ctx context.Context, env *scaleEnv, size int, path, config string) error {
	fmt.Fprintf(env.progress, "%d hosts\n", size)
	if err := writeHosts(path, size, "ready"); err != nil {
		return err
	}
	head, err := configHead()
	if err != nil {
		return err
	}
	g, err := startGateway(ctx, env, head+config)
	if err != nil {
		return err
	}
	defer g.process.Kill()
	startCPU, err := g.cpuTime()
	if err != nil {
		return err
	}
	idleCPU, err := g.idleCPU(env)
	if err != nil {
		return err
	}
	resident, peak, err := g.memory()
	if err != nil {
		return err
	}
	s.addCPU(size, "start", startCPU, 1)
	s.add(size, "resident at rest", "MB", 1, resident)
	s.add(size, "peak of the start", "MB", 1, peak)
	s.addCPU(size, "a second at rest", idleCPU, idleSeconds)
	changes := hostChanges
	if env.small {
		changes = smallHostChanges
	}
	changeCPU, err := g.hostChangeCost(ctx, size, changes, path, idleCPU)
	if err != nil {
		return err
	}
	s.addCPU(size, "a change of one host", changeCPU, changes)
	if _, peak, err = g.memory(); err != nil {
		return err
	}
	s.add(size, "peak with changes", "MB", 1, peak)
	return nil
}

// hostChangeCost returns the mean CPU time of a change of one host, minus the CPU time of the program at rest.
func (g *gatewayProcess) hostChangeCost(ctx context.Context, hosts, changes int, path string, idleCPU time.Duration) (time.Duration, error) {
	startedAt := time.Now()
	cpu, err := g.cpuDuring(func() error {
		for i := range changes {
			if err := writeHosts(path, hosts, []string{"draining", "ready"}[i%2]); err != nil {
				return err
			}
			if err := g.waitForLog(ctx, `msg="endpoint file loaded"`, i+1); err != nil {
				return err
			}
		}
		return nil
	})
	cpu -= time.Duration(float64(idleCPU) * time.Since(startedAt).Seconds())
	return max(cpu, 0) / time.Duration(changes), err
}

// hostsFileLimit starts the program with a file of targetHosts hosts, and returns a break if the program rejects the
// file.
func hostsFileLimit(ctx context.Context, env *scaleEnv, path, config string) ([]scaletest.Break, error) {
	if err := writeHosts(path, targetHosts, "ready"); err != nil {
		return nil, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	head, err := configHead()
	if err != nil {
		return nil, err
	}
	const where = "internal/discovery/file.go: maxFileBytes"
	g, err := startGateway(ctx, env, head+config)
	if err != nil {
		return []scaletest.Break{{By: "host", Size: targetHosts, What: err.Error(), Where: where}}, nil
	}
	defer g.process.Kill()
	// If the program rejects the list, it logs an error and serves requests without hosts.
	if err := g.waitForLog(ctx, "read endpoint file failed", 1); err != nil {
		return nil, nil // the list is loaded
	}
	return []scaletest.Break{{By: "host", Size: targetHosts, What: fmt.Sprintf("a file of %d bytes is rejected, and the pool has no hosts", info.Size()), Where: where}}, nil
}
