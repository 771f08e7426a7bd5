// Package settings reads the file that the platform gives each process: YAML, checked by struct tags. Its keys and forms are those of
// the platform's pages, and fields are named as there; unknown ones are skipped. It decides nothing.
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

// PathVariable names the environment variable that holds the file's path.
const PathVariable = "CRANEGRADE_NODE_FILE"

const minInternalPorts = 2

// Seconds is a duration as the file gives it.
type Seconds float64

// Duration returns the number of seconds as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings is the settings of one process.
type Settings struct {
	NodeName          string            `json:"NodeName" validate:"required,max=256"`
	NodeRole          string            `json:"NodeRole"`
	MachineClass      string            `json:"MachineClass"`
	ServedRoles       []string          `json:"ServedRoles"`
	IPAddress         string            `json:"IpAddress" validate:"required,ip4_addr"`
	Zone              string            `json:"Zone" validate:"max=256"`
	Region            string            `json:"Region"`
	Zones             map[string]string `json:"Zones"`
	ListenAddrs       ListenAddresses   `json:"ListenAddrs"`
	InternalPortRange []int             `json:"InternalPortRange" validate:"len=2,dive,gt=0,lt=65536"`
	SeedNodes         []string          `json:"SeedNodes" validate:"max=64,dive,hostname_port"`
	FirstStart        bool              `json:"FirstStart"`
	QuorumMember      bool              `json:"QuorumMember"`
	Limits            Limits            `json:"Limits"`
	DataDir           string            `json:"DataDir"`
	HeartbeatS        Seconds           `json:"HeartbeatS" validate:"gte=0,lte=3600"`
	ActiveContracts   []string          `json:"ActiveContracts"`
	FaultTolerance    FaultTolerance    `json:"FaultTolerance"`
	Bounds            Bounds            `json:"Bounds"`
	AppAddress        string            `json:"AppAddress" validate:"omitempty,hostname_port"`
	Service           string            `json:"Service" validate:"max=256"`

	transportListenAddress string // of the command line; "": at the address that others know
}

// ListenAddresses are where each kind of caller is served, as host:port; "": the role does not serve it.
type ListenAddresses struct {
	Inbound      string `json:"Inbound" validate:"omitempty,hostname_port"`
	Outbound     string `json:"Outbound" validate:"omitempty,hostname_port"`
	Readiness    string `json:"Readiness" validate:"omitempty,hostname_port"`
	ControlPlane string `json:"ControlPlane" validate:"omitempty,hostname_port"`
}

// Limits are the process's own; 0: none.
type Limits struct {
	CPUShare  float64 `json:"CpuShare" validate:"gte=0"`
	CoreCount float64 `json:"CoreCount" validate:"gte=0"`
	MemoryMB  float64 `json:"MemoryMb" validate:"gte=0"`
	MaxFds    int     `json:"MaxFds" validate:"gte=0"`
	LinkMbps  float64 `json:"LinkMbps" validate:"gte=0"`
	DiskMB    float64 `json:"DiskMb" validate:"gte=0"`
}

// FaultTolerance is how much may be lost at once.
type FaultTolerance struct {
	Machines int `json:"Machines" validate:"gte=0,lte=100"`
	Zones    int `json:"Zones" validate:"gte=0,lte=100"`
	Regions  int `json:"Regions" validate:"gte=0,lte=100"`
}

// Bounds are the figures of the platform's rules. One that the file does not give is that of Defaults.
type Bounds struct {
	AddrReuseS       Seconds `json:"AddrReuseS" validate:"gte=0"`
	ContactS         Seconds `json:"ContactS" validate:"gte=0"`
	AckS             Seconds `json:"AckS" validate:"gt=0"`
	DrainS           Seconds `json:"DrainS" validate:"gte=0"`
	GraceS           Seconds `json:"GraceS" validate:"gt=0"`
	LossSlackS       Seconds `json:"LossSlackS" validate:"gte=0"`
	ConfigApplyS     Seconds `json:"ConfigApplyS" validate:"gt=0"`
	RetryBudgetRatio float64 `json:"RetryBudgetRatio" validate:"gte=0,lte=100"`
	RetryWindowS     Seconds `json:"RetryWindowS" validate:"gt=0"`
	RetrySlack       float64 `json:"RetrySlack" validate:"gte=0"`
	KeyWindowS       Seconds `json:"KeyWindowS" validate:"gt=0,lte=86400"`
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

// Parse reads a file's text. The error names the line and field at fault.
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

func (s Settings) check() *validation.Fault {
	if fault := validation.Check(s); fault != nil {
		return fault
	}
	if s.InternalPortRange[1] < s.InternalPortRange[0]+minInternalPorts-1 {
		return &validation.Fault{Field: "InternalPortRange", Text: fmt.Sprintf("is %v; wanted: two ports or more", s.InternalPortRange)}
	}
	return nil
}

// linePrefix names the line of a field; "": the text does not name it.
func linePrefix(text []byte, field string) string {
	if line := validation.LineOf(text, field); line > 0 {
		return fmt.Sprintf("line %d: ", line)
	}
	return ""
}

// Path returns the path of the settings file, from the environment.
func Path() (string, error) {
	if path := os.Getenv(PathVariable); path != "" {
		return path, nil
	}
	return "", errors.Errorf("settings: %s is not set", PathVariable)
}

// Load reads and parses a file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	return Parse(text)
}

// TransportPort returns where control-plane members listen for other processes of the mesh, the same on all machines.
func (s Settings) TransportPort() int { return s.InternalPortRange[0] }

// MemberAddress returns the transport address, as host:port, of the member whose operators' API is at an address; "": of one on this machine.
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

// SetTransportListenAddress has the process listen at host:port for other processes of the mesh, which know it by the address of its
// settings all the same.
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
