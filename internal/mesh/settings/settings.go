// Package settings reads the YAML settings file that the platform provides for each process, applies defaults, and validates the result
// by struct tags. The platform's documentation defines the keys and their types, and the JSON names of the fields match them; unknown keys
// are ignored. The package only reads settings and never acts on them. A Settings value is read-only once loaded and is then safe for
// concurrent use.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"cranegrade/internal/mesh/duration"
	"cranegrade/internal/mesh/validation"
)

// PathVariable is the environment variable that contains the path of the settings file.
const PathVariable = "CRANEGRADE_NODE_FILE"

// minInternalPorts is the minimum number of ports in InternalPortRange.
const minInternalPorts = 2

// Seconds is a duration as the settings file writes it: a number of seconds.
type Seconds float64

// Duration converts s to a time.Duration; see duration.FromSeconds for the limits.
func (s Seconds) Duration() time.Duration { return duration.FromSeconds(float64(s)) }

// Settings are the settings of one process.
type Settings struct {
	NodeName     string   `json:"NodeName" validate:"required,max=256"` // name of this process in logs and status reports
	NodeRole     string   `json:"NodeRole"`                             // role of this process, as named in deploy/system.toml
	MachineClass string   `json:"MachineClass"`                         // class of the machine on which it runs
	ServedRoles  []string `json:"ServedRoles"`                          // services that this process provides: "sidecar", "control"
	IPAddress    string   `json:"IpAddress" validate:"required,ip4_addr"`

	Zone   string            `json:"Zone" validate:"max=256"`
	Region string            `json:"Region"`
	Zones  map[string]string `json:"Zones"` // region by zone

	ListenAddrs ListenAddresses `json:"ListenAddrs"`
	// InternalPortRange is the first and the last port for connections between processes of the mesh, the same on all machines.
	InternalPortRange []int `json:"InternalPortRange" validate:"len=2,dive,gt=0,lt=65536"`
	// SeedNodes are the ControlPlane addresses, host:port, of some members. They are used at startup only, and may be out of date.
	SeedNodes []string `json:"SeedNodes" validate:"max=64,dive,hostname_port"`
	// FirstStart is true only when the whole mesh starts for the first time, with empty disks: its members bootstrap the control plane.
	FirstStart bool `json:"FirstStart"`
	// QuorumMember is true if the loss of this machine counts towards FaultTolerance.Machines.
	QuorumMember bool `json:"QuorumMember"`

	Limits  Limits `json:"Limits"`
	DataDir string `json:"DataDir"` // data directory of a control-plane member; empty for a sidecar

	// HeartbeatS is the interval between heartbeats of the local server. Default: 1.5.
	HeartbeatS      Seconds        `json:"HeartbeatS" validate:"gte=0,lte=3600"`
	ActiveContracts []string       `json:"ActiveContracts"` // names of the platform's rules that are in force
	FaultTolerance  FaultTolerance `json:"FaultTolerance"`
	Bounds          Bounds         `json:"Bounds"`

	// AppAddress is the host:port of the local server; empty if the machine has no local server.
	AppAddress string `json:"AppAddress" validate:"omitempty,hostname_port"`
	// Service is the name of the service that the local server provides.
	Service string `json:"Service" validate:"max=256"`

	transportListenAddress string // from the command line; "" to listen on the advertised address
}

// ListenAddresses are the listen addresses, as host:port, by kind of caller. An address is empty if the role does not serve that kind.
type ListenAddresses struct {
	Inbound      string `json:"Inbound" validate:"omitempty,hostname_port"`      // sidecar: requests of other sidecars
	Outbound     string `json:"Outbound" validate:"omitempty,hostname_port"`     // sidecar: requests of callers
	Readiness    string `json:"Readiness" validate:"omitempty,hostname_port"`    // sidecar: readiness checks
	ControlPlane string `json:"ControlPlane" validate:"omitempty,hostname_port"` // API calls of operators and servers
}

// Limits are the resource limits of the process. 0 means no limit.
type Limits struct {
	CPUShare  float64 `json:"CpuShare" validate:"gte=0"`  // share of one processor
	CoreCount float64 `json:"CoreCount" validate:"gte=0"` // number of processors of the machine
	MemoryMB  float64 `json:"MemoryMb" validate:"gte=0"`  // megabytes
	MaxFds    int     `json:"MaxFds" validate:"gte=0"`    // file descriptors
	LinkMbps  float64 `json:"LinkMbps" validate:"gte=0"`  // bandwidth of the machine's link in megabits per second
	DiskMB    float64 `json:"DiskMb" validate:"gte=0"`    // megabytes
}

// FaultTolerance is the number of machines, zones and regions whose simultaneous loss must be tolerated.
type FaultTolerance struct {
	Machines int `json:"Machines" validate:"gte=0,lte=100"` // machines with QuorumMember. Default: 1
	Zones    int `json:"Zones" validate:"gte=0,lte=100"`    // Default: 0
	Regions  int `json:"Regions" validate:"gte=0,lte=100"`  // Default: 0
}

