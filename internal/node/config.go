package node

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/source/registry"
	"cranegrade/internal/wire"
)

// Config is what the platform tells a node at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Cores     float64       // 0: not told
	MemoryMB  float64       // 0: not told
	Sockets   int           // file descriptors that the process may hold
	Known     registry.List // the servers as this node last had them
	Settings  balancer.Settings
	Conns     wire.Connections
	Operator  string // host:port where operators call; "": nowhere
	State     string // directory for what a successor of this process is to find; "": none
}

// Used where the configuration does not tell.
const (
	defaultSockets        = 1024
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// LoadConfig reads the configuration file.
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
		return c, nil // all as before: nobody hands anything over
	}
	if _, _, err := net.SplitHostPort(c.Operator); err != nil {
		return Config{}, fmt.Errorf("%s: operator: %q is no host:port", path, c.Operator)
	}
	c.State = os.Getenv("TMPDIR")
	return c, nil
}

func parseConfig(text []byte) (Config, error) {
	var raw struct {
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
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	c := Config{
		Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Operator: raw.Operator,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets,
	}
	var err error
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return Config{}, fmt.Errorf("%s: %q is no host:port", a.name, a.addr)
		}
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", raw.Seed)
	}
	if c.Cores < 0 || c.MemoryMB < 0 || c.Sockets < 0 {
		return Config{}, fmt.Errorf("limits: negative")
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if len(raw.Known) > 0 {
		if c.Known, err = registry.ParseList(raw.Known); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	c.Known.Complete = true
	if len(raw.Settings) == 0 {
		return Config{}, fmt.Errorf("settings: missing")
	}
	if c.Settings, c.Conns, err = wire.ParseSettings(raw.Settings); err != nil {
		return Config{}, err
	}
	if c.Settings.AskDiscovery {
		c.Settings.ToldAfter = registry.NotifiedAfter
	}
	if c.Conns.Idle <= 0 {
		c.Conns.Idle = defaultConnIdle
	}
	if c.Conns.ConnectWithin <= 0 {
		c.Conns.ConnectWithin = defaultConnectTimeout
	}
	return c, c.Settings.Validate()
}
