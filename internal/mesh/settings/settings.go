// Package settings reads the settings file that the platform gives each process. The file is YAML and is checked by struct tags. The
// platform's pages define its keys and forms, and the fields here have the same names; unknown keys are ignored. The package owns the
// defaults; it must never act on a setting. A Settings is not changed after it was read, so any goroutine may use it.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"cranegrade/internal/mesh/validation"
)

// PathVariable is the name of the environment variable with the path of the file.
const PathVariable = "CRANEGRADE_NODE_FILE"

// minInternalPorts is the least number of ports in InternalPortRange.
const minInternalPorts = 2

// Seconds is a duration in seconds, as the file has it.
type Seconds float64

// Duration returns the number of seconds as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings is the settings of one process.
type Settings struct {
	NodeName     string   `json:"NodeName" validate:"required,max=256"` // of this process, in logs and status
	NodeRole     string   `json:"NodeRole"`                             // the role of deploy/system.toml that it runs
	MachineClass string   `json:"MachineClass"`                         // the class of machines that it runs on
	ServedRoles  []string `json:"ServedRoles"`                          // what it serves: "sidecar", "control"
	IPAddress    string   `json:"IpAddress" validate:"required,ip4_addr"`

	Zone   string            `json:"Zone" validate:"max=256"`
	Region string            `json:"Region"`
	Zones  map[string]string `json:"Zones"` // the region of each zone

	ListenAddrs ListenAddresses `json:"ListenAddrs"`
	// InternalPortRange is the first and the last port for connections between processes of the mesh, the same on all machines.
	InternalPortRange []int `json:"InternalPortRange" validate:"len=2,dive,gt=0,lt=65536"`
	// SeedNodes are ControlPlane addresses, host:port, of some members. They are needed at a start only, and may be out of date.
	SeedNodes []string `json:"SeedNodes" validate:"max=64,dive,hostname_port"`
	// FirstStart is true only when the whole mesh starts for the first time, with empty disks: the members then bootstrap a control plane.
	FirstStart bool `json:"FirstStart"`
	// QuorumMember is true for machines whose losses FaultTolerance counts.
	QuorumMember bool `json:"QuorumMember"`

	Limits  Limits `json:"Limits"`
	DataDir string `json:"DataDir"` // the data folder of a control-plane member; a sidecar has none

	// HeartbeatS is the time between two heartbeats of the local server. Default: 1.5.
	HeartbeatS      Seconds        `json:"HeartbeatS" validate:"gte=0,lte=3600"`
	ActiveContracts []string       `json:"ActiveContracts"` // the parts of the platform's rules that are in force
	FaultTolerance  FaultTolerance `json:"FaultTolerance"`
	Bounds          Bounds         `json:"Bounds"`

	// AppAddress is the host:port of the local server; empty where there is none.
	AppAddress string `json:"AppAddress" validate:"omitempty,hostname_port"`
	// Service is the local server's service.
	Service string `json:"Service" validate:"max=256"`

	transportListenAddress string // from the command line, or "" for the address that other processes know
}

// ListenAddresses are the listen addresses, as host:port, for each kind of caller. One is empty if the role does not serve that kind.
type ListenAddresses struct {
	Inbound      string `json:"Inbound" validate:"omitempty,hostname_port"`      // of a sidecar, for other sidecars
	Outbound     string `json:"Outbound" validate:"omitempty,hostname_port"`     // of a sidecar, for requests of callers
	Readiness    string `json:"Readiness" validate:"omitempty,hostname_port"`    // of a sidecar, for readiness checks
	ControlPlane string `json:"ControlPlane" validate:"omitempty,hostname_port"` // for calls of operators and of servers
}

// Limits are the resource limits of the process. 0 stands for no limit.
type Limits struct {
	CPUShare  float64 `json:"CpuShare" validate:"gte=0"`  // of one processor
	CoreCount float64 `json:"CoreCount" validate:"gte=0"` // processors of the machine
	MemoryMB  float64 `json:"MemoryMb" validate:"gte=0"`  // megabytes
	MaxFds    int     `json:"MaxFds" validate:"gte=0"`    // file descriptors
	LinkMbps  float64 `json:"LinkMbps" validate:"gte=0"`  // megabits a second of the machine's link
	DiskMB    float64 `json:"DiskMb" validate:"gte=0"`    // megabytes
}

// FaultTolerance is how many machines, zones and regions may be lost at once.
type FaultTolerance struct {
	Machines int `json:"Machines" validate:"gte=0,lte=100"` // with QuorumMember. Default: 1
	Zones    int `json:"Zones" validate:"gte=0,lte=100"`    // Default: 0
	Regions  int `json:"Regions" validate:"gte=0,lte=100"`  // Default: 0
}

