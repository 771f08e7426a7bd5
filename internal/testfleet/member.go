package testfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/fleet"
)

const (
	joinAddresses    = 3 // members whose addresses are in the others' files
	callTimeout      = time.Second
	successorTimeout = 40 * time.Second // until a successor in an upgrade is ready
	answerGrace      = 2 * time.Second  // for which callers wait after a deadline
)

// Member is one of a fleet's processes. Its exported fields may be set before Start.
type Member struct {
	Index   int
	Name    string
	Process *Process // nil until the first start
	Callers *fake.Callers

	Program  string         // another program than the fleet's; "": the same
	Registry *fake.Registry // another registry than the fleet's; nil: the same

	fleet          *Fleet
	callerPort     *fake.ReservedPort // where callers connect; a restart does not change it
	inspectionAddr string
}

// StateDir is the member's own directory.
func (m *Member) StateDir() string { return filepath.Join(m.fleet.Dir, m.Name) }

// configText is the member's file.
func (m *Member) configText() string {
	f := m.fleet
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlisten = [%q]\nadmin = \"127.0.0.1:0\"\ndefault = \"app\"\nlimits = { cores = 1 }\nnodes = %d\n%s\n",
		m.Name, m.callerPort.Addr(), f.ConfiguredNodes, strings.ReplaceAll(f.ExtraSettings, "{state}", m.StateDir()))
	if f.Standalone {
		fmt.Fprintf(&b, "index = %d\n", m.Index%f.ConfiguredNodes)
	} else {
		b.WriteString(m.fleetSection())
	}
	registry := f.Registry
	if m.Registry != nil {
		registry = m.Registry
	}
	b.WriteString(PoolConfig("app", fmt.Sprintf("registry = %q", registry.Addr()), f.ExtraPoolSettings))
	return b.String()
}

// fleetSection is the part of the member's file that says how it joins the others.
func (m *Member) fleetSection() string {
	f := m.fleet
	var join []string
	for i := range min(joinAddresses, f.MemberCount) {
		join = append(join, fmt.Sprintf("%q", f.Fabric.PublicAddr(i)))
	}
	text := "[fleet]\n"
	if f.GossipKey != "" {
		text += fmt.Sprintf("key = %q\n", f.GossipKey)
	}
	return text + fmt.Sprintf("listen = %q\nadvertise = %q\njoin = [%s]\nlease = %q\nsettle = %q\nprobe = %q\n",
		f.Fabric.ListenAddr(m.Index), f.Fabric.PublicAddr(m.Index), strings.Join(join, ", "), f.Lease,
		defaultSettle*time.Duration(f.Slowness), defaultProbe*time.Duration(f.Slowness))
}

// Start starts a member, or starts it again, and returns once it listens.
func (m *Member) Start() error {
	f := m.fleet
	config := filepath.Join(m.StateDir(), "node.toml")
	if err := os.WriteFile(config, []byte(m.configText()), stateFileMode); err != nil {
		return err
	}
	program := f.Program
	if m.Program != "" {
		program = m.Program
	}
	p, err := Start(program, config)
	if err != nil {
		return fmt.Errorf("starting %s: %w", m.Name, err)
	}
	inspectionAddr, err := p.InspectionAddr()
	if err != nil {
		p.Kill()
		return err
	}
	f.mu.Lock()
	m.Process, m.inspectionAddr = p, inspectionAddr
	if m.Callers == nil {
		m.Callers = fake.NewCallers(f.Recorder, p.Addr, f.Seed<<8|uint64(m.Index+1), answerGrace+f.Slack)
		m.Callers.SetProcess(m.Name)
	}
	f.mu.Unlock()
	f.Recorder.ProcessUp(m.Name)
	return nil
}

// Upgrade starts a successor beside the running process, and ends that once the successor is ready.
func (m *Member) Upgrade(ctx context.Context) error {
	old := m.Process
	if err := m.Start(); err != nil {
		return err
	}
	if err := m.Process.AwaitReady(ctx, successorTimeout); err != nil {
		return fmt.Errorf("upgrading %s: %w", m.Name, err)
	}
	old.Stop()
	return nil
}

// RunCommand runs a command of the program about this member, with a file that names the member's address for it.
func (m *Member) RunCommand(args ...string) (output string, err error) {
	path := filepath.Join(m.StateDir(), "ask.toml")
	text := strings.Replace(m.configText(), `admin = "127.0.0.1:0"`, fmt.Sprintf("admin = %q", m.inspectionAddr), 1)
	if err := os.WriteFile(path, []byte(text), stateFileMode); err != nil {
		return "", err
	}
	out, err := exec.Command(m.fleet.Program, append(args, "-config", path)...).CombinedOutput()
	return string(out), err
}

// IsRunning reports whether the member's process exists, also if it is paused.
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

// Kill ends the member by SIGKILL.
func (m *Member) Kill() {
	m.fleet.Recorder.ProcessDown(m.Name, true)
	m.Process.Kill()
}

// Terminate ends the member by SIGTERM and waits for its end.
func (m *Member) Terminate() {
	m.Process.Stop()
	m.fleet.Recorder.ProcessDown(m.Name, true) // requests that come to it from now on are refused
}

// Pause stops the member's process by SIGSTOP until Resume.
func (m *Member) Pause() {
	m.fleet.Recorder.ProcessDown(m.Name, false)
	m.Process.Pause()
}

// Resume continues a paused member.
func (m *Member) Resume() {
	m.Process.Resume()
	m.fleet.Recorder.ProcessUp(m.Name)
}

// Status returns what the member reports of the fleet.
func (m *Member) Status(ctx context.Context) (s fleet.Status, err error) {
	m.fleet.mu.Lock()
	addr := m.inspectionAddr
	m.fleet.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fleet", nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status of %s: %s: %s", m.Name, response.Status, text)
	}
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// Role returns what the member reports of its role in the pool.
func (m *Member) Role(ctx context.Context) (fleet.PoolStatus, error) {
	s, err := m.Status(ctx)
	if err == nil && len(s.Pools) != 1 {
		err = fmt.Errorf("%s has %d pools", m.Name, len(s.Pools))
	}
	if err != nil {
		return fleet.PoolStatus{}, err
	}
	return s.Pools[0], nil
}

// RunStreams sends the requests of streams to this member, on a goroutine that running counts.
func (m *Member) RunStreams(ctx context.Context, running *sync.WaitGroup, streams ...fake.Stream) {
	for i := range streams {
		streams[i].Host = Host
		if streams[i].Name == "" {
			streams[i].Name = m.Name
		}
	}
	running.Go(func() { m.Callers.Run(ctx, streams...) })
}
