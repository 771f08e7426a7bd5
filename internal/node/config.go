package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/admin"
	"cranegrade/internal/operator"
	"cranegrade/internal/source/registry"
	"cranegrade/internal/wire"
)

// Config is what the platform tells a node at its start.
type Config struct {
	Name        string            // of the node, for its log
	Listen      string            // host:port for callers
	Discovery   string            // host:port of the registry
	Seed        uint64            // of the balancer's random choices; in the file a hexadecimal number of 64 bits
	Cores       float64           // CPU cores; 0 if not known
	MemoryMB    float64           // MiB at which the platform kills the process; 0 if not known
	Sockets     int               // file descriptors that the process may hold; default 1024
	Known       registry.List     // the servers as this node last had them, possibly out of date
	Settings    balancer.Settings // of the only pool
	Connections wire.Connections  // to servers; idle default 15 s, connect time-out default 250 ms
	Operator    string            // host:port for operators' commands; default $ROUTER_OPERATOR; if empty there are none
	State       string            // directory for a hot restart, $TMPDIR; empty if there is none, as always without Operator
}

// Defaults of the platform's configuration.
const (
	defaultSockets        = 1024
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// descriptorsForSuccessor are set aside for the connections of a hot restart.
const descriptorsForSuccessor = 8

// LoadConfig reads the platform's configuration file. Errors name the file and the field.
func LoadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	c, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if c.Operator == "" {
		c.Operator = os.Getenv("ROUTER_OPERATOR")
	}
	if c.Operator == "" {
		return c, nil // no operator: the node offers no hot restart either
	}
	if err := checkHostPort("operator", c.Operator); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	c.State = os.Getenv("TMPDIR")
	return c, nil
}

// configDocument is the JSON of the platform's configuration.
type configDocument struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// parseConfig reads and validates the text of a configuration file, and fills in defaults.
func parseConfig(text []byte) (Config, error) {
	var document configDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return Config{}, err
	}
	c := Config{
		Name:      document.Name,
		Listen:    document.Listen,
		Discovery: document.Discovery,
		Operator:  document.Operator,
		Cores:     document.Limits.Cores,
		MemoryMB:  document.Limits.MemoryMB,
		Sockets:   document.Limits.Sockets,
	}
	for _, parse := range []func(*configDocument) error{c.checkAddresses, c.parseSeed, c.checkLimits, c.parseKnown, c.parseSettings} {
		if err := parse(&document); err != nil {
			return Config{}, err
		}
	}
	c.setDefaults()
	return c, c.Settings.Validate()
}

// checkAddresses checks the addresses that every configuration has.
func (c *Config) checkAddresses(*configDocument) error {
	if err := checkHostPort("listen", c.Listen); err != nil {
		return err
	}
	return checkHostPort("discovery", c.Discovery)
}

// checkHostPort checks the address in a field of the configuration.
func checkHostPort(field, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%s: %q is no host:port", field, addr)
	}
	return nil
}

// parseSeed reads the seed, a hexadecimal number of 64 bits.
func (c *Config) parseSeed(document *configDocument) (err error) {
	if c.Seed, err = strconv.ParseUint(document.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", document.Seed)
	}
	return nil
}

// checkLimits rejects limits below zero. A limit of zero stands for one that is not known.
func (c *Config) checkLimits(*configDocument) error {
	if c.Cores < 0 || c.MemoryMB < 0 || c.Sockets < 0 {
		return errors.New("limits: negative")
	}
	return nil
}

// parseKnown reads the servers that the node had last, if the file has any. They are a complete list.
func (c *Config) parseKnown(document *configDocument) (err error) {
	if len(document.Known) > 0 {
		if c.Known, err = registry.ParseList(document.Known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	c.Known.Complete = true
	return nil
}

// parseSettings reads the settings of the balancer and of connections.
func (c *Config) parseSettings(document *configDocument) (err error) {
	if len(document.Settings) == 0 {
		return errors.New("settings: missing")
	}
	c.Settings, c.Connections, err = wire.ParseSettings(document.Settings)
	return err
}

// setDefaults fills in what the file left out.
func (c *Config) setDefaults() {
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.Settings.AskDiscovery {
		c.Settings.ToldAfter = registry.NotifiedAfter
	}
	if c.Connections.Idle <= 0 {
		c.Connections.Idle = defaultConnIdle
	}
	if c.Connections.ConnectWithin <= 0 {
		c.Connections.ConnectWithin = defaultConnectTimeout
	}
}

// plan returns the configuration as a plan with one pool, which may use all of the node's limits.
func (c Config) plan() operator.Plan {
	known := c.Known.Update()
	known.Cached = true
	return operator.Plan{
		Name:     c.Name,
		Listen:   []string{c.Listen},
		Cores:    c.Cores,
		MemoryMB: c.MemoryMB,
		Operator: c.Operator,
		State:    c.State,
		Totals:   operator.TotalsFor(c.Sockets, c.MemoryMB, operatorDescriptors(c.Operator)),
		Pools: []operator.Pool{{
			Settings:    c.Settings,
			Connections: c.Connections,
			Seed:        c.Seed,
			Known:       known,
			Pushed:      !c.Settings.AskDiscovery,
			List:        operator.List{Registry: c.Discovery},
		}},
	}
}

// operatorDescriptors returns how many descriptors are set aside for operators' commands and a successor.
func operatorDescriptors(addr string) int {
	if addr == "" {
		return 0
	}
	return admin.MaxConnections + descriptorsForSuccessor
}