// Bounds are the time limits and ratios that the platform requires. Those that the file does not have are set by Defaults.
type Bounds struct {
	// AddrReuseS is after how long the address of a server that is gone may belong to a server of another service. Default: 2.
	AddrReuseS Seconds `json:"AddrReuseS" validate:"gte=0"`
	// ContactS is after how long without faults a machine counts as in contact with the control plane again. Default: 3.
	ContactS Seconds `json:"ContactS" validate:"gte=0"`
	// AckS is how long an operator's call may take until it is acknowledged. Default: 5.
	AckS Seconds `json:"AckS" validate:"gt=0"`
	// DrainS is how long a server goes on serving after its draining was acknowledged. Default: 2.
	DrainS Seconds `json:"DrainS" validate:"gte=0"`
	// GraceS is the time between SIGTERM and the kill of a process. Default: 6.
	GraceS Seconds `json:"GraceS" validate:"gt=0"`
	// LossSlackS is how long after its last byte was sent a request may be lost with its connection. Default: 0.2.
	LossSlackS Seconds `json:"LossSlackS" validate:"gte=0"`
	// ConfigApplyS is within how long after its acknowledgement a configuration is in force on all sidecars. Default: 2.
	ConfigApplyS Seconds `json:"ConfigApplyS" validate:"gt=0"`
	// RetryBudgetRatio is how many retries are allowed for each request over RetryWindowS. Default: 0.2.
	RetryBudgetRatio float64 `json:"RetryBudgetRatio" validate:"gte=0,lte=100"`
	// RetryWindowS is the span over which retries are counted. Default: 10.
	RetryWindowS Seconds `json:"RetryWindowS" validate:"gt=0"`
	// RetrySlack is how many retries all sidecars together may make beyond the ratio. Default: 50.
	RetrySlack float64 `json:"RetrySlack" validate:"gte=0"`
	// KeyWindowS is for how long a request with an idempotency key runs at most once. Default: 60.
	KeyWindowS Seconds `json:"KeyWindowS" validate:"gt=0,lte=86400"`
}

// Defaults returns the settings that apply where the file gives none.
func Defaults() Settings {
	return Settings{
		HeartbeatS:     1.5,
		FaultTolerance: FaultTolerance{Machines: 1},
		Bounds: Bounds{
			AddrReuseS:       2,
			ContactS:         3,
			AckS:             5,
			DrainS:           2,
			GraceS:           6,
			LossSlackS:       0.2,
			ConfigApplyS:     2,
			RetryBudgetRatio: 0.2,
			RetryWindowS:     10,
			RetrySlack:       50,
			KeyWindowS:       60,
		},
	}
}

// Parse parses and checks the text of a settings file. The error names the line and the invalid field.
func Parse(text []byte) (Settings, error) {
	s := Defaults()
	if err := yaml.Unmarshal(text, &s); err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	if fault := s.check(); fault != nil {
		return Settings{}, errors.Errorf("settings: %s%s %s", linePrefix(text, fault.Field), fault.Field, fault.Text)
	}
	return s, nil
}

// check returns the first fault of the settings, or nil if they are valid.
func (s Settings) check() *validation.Fault {
	if fault := validation.Check(s); fault != nil {
		return fault
	}
	if s.InternalPortRange[1] < s.InternalPortRange[0]+minInternalPorts-1 {
		return &validation.Fault{Field: "InternalPortRange", Text: fmt.Sprintf("is %v; wanted: two ports or more", s.InternalPortRange)}
	}
	return nil
}

// linePrefix returns "line N: " for the line of a field, or "" if the text does not have the field.
func linePrefix(text []byte, field string) string {
	if line := validation.LineOf(text, field); line > 0 {
		return fmt.Sprintf("line %d: ", line)
	}
	return ""
}

// Path returns the path of the settings file, from the environment. The error says that the variable is not set.
func Path() (string, error) {
	if path := os.Getenv(PathVariable); path != "" {
		return path, nil
	}
	return "", errors.Errorf("settings: %s is not set, and there is no --settings FILE", PathVariable)
}

// Load reads, parses and checks a file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	return Parse(text)
}

// TransportPort returns where control-plane members listen for other processes of the mesh, the same on all machines.
func (s Settings) TransportPort() int { return s.InternalPortRange[0] }

// MemberAddress returns the transport address, as host:port, of the member whose operators' API is at an address, or of one on this machine
// if the address is "".
func (s Settings) MemberAddress(apiAddress string) string {
	host := s.IPAddress
	if apiAddress != "" {
		host, _, _ = net.SplitHostPort(apiAddress)
	}
	return fmt.Sprintf("%s:%d", host, s.TransportPort())
}

// SeedAddresses returns the transport addresses of the members that the file names.
func (s Settings) SeedAddresses() (addresses []string) {
	for _, apiAddress := range s.SeedNodes {
		addresses = append(addresses, s.MemberAddress(apiAddress))
	}
	return addresses
}

// SetTransportListenAddress sets the address, as host:port, on which the process listens for other processes of the mesh. They still
// connect to the address of its settings.
func (s *Settings) SetTransportListenAddress(address string) error {
	if _, err := net.ResolveTCPAddr("tcp4", address); err != nil {
		return errors.Annotate(err, "transport listen address")
	}
	s.transportListenAddress = address
	return nil
}

// TransportListenAddress returns where a process listens that others reach at an address.
func (s Settings) TransportListenAddress(known string) string {
	if s.transportListenAddress != "" {
		return s.transportListenAddress
	}
	return known
}
