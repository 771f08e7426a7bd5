package testfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/fake"
	"cranegrade/internal/fleet"
)

// Member is one of the processes.
type Member struct {
	Index   int
	Name    string
	Process *Process // nil: it was never started
	Callers *fake.Callers

	Program  string         // another than the fleet's; "": that
	Registry *fake.Registry // another than the fleet's; nil: that

	fleet          *Fleet
	callerAddr     string // where callers come, the same after a restart
	inspectionAddr string
	paused         bool
}

// State is a member's own directory.
func (m *Member) StateDir() string { return filepath.Join(m.fleet.Dir, m.Name) }

// file is the member's.
func (m *Member) configText() string {
	f := m.fleet
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlisten = [%q]\nadmin = \"127.0.0.1:0\"\ndefault = \"app\"\nlimits = { cores = 1 }\nnodes = %d\n%s\n", m.Name, m.callerAddr, f.ConfiguredNodes, strings.ReplaceAll(f.ExtraSettings, "{state}", m.StateDir()))
	if f.Standalone {
		fmt.Fprintf(&b, "index = %d\n", m.Index%f.ConfiguredNodes)
	} else {
		var join []string
		for i := range min(3, f.FleetConfig.MemberCount) {
			join = append(join, fmt.Sprintf("%q", f.Fabric.PublicAddr(i)))
		}
		fmt.Fprintf(&b, "[fleet]\n")
		if f.GossipKey != "" {
			fmt.Fprintf(&b, "key = %q\n", f.GossipKey)
		}
		fmt.Fprintf(&b, "listen = %q\nadvertise = %q\njoin = [%s]\nlease = %q\nsettle = \"500ms\"\nprobe = \"200ms\"\n",
			f.Fabric.ListenAddr(m.Index), f.Fabric.PublicAddr(m.Index), strings.Join(join, ", "), f.Lease)
	}
	registry := f.Registry
	if m.Registry != nil {
		registry = m.Registry
	}
	b.WriteString(PoolConfig("app", fmt.Sprintf("registry = %q", registry.Addr()), f.ExtraPoolSettings))
	return b.String()
}

// Start starts a member, or starts it again, and returns once it listens.
func (m *Member) Start() error {
	f := m.fleet
	config := filepath.Join(m.StateDir(), "node.toml")
	if err := os.WriteFile(config, []byte(m.configText()), 0o600); err != nil {
		return err
	}
	program := f.Program
	if m.Program != "" {
		program = m.Program
	}
	p, err := Start(program, config)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	admin, err := p.AwaitLogged("telling what it holds on ")
	if err != nil {
		p.Kill()
		return err
	}
	f.mu.Lock()
	m.Process, m.callerAddr, m.inspectionAddr, m.paused = p, p.Addr, admin, false
	if m.Callers == nil {
		m.Callers = fake.NewCallers(f.Recorder, p.Addr, f.Seed<<8|uint64(m.Index+1), 2*time.Second+f.Slack)
		m.Callers.SetProcess(m.Name)
	}
	f.mu.Unlock()
	f.Recorder.ProcessUp(m.Name)
	return nil
}

// Upgrade starts a successor beside the running process, and ends that once the new one has taken over.
func (m *Member) Upgrade() error {
	old := m.Process
	if err := m.Start(); err != nil {
		return err
	}
	addr, err := m.Process.AwaitLogged("operators call on ")
	if err != nil {
		return err
	}
	if !Await(10*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		yes, _, err := admin.Send(ctx, addr, admin.Command{Verb: admin.Check})
		return yes && err == nil
	}) {
		return errors.New("the successor does not say yes")
	}
	old.Stop()
	return nil
}

// Ask runs a command of the program about this member, with a file that names where it can be asked.
func (m *Member) RunCommand(args ...string) (string, error) {
	path := filepath.Join(m.StateDir(), "ask.toml")
	text := strings.Replace(m.configText(), `admin = "127.0.0.1:0"`, fmt.Sprintf("admin = %q", m.inspectionAddr), 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	out, err := exec.Command(m.fleet.Program, append(args, "-config", path)...).CombinedOutput()
	return string(out), err
}

// Lives says that its process runs or is stopped.
func (m *Member) IsRunning() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.Process == nil {
		return false
	}
	select {
	case <-m.Process.Exited:
		return false
	default:
		return true
	}
}

// Kill ends it by SIGKILL.
func (m *Member) Kill() {
	m.fleet.Recorder.ProcessDown(m.Name, true)
	m.Process.Kill()
}

// Leave ends it by SIGTERM.
func (m *Member) Terminate() {
	m.Process.Stop()
	m.fleet.Recorder.ProcessDown(m.Name, true) // what comes to it from now on finds nobody
}

// Pause stops it by SIGSTOP, and Resume has it go on.
func (m *Member) Pause() {
	m.fleet.Recorder.ProcessDown(m.Name, false)
	m.Process.Pause()
}

// Resume has it go on.
func (m *Member) Resume() {
	m.Process.Resume()
	m.fleet.Recorder.ProcessUp(m.Name)
}

// Status is what a member holds of the fleet.
func (m *Member) Status() (s fleet.Status, err error) {
	m.fleet.mu.Lock()
	admin := m.inspectionAddr
	m.fleet.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/fleet", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// Role is what a member holds its role in the pool to be.
func (m *Member) Role() (fleet.PoolStatus, error) {
	s, err := m.Status()
	if err == nil && len(s.Pools) != 1 {
		err = fmt.Errorf("%s has %d pools", m.Name, len(s.Pools))
	}
	if err != nil {
		return fleet.PoolStatus{}, err
	}
	return s.Pools[0], nil
}

// Stream is a stream of requests that come to one member.
func (m *Member) RunStreams(ctx context.Context, all *sync.WaitGroup, streams ...fake.Stream) {
	for i := range streams {
		streams[i].Host = Host
		if streams[i].Name == "" {
			streams[i].Name = m.Name
		}
	}
	all.Go(func() { m.Callers.Run(ctx, streams...) })
}
