// Package settings reads and validates the settings file that the platform writes for each process.
// The operators' documentation specifies the keys, defaults and units. Unknown keys are ignored.
package settings

import (
	"crypto/sha256"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

const (
	// EnvironmentVariable is the environment variable that holds the path of the settings file.
	EnvironmentVariable = "CHALKDOOR_NODE_FILE"
	// DefaultFile is the path of the settings file if the environment variable is not set.
	DefaultFile = "/etc/chalkdoor/local.toml"

	maxFileBytes = 1 << 20
	maxSeeds     = 64
)

// Contracts on tenants, as listed in ActiveContracts.
const (
	ContractTenants = "tenants" // requests carry API keys
	ContractQuota   = "quota"   // tenants have quotas
)

// Roles, as listed in ServedRoles.
const (
	RoleEdge    = "edge"    // serves clients
	RoleControl = "control" // serves operators and model servers
)

// Settings holds the settings of one process. They are immutable after Parse, which fills in defaults.
type Settings struct {
	Name              string   `koanf:"node-name"`
	Role              string   `koanf:"role"`
	MachineClass      string   `koanf:"machine-class"`
	ServedRoles       []string `koanf:"served-roles"`
	IP                string   `koanf:"ip"` // IPv4 address of the machine
	Zone              string   `koanf:"zone"`
	Region            string   `koanf:"region"`
	PortRange         []int    `koanf:"port-range"`   // first and last free port
	Seeds             []string `koanf:"seed-nodes"`   // control addresses of other agents, IP:PORT
	FirstStart        bool     `koanf:"first-start"`  // true if the fleet has never run, so that it may be bootstrapped
	CountedLoss       bool     `koanf:"counted-loss"` // true if the loss of this machine counts towards fault-tolerance
	StateDir          string   `koanf:"state-dir"`    // directory for persistent state; empty if the machine has no disk
	DiscoverySource   string   `koanf:"discovery-source"`
	EntryKind         string   `koanf:"entry-kind"`
	HeartbeatPeriodMs int64    `koanf:"beat-period-ms"`
	ActiveContracts   []string `koanf:"active-contracts"`

	Zones     map[string]string `koanf:"zones"` // region of each zone
	Listen    Listen            `koanf:"listen"`
	Limits    Limits            `koanf:"limits"`
	Tolerance Tolerance         `koanf:"fault-tolerance"`
	Bounds    Bounds            `koanf:"bounds"`

	// Digest is the SHA-256 hash of the file's content.
	Digest [sha256.Size]byte `koanf:"-"`
}

// Listen holds the addresses to listen on, each as IP:PORT.
type Listen struct {
	Front     string `koanf:"front"`     // for clients
	Readiness string `koanf:"readiness"` // for readiness probes of the entry, see EntryKind
	Control   string `koanf:"control"`   // for operators and model servers
}

// Limits holds the limits on the resources that the process may use.
type Limits struct {
	CPUShare        float64 `koanf:"cpu-share"`
	CPUCores        float64 `koanf:"cpu-cores"`
	MemoryMB        int64   `koanf:"memory-mb"`
	FileDescriptors int     `koanf:"fd-limit"`
	LinkMbps        float64 `koanf:"link-mbps"`
	DiskMB          int64   `koanf:"disk-mb"`
}

// Tolerance holds the number of lost machines, zones and regions that the core has to tolerate. Losses of
// different kinds are not combined.
type Tolerance struct {
	Machines int `koanf:"machine-losses"`
	Zones    int `koanf:"zones"`
	Regions  int `koanf:"region-losses"`
}

// Bounds holds the times and ratios that the fleet is measured by. Names of times end in their unit: S for
// seconds, Ms for milliseconds.
type Bounds struct {
	SeedLagS      float64 `koanf:"seed-lag-s"`
	ReuseAfterS   float64 `koanf:"reuse-after-s"`
	ContactMs     int64   `koanf:"contact-ms"`
	AckMs         int64   `koanf:"ack-ms"`
	SettleS       float64 `koanf:"settle-s"`
	DrainMs       int64   `koanf:"drain-ms"`
	GraceS        float64 `koanf:"grace-s"`
	LossSlackMs   int64   `koanf:"loss-slack-ms"`
	ConvergeMs    int64   `koanf:"converge-ms"`
	RevertSlackMs int64   `koanf:"revert-slack-ms"`
	StretchMs     int64   `koanf:"stretch-ms"`
	RetryRatio    float64 `koanf:"retry-ratio"`
	RetryWindowS  float64 `koanf:"retry-window-s"`
	RetrySlack    float64 `koanf:"retry-slack"`
	RecoveryS     float64 `koanf:"recovery-s"`
	PassMs        int64   `koanf:"pass_ms"`
	// RevocationClosed requires that no request runs with an API key that was revoked more than RevokeMs
	// ago, even while this process is partitioned from the rest of the fleet.
	RevocationClosed bool  `koanf:"revocation-closed"`
	RevokeMs         int64 `koanf:"revoke-ms"`
	// QuotaWindowS, QuotaOvershoot and QuotaSlack bound what all agents together admit for a tenant within
	// a window, in the unit of its quota: (rate x window + burst) x (1 + QuotaOvershoot) + QuotaSlack.
	QuotaWindowS   float64 `koanf:"quota-window-s"`
	QuotaOvershoot float64 `koanf:"quota-overshoot"`
	QuotaSlack     float64 `koanf:"quota-slack"`
}

// Path returns the path of the settings file, from EnvironmentVariable or else DefaultFile.
func Path() string {
	if path := os.Getenv(EnvironmentVariable); path != "" {
		return path
	}
	return DefaultFile
}

// Load reads and validates a settings file. Its error is an *apierror.Error of kind Unavailable if the
// file can't be read, TooLarge, or Invalid. An Invalid error names the key and a remedy.
func Load(path string) (*Settings, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unavailable, "settings file", "set "+EnvironmentVariable+" to its path")
	}
	if len(raw) > maxFileBytes {
		return nil, apierror.New(apierror.TooLarge, path, "give the path of a settings file",
			"a settings file has at most %d bytes", maxFileBytes)
	}
	return Parse(raw)
}

