package testcluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"sigs.k8s.io/yaml"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/testfleet"
)

// Programs of a mesh.
const (
	sidecarProgram = "sidecar"
	memberProgram  = "controlplane"
)

// ProgramNames are the programs that BuildPrograms builds.
var ProgramNames = []string{sidecarProgram, memberProgram}

// BuildPrograms builds the mesh's programs into a folder.
func BuildPrograms(dir string) error {
	for _, name := range ProgramNames {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "cranegrade/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("building %s, which needs Go and a working directory in this repository: %w\n%s", name, err, out)
		}
	}
	return nil
}

// Machine is one machine of the mesh: a sidecar with its server, or a control-plane member. Its files are written by the Cluster's
// goroutine.
type Machine struct {
	Name, IP string
	Args     []string           // of its program at its next start
	Process  *testfleet.Process // nil: it is not running
	App      *FakeApp           // nil on members

	cluster         *Cluster
	program         string
	programs        string // folder of its program
	settings        map[string]any
	listenAddrs     map[string]string // immutable
	appIncarnations int
}

// StartApp starts a server beside a sidecar. It is a new instance each time.
func (x *Machine) StartApp() (err error) {
	x.appIncarnations++
	instance := fmt.Sprintf("i-%s-%d", x.Name, x.appIncarnations)
	x.App, err = newFakeApp(x.setting("Service"), instance, x.setting("AppAddress"), x.Addr("ControlPlane"),
		x.setting("Zone"), x.cluster.Recorder)
	return err
}

// setting returns a setting whose value is a string.
func (x *Machine) setting(name string) string { return x.settings[name].(string) }

// SetSeeds changes SeedNodes in the machine's settings file. A running program reloads the file on its own, or after SignalReload.
func (x *Machine) SetSeeds(seeds ...string) error {
	x.settings["SeedNodes"] = seeds
	_, err := x.writeSettings()
	return err
}

// writeSettings writes the present settings to the settings file.
func (x *Machine) writeSettings() (file string, err error) {
	text, err := yaml.Marshal(x.settings)
	if err != nil {
		return "", err
	}
	file = filepath.Join(x.cluster.Dir, x.Name+".yaml")
	return file, os.WriteFile(file, text, 0o600)
}

// UsePrograms sets the folder of the machine's program for its next start.
func (x *Machine) UsePrograms(dir string) { x.programs = dir }

// Start starts the machine's program with the present settings, and waits until it listens.
func (x *Machine) Start() error {
	file, err := x.writeSettings()
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(x.programs, x.program), append([]string{"-v"}, x.Args...)...)
	command.Env = append(os.Environ(), settings.PathVariable+"="+file)
	x.Process, err = testfleet.StartCommand(command, file)
	x.settings["FirstStart"] = false
	return err
}

// Kill ends the program with SIGKILL.
func (x *Machine) Kill() {
	if x.Process != nil {
		x.Process.Kill()
		x.Process = nil
	}
}

// SignalReload sends SIGHUP, so that the program reloads its settings.
func (x *Machine) SignalReload() error { return x.Process.Cmd.Process.Signal(syscall.SIGHUP) }

// DataDir returns a member's data folder.
func (x *Machine) DataDir() string { return x.setting("DataDir") }

// WipeDisk removes a member's data folder. The member must not be running.
func (x *Machine) WipeDisk() error { return os.RemoveAll(x.DataDir()) }

// Addr returns one of the machine's addresses, by its name in the settings.
func (x *Machine) Addr(name string) string { return x.listenAddrs[name] }

// PathTo returns the path from one machine to another, for the relay.
func (x *Machine) PathTo(to *Machine) testfleet.Direction {
	return testfleet.Direction{From: x.IP, To: to.IP}
}
