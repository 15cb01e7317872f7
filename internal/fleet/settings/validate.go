package settings

import (
	"math"
	"net/netip"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

const maxPort = 65535

func invalidError(key, remedy string) error {
	return apierror.New(apierror.Invalid, key, remedy, "the setting can't be used")
}

// isAddress reports whether text is IP:PORT with a port above 0.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() > 0
}

// validate returns an error for the first setting that is missing or invalid.
func (s *Settings) validate() error {
	for _, validate := range []func() error{s.validateMachine, s.validateListen, s.validateSeeds, s.validateFloats, s.validateInts} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateMachine() error {
	ip, err := netip.ParseAddr(s.IP)
	switch {
	case err != nil || !ip.Is4():
		return invalidError("ip", "give the machine's IPv4 address")
	case s.Name == "":
		return invalidError("node-name", "give the machine a name")
	case s.Zone == "":
		return invalidError("zone", "name the machine's zone")
	case !s.hasPortRange():
		return invalidError("port-range", "give the first and the last free port, from 1 to 65535")
	}
	return nil
}

func (s *Settings) hasPortRange() bool {
	ports := s.PortRange
	return len(ports) == 2 && ports[0] >= 1 && ports[1] >= ports[0] && ports[1] <= maxPort
}

// validateListen requires an address for each role that the process serves.
func (s *Settings) validateListen() error {
	switch {
	case s.ServesRole(RoleEdge) && !isAddress(s.Listen.Front):
		return invalidError("listen.front", "give IP:PORT for clients")
	case s.ServesRole(RoleEdge) && !isAddress(s.Listen.Readiness):
		return invalidError("listen.readiness", "give IP:PORT for readiness probes")
	case s.ServesRole(RoleControl) && !isAddress(s.Listen.Control):
		return invalidError("listen.control", "give IP:PORT for servers and operators")
	}
	return nil
}

func (s *Settings) validateSeeds() error {
	if len(s.Seeds) > maxSeeds {
		return invalidError("seed-nodes", "give a few seeds")
	}
	for _, seed := range s.Seeds {
		if !isAddress(seed) {
			return invalidError("seed-nodes", "give each seed as IP:PORT, not "+strconv.Quote(seed))
		}
	}
	return nil
}

func (s *Settings) validateFloats() error {
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"bounds.retry-ratio", s.Bounds.RetryRatio},
		{"bounds.retry-slack", s.Bounds.RetrySlack},
		{"bounds.grace-s", s.Bounds.GraceS},
		{"bounds.retry-window-s", s.Bounds.RetryWindowS},
		{"bounds.recovery-s", s.Bounds.RecoveryS},
		{"bounds.settle-s", s.Bounds.SettleS},
		{"bounds.seed-lag-s", s.Bounds.SeedLagS},
		{"bounds.reuse-after-s", s.Bounds.ReuseAfterS},
		{"bounds.quota-window-s", s.Bounds.QuotaWindowS},
		{"bounds.quota-overshoot", s.Bounds.QuotaOvershoot},
		{"bounds.quota-slack", s.Bounds.QuotaSlack},
		{"limits.cpu-share", s.Limits.CPUShare},
		{"limits.cpu-cores", s.Limits.CPUCores},
		{"limits.link-mbps", s.Limits.LinkMbps},
	} {
		if !(setting.value >= 0 && setting.value < math.MaxInt32) { // also rejects NaN
			return invalidError(setting.key, "give a number of 0 or more")
		}
	}
	return nil
}

func (s *Settings) validateInts() error {
	for _, setting := range []struct {
		key   string
		value int64
	}{
		{"beat-period-ms", s.HeartbeatPeriodMs},
		{"bounds.contact-ms", s.Bounds.ContactMs},
		{"bounds.ack-ms", s.Bounds.AckMs},
		{"bounds.drain-ms", s.Bounds.DrainMs},
		{"bounds.loss-slack-ms", s.Bounds.LossSlackMs},
		{"bounds.converge-ms", s.Bounds.ConvergeMs},
		{"bounds.revert-slack-ms", s.Bounds.RevertSlackMs},
		{"bounds.stretch-ms", s.Bounds.StretchMs},
		{"bounds.pass_ms", s.Bounds.PassMs},
		{"bounds.revoke-ms", s.Bounds.RevokeMs},
		{"limits.memory-mb", s.Limits.MemoryMB},
		{"limits.disk-mb", s.Limits.DiskMB},
		{"limits.fd-limit", int64(s.Limits.FileDescriptors)},
		{"fault-tolerance.machine-losses", int64(s.Tolerance.Machines)},
		{"fault-tolerance.zones", int64(s.Tolerance.Zones)},
		{"fault-tolerance.region-losses", int64(s.Tolerance.Regions)},
	} {
		if setting.value < 0 || setting.value > math.MaxInt32 {
			return invalidError(setting.key, "give a whole number from 0 to 2147483647")
		}
	}
	return nil
}