// readFile reads at most maxFileBytes and one more byte, by which a file that is too large is detected.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, maxFileBytes+1))
}

// Parse decodes and validates the text of a settings file, and fills in defaults. Its error is an
// *apierror.Error of kind Invalid.
func Parse(raw []byte) (*Settings, error) {
	k := koanf.New("\x00") // a delimiter that no key contains, as names of zones may contain dots
	if err := k.Load(rawbytes.Provider(raw), toml.Parser()); err != nil {
		return nil, apierror.Wrap(errors.Wrap(err, "the file is not valid TOML"), apierror.Invalid,
			"settings file", "correct its syntax")
	}
	s := &Settings{Digest: sha256.Sum256(raw)}
	if err := k.UnmarshalWithConf("", s, koanf.UnmarshalConf{Tag: "koanf"}); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "settings file", "give each key a value of its type")
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.setDefaults()
	return s, nil
}

// HasContract reports whether a contract is active.
func (s *Settings) HasContract(contract string) bool {
	return slices.Contains(s.ActiveContracts, contract)
}

// ServesRole reports whether the process serves a role, that is, accepts its connections from outside the
// fleet.
func (s *Settings) ServesRole(role string) bool { return slices.Contains(s.ServedRoles, role) }

// HasDisk reports whether the machine has a disk for persistent state.
func (s *Settings) HasDisk() bool { return s.StateDir != "" }

// Grace returns the time from SIGTERM to SIGKILL.
func (s *Settings) Grace() time.Duration {
	return time.Duration(s.Bounds.GraceS * float64(time.Second))
}

// PeerPort returns the port for calls between agents. It is the same on all machines.
func (s *Settings) PeerPort() int { return s.PortRange[0] }

// PeerAddress returns the address for calls from other agents to the agent with the given control address.
func (s *Settings) PeerAddress(controlAddress string) string {
	host, _, err := net.SplitHostPort(controlAddress)
	if err != nil {
		host = strings.TrimSpace(controlAddress)
	}
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort()))
}