// Bounds are the time limits and ratios that the platform requires. Defaults supplies those that the file omits.
type Bounds struct {
	// AddrReuseS is the minimum time before the address of a stopped server may be reused by a server of another service. Default: 2.
	AddrReuseS Seconds `json:"AddrReuseS" validate:"gte=0"`
	// ContactS is how long a machine must run without faults to count as in contact with the control plane again. Default: 3.
	ContactS Seconds `json:"ContactS" validate:"gte=0"`
	// AckS is the maximum time until an operator's call is acknowledged. Default: 5.
	AckS Seconds `json:"AckS" validate:"gt=0"`
	// DrainS is how long a server keeps serving after its drain request was acknowledged. Default: 2.
	DrainS Seconds `json:"DrainS" validate:"gte=0"`
	// GraceS is the time between SIGTERM and SIGKILL of a process. Default: 6.
	GraceS Seconds `json:"GraceS" validate:"gt=0"`
	// LossSlackS is the time after sending its last byte during which a request may be lost if its connection breaks. Default: 0.2.
	LossSlackS Seconds `json:"LossSlackS" validate:"gte=0"`
	// ConfigApplyS is the maximum time from the acknowledgement of a configuration until all sidecars apply it. Default: 2.
	ConfigApplyS Seconds `json:"ConfigApplyS" validate:"gt=0"`
	// RetryBudgetRatio is the maximum ratio of retries to requests over RetryWindowS. Default: 0.2.
	RetryBudgetRatio float64 `json:"RetryBudgetRatio" validate:"gte=0,lte=100"`
	// RetryWindowS is the length of the window over which retries are counted. Default: 10.
	RetryWindowS Seconds `json:"RetryWindowS" validate:"gt=0"`
	// RetrySlack is the number of retries that all sidecars together may make in excess of RetryBudgetRatio. Default: 50.
	RetrySlack float64 `json:"RetrySlack" validate:"gte=0"`
	// KeyWindowS is how long requests with the same idempotency key are deduplicated. Default: 60.
	KeyWindowS Seconds `json:"KeyWindowS" validate:"gt=0,lte=86400"`
}

// Defaults returns the values of settings that the file omits.
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

// Parse parses and validates the text of a settings file. The error of an invalid field has its name and, if the text has it, its line.
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

// check returns the first invalid field, or nil if the settings are valid.
func (s Settings) check() *validation.Fault {
	if fault := validation.Check(s); fault != nil {
		return fault
	}
	if s.InternalPortRange[1] < s.InternalPortRange[0]+minInternalPorts-1 {
		return &validation.Fault{Field: "InternalPortRange", Text: fmt.Sprintf("is %v; wanted: two ports or more", s.InternalPortRange)}
	}
	return nil
}

// linePrefix returns "line N: " for the line of a field, or "" if the field is not in the text.
func linePrefix(text []byte, field string) string {
	if line := validation.LineOf(text, field); line > 0 {
		return fmt.Sprintf("line %d: ", line)
	}
	return ""
}

// Path returns the path of the settings file from PathVariable, or an error if the variable is not set.
func Path() (string, error) {
	if path := os.Getenv(PathVariable); path != "" {
		return path, nil
	}
	return "", errors.Errorf("settings: %s is not set, and there is no --settings FILE", PathVariable)
}

// Load reads a settings file and calls Parse.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	return Parse(text)
}

// TransportPort returns the port on which control-plane members listen for other processes of the mesh. It is the same on all machines.
func (s Settings) TransportPort() int { return s.InternalPortRange[0] }

// MemberAddress returns the transport address, as host:port, of the member whose operators' API listens on apiAddress. If apiAddress is "",
// it returns the transport address of this machine.
func (s Settings) MemberAddress(apiAddress string) string {
	host := s.IPAddress
	if apiAddress != "" {
		host, _, _ = net.SplitHostPort(apiAddress)
	}
	return fmt.Sprintf("%s:%d", host, s.TransportPort())
}

// SeedAddresses returns the transport addresses of SeedNodes.
func (s Settings) SeedAddresses() (addresses []string) {
	for _, apiAddress := range s.SeedNodes {
		addresses = append(addresses, s.MemberAddress(apiAddress))
	}
	return addresses
}

// SetTransportListenAddress overrides the address, as host:port, on which the process listens for other processes of the mesh. They still
// connect to the address in its settings, for example if a relay or address translation is in between.
func (s *Settings) SetTransportListenAddress(address string) error {
	if _, err := net.ResolveTCPAddr("tcp4", address); err != nil {
		return errors.Annotate(err, "transport listen address")
	}
	s.transportListenAddress = address
	return nil
}

// TransportListenAddress returns the address on which the process listens: the one set by SetTransportListenAddress, or else
// advertised, the address to which other processes connect.
func (s Settings) TransportListenAddress(advertised string) string {
	if s.transportListenAddress != "" {
		return s.transportListenAddress
	}
	return advertised
}
