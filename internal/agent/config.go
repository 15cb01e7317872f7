package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/agent/simprotocol"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// minSockets is the least number of descriptors that an agent can run with. It leaves a few connections to
	// each side beside the reserve.
	minSockets = 64
	// minMemoryMB is the least memory in MiB that an agent can run with.
	minMemoryMB = 16
	// memoryBudgetDivisor divides the memory limit; the result is the memory budget for bodies.
	memoryBudgetDivisor = 5
)

// Config is the validated configuration that the platform gives to one agent.
type Config struct {
	Name         string
	Listen       string // host:port for clients
	Discovery    string // host:port of discovery
	Seed         uint64
	Cores        float64
	MemoryMB     int // in MiB
	Sockets      int // limit of descriptors
	InitialList  TargetList
	Settings     policy.Settings
	Zones        []string // names, indexed by the policy's number
	MachineKinds []string // names, indexed by the policy's number
}

// configFile is the format of the file named by PROXY_CONFIG.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	InitialList TargetList      `json:"known"`
	Settings    json.RawMessage `json:"settings"`
}

// LoadConfig reads the configuration from the file named by PROXY_CONFIG and from the environment. The
// environment takes precedence, because the platform set it for this very start. Errors name the key.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")
}

// ReloadConfig reads the configuration again. PROXY_DISCOVERY is ignored: it is as old as the process, and the
// file's address of discovery is newer.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, "PROXY_NAME", "PROXY_LISTEN")
}

// loadConfig reads the file. The given environment variables take precedence over it.
func loadConfig(getenv func(string) string, variables ...string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("config: PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	fields := map[string]*string{"PROXY_NAME": &file.Name, "PROXY_LISTEN": &file.Listen,
		"PROXY_DISCOVERY": &file.Discovery}
	for _, name := range variables {
		if value := getenv(name); value != "" {
			*fields[name] = value
		}
	}
	return file.validate()
}

// validate converts the file to a configuration. Its error names the first invalid key.
func (f *configFile) validate() (*Config, error) {
	config := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, InitialList: f.InitialList,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	if err := config.validatePlatform(); err != nil {
		return nil, err
	}
	var err error
	if config.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %q is not a hexadecimal number of 64 bits", f.Seed)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("config: settings: missing")
	}
	if config.Settings, err = simprotocol.ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	// The policy identifies zones and machine kinds by number, discovery by name.
	var names struct {
		Zones        []string `json:"failureDomains"`
		MachineKinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(f.Settings, &names); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	config.Zones, config.MachineKinds = names.Zones, names.MachineKinds
	if _, err := policy.New(config.Settings, config.Seed); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return config, nil
}

// validatePlatform checks the addresses and limits.
func (c *Config) validatePlatform() error {
	for _, address := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, port, err := net.SplitHostPort(address.value); err != nil || port == "" {
			return fmt.Errorf("config: %s: %q is not host:port", address.key, address.value)
		}
	}
	switch {
	case !(c.Cores > 0) || math.IsInf(c.Cores, 0):
		return fmt.Errorf("config: limits.cores: must be above 0, is %v", c.Cores)
	case c.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: limits.memory_mb: must be at least %d, is %d", minMemoryMB, c.MemoryMB)
	case c.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: must be at least %d, is %d", minSockets, c.Sockets)
	}
	return nil
}

// maxBackendConns returns the maximum number of connections to backends.
func (c *Config) maxBackendConns() int { return c.Sockets * 7 / 16 }

// maxClientConns returns the number of client connections above which some are closed. It is less than the third
// of the descriptors that the client application may use. The remaining descriptors are for the listener,
// discovery, the log, the runtime, and connections that are being closed.
func (c *Config) maxClientConns() int { return c.Sockets / 4 }

// memoryBudget returns the memory in bytes for bodies of requests and responses, except for small ones. The rest
// of the limit is for connections, the policy and the runtime.
func (c *Config) memoryBudget() int64 { return int64(c.MemoryMB) << 20 / memoryBudgetDivisor }
