// Package settings reads and checks the settings file that the platform writes for each process.
package settings

import (
	"crypto/sha256"
	"io"
	"math"
	"net"
	"net/netip"
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

// EnvironmentVariable names the variable with the path of the settings file, DefaultFile is used without it.
const (
	EnvironmentVariable = "CHALKDOOR_NODE_FILE"
	DefaultFile         = "/etc/chalkdoor/local.toml"
	maxFileBytes        = 1 << 20
	maxSeeds            = 64
)

// Settings is what the platform tells a process. Fields that are not known are ignored.
type Settings struct {
	Name              string   `koanf:"node-name"`
	Role              string   `koanf:"role"`
	MachineClass      string   `koanf:"machine-class"`
	ServedRoles       []string `koanf:"served-roles"`
	IP                string   `koanf:"ip"`
	Zone              string   `koanf:"zone"`
	Region            string   `koanf:"region"`
	PortRange         []int    `koanf:"port-range"`
	Seeds             []string `koanf:"seed-nodes"`
	FirstStart        bool     `koanf:"first-start"`
	CountedLoss       bool     `koanf:"counted-loss"`
	StateDir          string   `koanf:"state-dir"`
	DiscoverySource   string   `koanf:"discovery-source"`
	EntryKind         string   `koanf:"entry-kind"`
	HeartbeatPeriodMs int64    `koanf:"beat-period-ms"`
	ActiveContracts   []string `koanf:"active-contracts"`

	Zones  map[string]string `koanf:"zones"`
	Listen struct {
		Front     string `koanf:"front"`
		Readiness string `koanf:"readiness"`
		Control   string `koanf:"control"`
	} `koanf:"listen"`
	Limits struct {
		CPUShare float64 `koanf:"cpu-share"`
		Cores    float64 `koanf:"cpu-cores"`
		MemoryMB int64   `koanf:"memory-mb"`
		FDs      int     `koanf:"fd-limit"`
		LinkMbps float64 `koanf:"link-mbps"`
		DiskMB   int64   `koanf:"disk-mb"`
	} `koanf:"limits"`
	Tolerance struct {
		Machines int `koanf:"machine-losses"`
		Zones    int `koanf:"zones"`
		Regions  int `koanf:"region-losses"`
	} `koanf:"fault-tolerance"`
	Bounds struct {
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
	} `koanf:"bounds"`

	// Digest tells one content of the file from another.
	Digest [32]byte `koanf:"-"`
}

// Path is where the settings file is by the environment.
func Path() string {
	if p := os.Getenv(EnvironmentVariable); p != "" {
		return p
	}
	return DefaultFile
}

// Load reads and checks the file. An error is a fault that names the key and what to do.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unavailable, "settings file", "set "+EnvironmentVariable+" to its path")
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unavailable, "settings file", "set "+EnvironmentVariable+" to its path")
	}
	if len(raw) > maxFileBytes {
		return nil, apierror.New(apierror.TooLarge, path, "name the settings file", "a settings file has at most %d bytes", maxFileBytes)
	}
	return Parse(raw)
}

