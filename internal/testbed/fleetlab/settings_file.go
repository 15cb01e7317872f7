package fleetlab

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Bounds are the time bounds and limits in the agents' settings. The checker checks against the same values.
type Bounds struct {
	Contact, Ack, Drain, Converge, RevertSlack, LossSlack, Stretch time.Duration
	Stabilization, Grace, Recovery, HeartbeatInterval              time.Duration
	RetryRatio                                                     float64
	RetryWindow                                                    time.Duration
	RetrySlack                                                     float64
}

// DefaultBounds returns the bounds of a small deployment.
func DefaultBounds() Bounds {
	return Bounds{Contact: 3 * time.Second, Ack: 4 * time.Second, Drain: 2 * time.Second, Converge: 2 * time.Second,
		RevertSlack: 250 * time.Millisecond, LossSlack: 200 * time.Millisecond, Stretch: 5 * time.Second, Stabilization: 4 * time.Second,
		Grace: 8 * time.Second, Recovery: 12 * time.Second, HeartbeatInterval: 500 * time.Millisecond, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 30}
}

// writeSettings writes the agent's settings file and returns its path. first is the value
// of first-start: true at the first start of the fleet.
func (a *Agent) writeSettings(first bool) (string, error) {
	var b strings.Builder
	fleet, bounds := a.fleet, a.fleet.cfg.Bounds
	list := func(items []string) string { return `["` + strings.Join(items, `","`) + `"]` }
	ms := time.Duration.Milliseconds
	fmt.Fprintf(&b, "node-name = %q\nrole = \"edge\"\nmachine-class = \"edge\"\nserved-roles = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"lab\"\n", a.Name, a.IP, a.Zone)
	fmt.Fprintf(&b, "port-range = [%d,%d]\nseed-nodes = %s\nfirst-start = %v\n", firstPort, lastPort, list(fleet.seedAddrs()), first)
	if a.Core {
		state := filepath.Join(a.dir, "state")
		if err := os.MkdirAll(state, 0o755); err != nil {
			return "", errors.Wrap(err, a.Name)
		}
		fmt.Fprintf(&b, "counted-loss = true\nstate-dir = %q\n", state)
	}
	fmt.Fprintf(&b, "discovery-source = \"self_register\"\nentry-kind = \"vip\"\nbeat-period-ms = %d\n", ms(bounds.HeartbeatInterval))
	fmt.Fprintf(&b, "active-contracts = %s\n[zones]\n", list([]string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream"}))
	for _, z := range fleet.zones {
		fmt.Fprintf(&b, "%s = \"lab\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n", hostPort(a.IP, frontPort), hostPort(a.IP, readinessPort), hostPort(a.IP, controlPort))
	fmt.Fprintf(&b, "[limits]\ncpu-share = 1.0\ncpu-cores = 1\nmemory-mb = %d\nfd-limit = 4100\nlink-mbps = 1000.0\ndisk-mb = 64\n", fleet.cfg.MemoryMB)
	fmt.Fprintf(&b, "[fault-tolerance]\nmachine-losses = 1\nzones = 0\nregion-losses = 0\n")
	fmt.Fprintf(&b, "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = %d\nack-ms = %d\nsettle-s = %v\ndrain-ms = %d\ngrace-s = %v\nloss-slack-ms = %d\n",
		ms(bounds.Contact), ms(bounds.Ack), bounds.Stabilization.Seconds(), ms(bounds.Drain), bounds.Grace.Seconds(), ms(bounds.LossSlack))
	fmt.Fprintf(&b, "converge-ms = %d\nrevert-slack-ms = %d\nstretch-ms = %d\nretry-ratio = %v\nretry-window-s = %v\nretry-slack = %v\nrecovery-s = %v\npass_ms = %d\nagain_s = 0\n",
		ms(bounds.Converge), ms(bounds.RevertSlack), ms(bounds.Stretch), bounds.RetryRatio, bounds.RetryWindow.Seconds(), bounds.RetrySlack, bounds.Recovery.Seconds(), ms(forwardTarget))
	path := filepath.Join(a.dir, "local.toml")
	if err := replaceFile(path, []byte(b.String())); err != nil {
		return "", errors.Wrap(err, a.Name)
	}
	return path, nil
}

// replaceFile replaces a file atomically: a process that reads it meanwhile gets the complete old or new content.
func replaceFile(path string, content []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, content, 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}
