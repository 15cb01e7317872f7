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
	// minSockets leaves a few connections to each side beside the reserve.
	minSockets = 64
	// minMemoryMB is the least memory that an agent can run with.
	minMemoryMB = 16
	// memoryBudgetShare is the part of the memory, as a divisor, that bodies may take.
	memoryBudgetShare = 5
)

// Config is what the platform configures for one agent, validated.
type Config struct {
	Name         string
	Listen       string // host:port for clients
	Discovery    string // host:port
	Seed         uint64
	Cores        float64
	MemoryMB     int // in MiB
	Sockets      int // descriptors
	InitialList  TargetList
	Settings     policy.Settings
	Zones        []string // names, by the policy's numbers
	MachineKinds []string // names, by the policy's numbers
}

// configFile is the format of the file that PROXY_CONFIG names.
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

// LoadConfig reads the configuration from the environment and from the file that PROXY_CONFIG names. The
// environment takes precedence: it is what the platform set for this very start. Errors name the key.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")
}

// ReloadConfig reads the configuration again. Its discovery is newer than that of the environment, which is as
// old as the process.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, "PROXY_NAME", "PROXY_LISTEN")
}

// loadConfig reads the file; the given variables take precedence over it.
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
	fields := map[string]*string{"PROXY_NAME": &file.Name, "PROXY_LISTEN": &file.Listen, "PROXY_DISCOVERY": &file.Discovery}
	for _, name := range variables {
		if value := getenv(name); value != "" {
			*fields[name] = value
		}
	}
	return file.validate()
}

// validate returns the configuration of a file, or an error that names the first key that makes no sense.
func (f *configFile) validate() (*Config, error) {
	config := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, InitialList: f.InitialList,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	if err := config.validatePlatform(); err != nil {
		return nil, err
	}
	var err error
	if config.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %q is no hexadecimal number of 64 bits", f.Seed)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("config: settings: none given")
	}
	if config.Settings, err = simprotocol.ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	// The policy knows zones and machine kinds by number; discovery names them.
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
			return fmt.Errorf("config: %s: %q is no host:port", address.key, address.value)
		}
	}
	switch {
	case !(c.Cores > 0) || math.IsInf(c.Cores, 0):
		return fmt.Errorf("config: limits.cores: must be above 0, is %v", c.Cores)
	case c.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: limits.memory_mb: must be %d at least, is %d", minMemoryMB, c.MemoryMB)
	case c.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: must be %d at least, is %d", minSockets, c.Sockets)
	}
	return nil
}

// maxBackendConns bounds the connections to backends.
func (c *Config) maxBackendConns() int { return c.Sockets * 7 / 16 }

// maxClientConns is the number of clients' connections from which idle ones are closed: less than the third of
// the descriptors that the clients have at most. The rest is for the listener, discovery, the log, the runtime,
// and connections that are being closed.
func (c *Config) maxClientConns() int { return c.Sockets / 4 }

// memoryBudget is the memory in bytes for bodies of requests and responses, beside the small ones. The rest of
// the limit is for connections, the policy and the runtime.
func (c *Config) memoryBudget() int64 { return int64(c.MemoryMB) << 20 / memoryBudgetShare }