// Parse reads and checks the text of a settings file.
func Parse(raw []byte) (*Settings, error) {
	k := koanf.New("\x00") // zone names may hold dots
	if err := k.Load(rawbytes.Provider(raw), toml.Parser()); err != nil {
		return nil, apierror.Wrap(errors.Wrap(err, "it is no TOML"), apierror.Invalid, "settings file", "write it anew")
	}
	s := &Settings{Digest: sha256.Sum256(raw)}
	if err := k.UnmarshalWithConf("", s, koanf.UnmarshalConf{Tag: "koanf"}); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "settings file", "give each key a value of its type")
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) validate() error {
	bad := func(key, remedy string) error {
		return apierror.New(apierror.Invalid, key, remedy, "the setting can't be used")
	}
	addr := func(a string) bool { ap, err := netip.ParseAddrPort(a); return err == nil && ap.Port() > 0 }
	ip, err := netip.ParseAddr(s.IP)
	switch {
	case err != nil || !ip.Is4():
		return bad("ip", "give the machine's IPv4 address")
	case s.Name == "":
		return bad("node-name", "give the machine a name")
	case s.Zone == "":
		return bad("zone", "name the machine's zone")
	case len(s.PortRange) != 2 || s.PortRange[0] < 1 || s.PortRange[1] < s.PortRange[0] || s.PortRange[1] > 65535:
		return bad("port-range", "give the first and the last free port, from 1 to 65535")
	case s.ServesRole("edge") && !addr(s.Listen.Front):
		return bad("listen.front", "give IP:PORT for clients")
	case s.ServesRole("edge") && !addr(s.Listen.Readiness):
		return bad("listen.readiness", "give IP:PORT for the entry's question")
	case s.ServesRole("control") && !addr(s.Listen.Control):
		return bad("listen.control", "give IP:PORT for servers and operators")
	case len(s.Seeds) > maxSeeds:
		return bad("seed-nodes", "give a few seeds")
	}
	for _, seed := range s.Seeds {
		if !addr(seed) {
			return bad("seed-nodes", "give each seed as IP:PORT, not "+strconv.Quote(seed))
		}
	}
	for _, f := range []struct {
		key string
		is  float64
	}{{"bounds.retry-ratio", s.Bounds.RetryRatio}, {"bounds.retry-slack", s.Bounds.RetrySlack}, {"bounds.grace-s", s.Bounds.GraceS},
		{"bounds.retry-window-s", s.Bounds.RetryWindowS}, {"bounds.recovery-s", s.Bounds.RecoveryS}, {"bounds.settle-s", s.Bounds.SettleS},
		{"bounds.seed-lag-s", s.Bounds.SeedLagS}, {"bounds.reuse-after-s", s.Bounds.ReuseAfterS},
		{"limits.cpu-share", s.Limits.CPUShare}, {"limits.cpu-cores", s.Limits.Cores}, {"limits.link-mbps", s.Limits.LinkMbps}} {
		if !(f.is >= 0 && f.is < math.MaxInt32) { // not a number, too
			return bad(f.key, "give a number from 0 on")
		}
	}
	for _, n := range []struct {
		key string
		is  int64
	}{{"beat-period-ms", s.HeartbeatPeriodMs}, {"bounds.contact-ms", s.Bounds.ContactMs}, {"bounds.ack-ms", s.Bounds.AckMs},
		{"bounds.drain-ms", s.Bounds.DrainMs}, {"bounds.loss-slack-ms", s.Bounds.LossSlackMs}, {"bounds.converge-ms", s.Bounds.ConvergeMs},
		{"bounds.revert-slack-ms", s.Bounds.RevertSlackMs}, {"bounds.stretch-ms", s.Bounds.StretchMs}, {"bounds.pass_ms", s.Bounds.PassMs},
		{"limits.memory-mb", s.Limits.MemoryMB}, {"limits.disk-mb", s.Limits.DiskMB}, {"limits.fd-limit", int64(s.Limits.FDs)},
		{"fault-tolerance.machine-losses", int64(s.Tolerance.Machines)}, {"fault-tolerance.zones", int64(s.Tolerance.Zones)},
		{"fault-tolerance.region-losses", int64(s.Tolerance.Regions)}} {
		if n.is < 0 || n.is > math.MaxInt32 {
			return bad(n.key, "give a whole number from 0 to 2147483647")
		}
	}
	defaults := []struct {
		at   *int64
		than int64
	}{{&s.HeartbeatPeriodMs, 1000}, {&s.Bounds.ContactMs, 3000}, {&s.Bounds.AckMs, 4000}, {&s.Bounds.DrainMs, 2000},
		{&s.Bounds.ConvergeMs, 2000}, {&s.Bounds.RevertSlackMs, 250}, {&s.Bounds.StretchMs, 5000},
		{&s.Bounds.PassMs, 120}, {&s.Limits.MemoryMB, 128}, {&s.Bounds.LossSlackMs, 200}}
	for _, d := range defaults {
		if *d.at == 0 {
			*d.at = d.than
		}
	}
	if s.Bounds.GraceS == 0 {
		s.Bounds.GraceS = 8
	}
	if s.Bounds.RetryWindowS == 0 {
		s.Bounds.RetryWindowS = 10
	}
	if s.Limits.FDs == 0 {
		s.Limits.FDs = 1024
	}
	return nil
}

// ServesRole tells whether the process is called from outside for what.
func (s *Settings) ServesRole(what string) bool {
	return slices.Contains(s.ServedRoles, what)
}

// HasDisk tells whether the machine keeps state.
func (s *Settings) HasDisk() bool { return s.StateDir != "" }

// Grace is the time from SIGTERM to SIGKILL.
func (s *Settings) Grace() time.Duration {
	return time.Duration(s.Bounds.GraceS * float64(time.Second))
}

// PeerPort is the port on which agents call each other, the same on all machines.
func (s *Settings) PeerPort() int { return s.PortRange[0] }

// PeerAddress is the agents' address on the machine of a control address.
func (s *Settings) PeerAddress(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		host = strings.TrimSpace(control)
	}
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort()))
}
