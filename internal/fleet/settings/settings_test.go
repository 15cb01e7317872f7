package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// example has every known key, and some unknown ones.
const example = `
node-name = "edge-a1-3"
role = "all"
machine-class = "edge"
served-roles = ["edge","control"]
ip = "10.7.0.13"
zone = "a.1"
region = "north"
port-range = [7300,7315]
seed-nodes = ["10.7.0.11:8262","10.8.0.11:8262","10.9.0.11:8262"]
first-start = true
counted-loss = true
state-dir = "/data/all"
discovery-source = "self_register"
entry-kind = "vip"
beat-period-ms = 900
active-contracts = ["base","drain","of-later"]
of-later = {x = 1, y = ["z"]}
[zones]
"a.1" = "north"
"b.c.d" = "south"
plain = "south"
[listen]
front = "10.7.0.13:8263"
readiness = "10.7.0.13:8268"
control = "10.7.0.13:8262"
of-later = "10.7.0.13:1"
[limits]
cpu-share = 0.6
cpu-cores = 2
memory-mb = 256
fd-limit = 4000
link-mbps = 100.5
disk-mb = 32
[fault-tolerance]
machine-losses = 1
zones = 2
region-losses = 3
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3100
ack-ms = 4100
settle-s = 4
drain-ms = 2100
grace-s = 7.5
loss-slack-ms = 210
converge-ms = 2200
revert-slack-ms = 260
stretch-ms = 5100
retry-ratio = 0.2
retry-window-s = 9
retry-slack = 58
recovery-s = 12
pass_ms = 130
again_s = 0
revocation-closed = true
revoke-ms = 4900
quota-window-s = 8
quota-overshoot = 0.1
quota-slack = 140000
[of-later-too]
x = true
`

func parse(t *testing.T, text string) *Settings {
	t.Helper()
	settings, err := Parse([]byte(text))
	require.NoError(t, err)
	return settings
}

func TestParseDecodesEveryKey(t *testing.T) {
	settings := parse(t, example)
	want := &Settings{Name: "edge-a1-3", Role: "all", MachineClass: "edge", ServedRoles: []string{"edge", "control"}, IP: "10.7.0.13", Zone: "a.1",
		Region: "north", PortRange: []int{7300, 7315}, Seeds: []string{"10.7.0.11:8262", "10.8.0.11:8262", "10.9.0.11:8262"},
		FirstStart: true, CountedLoss: true, StateDir: "/data/all", DiscoverySource: "self_register", EntryKind: "vip", HeartbeatPeriodMs: 900,
		ActiveContracts: []string{"base", "drain", "of-later"}, Zones: map[string]string{"a.1": "north", "b.c.d": "south", "plain": "south"},
		Digest: settings.Digest}
	want.Listen.Front, want.Listen.Readiness, want.Listen.Control = "10.7.0.13:8263", "10.7.0.13:8268", "10.7.0.13:8262"
	want.Limits.CPUShare, want.Limits.CPUCores, want.Limits.MemoryMB, want.Limits.FileDescriptors = 0.6, 2, 256, 4000
	want.Limits.LinkMbps, want.Limits.DiskMB = 100.5, 32
	want.Tolerance.Machines, want.Tolerance.Zones, want.Tolerance.Regions = 1, 2, 3
	bounds := &want.Bounds
	bounds.SeedLagS, bounds.ReuseAfterS, bounds.ContactMs, bounds.AckMs, bounds.SettleS, bounds.DrainMs, bounds.GraceS = 3, 2, 3100, 4100, 4, 2100, 7.5
	bounds.LossSlackMs, bounds.ConvergeMs, bounds.RevertSlackMs, bounds.StretchMs = 210, 2200, 260, 5100
	bounds.RetryRatio, bounds.RetryWindowS, bounds.RetrySlack, bounds.RecoveryS, bounds.PassMs = 0.2, 9, 58, 12, 130
	bounds.RevocationClosed, bounds.RevokeMs = true, 4900
	bounds.QuotaWindowS, bounds.QuotaOvershoot, bounds.QuotaSlack = 8, 0.1, 140000
	assert.Equal(t, want, settings)
	assert.True(t, settings.ServesRole("edge"))
	assert.True(t, settings.ServesRole("control"))
	assert.False(t, settings.ServesRole("other"))
	assert.True(t, settings.HasDisk())
	assert.Equal(t, 7500*time.Millisecond, settings.Grace())
	assert.Equal(t, 7300, settings.PeerPort())
	assert.Equal(t, "10.8.0.11:7300", settings.PeerAddress("10.8.0.11:8262"))
	assert.Equal(t, "10.8.0.11:7300", settings.PeerAddress(" 10.8.0.11 "))
}

// without returns the example without the lines that set a key.
func without(key string) string {
	var out []string
	for _, line := range strings.Split(example, "\n") {
		if !strings.HasPrefix(line, key+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// withValue returns the example with another value for a key.
func withValue(key, value string) string {
	lines := strings.Split(example, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, key+" = ") {
			lines[i] = key + " = " + value
			return strings.Join(lines, "\n")
		}
	}
	panic("no key " + key)
}

// Optional settings have defaults.
func TestDefaults(t *testing.T) {
	for key, hasDefault := range map[string]func(*Settings) bool{
		"beat-period-ms":   func(settings *Settings) bool { return settings.HeartbeatPeriodMs == 1000 },
		"contact-ms":       func(settings *Settings) bool { return settings.Bounds.ContactMs == 3000 },
		"ack-ms":           func(settings *Settings) bool { return settings.Bounds.AckMs == 4000 },
		"drain-ms":         func(settings *Settings) bool { return settings.Bounds.DrainMs == 2000 },
		"converge-ms":      func(settings *Settings) bool { return settings.Bounds.ConvergeMs == 2000 },
		"revert-slack-ms":  func(settings *Settings) bool { return settings.Bounds.RevertSlackMs == 250 },
		"stretch-ms":       func(settings *Settings) bool { return settings.Bounds.StretchMs == 5000 },
		"pass_ms":          func(settings *Settings) bool { return settings.Bounds.PassMs == 120 },
		"loss-slack-ms":    func(settings *Settings) bool { return settings.Bounds.LossSlackMs == 200 },
		"memory-mb":        func(settings *Settings) bool { return settings.Limits.MemoryMB == 128 },
		"fd-limit":         func(settings *Settings) bool { return settings.Limits.FileDescriptors == 1024 },
		"grace-s":          func(settings *Settings) bool { return settings.Grace() == 8*time.Second },
		"retry-window-s":   func(settings *Settings) bool { return settings.Bounds.RetryWindowS == 10 },
		"retry-ratio":      func(settings *Settings) bool { return settings.Bounds.RetryRatio == 0 }, // no retries
		"state-dir":        func(settings *Settings) bool { return !settings.HasDisk() },
		"first-start":      func(settings *Settings) bool { return !settings.FirstStart }, // no bootstrap by mistake
		"seed-nodes":       func(settings *Settings) bool { return len(settings.Seeds) == 0 },
		"active-contracts": func(settings *Settings) bool { return len(settings.ActiveContracts) == 0 },
	} {
		assert.True(t, hasDefault(parse(t, without(key))), key)
	}
	// A process that does not serve a role needs no address for it.
	settings := parse(t, strings.Replace(without("front"), `["edge","control"]`, `["control"]`, 1))
	assert.False(t, settings.ServesRole("edge"))
	parse(t, strings.Replace(without("control"), `["edge","control"]`, `["edge"]`, 1))
}

// Every error names its key and a remedy.
func TestErrorsNameKeyAndRemedy(t *testing.T) {
	for _, test := range []struct{ key, in, value string }{
		{"ip", "ip", ""}, {"ip", "ip", `""`}, {"ip", "ip", `"here"`}, {"ip", "ip", `"::1"`}, {"ip", "ip", `"10.0.0.1:80"`}, {"ip", "ip", `"10.0.0.256"`},
		{"node-name", "node-name", ""}, {"node-name", "node-name", `""`},
		{"zone", "zone", ""},
		{"port-range", "port-range", ""}, {"port-range", "port-range", "[7300]"}, {"port-range", "port-range", "[7300,7310,7320]"},
		{"port-range", "port-range", "[7315,7300]"}, {"port-range", "port-range", "[0,10]"}, {"port-range", "port-range", "[65535,65536]"},
		{"listen.front", "front", ""}, {"listen.front", "front", `"10.0.0.1"`}, {"listen.front", "front", `":80"`}, {"listen.front", "front", `"10.0.0.1:http"`},
		{"listen.readiness", "readiness", ""}, {"listen.readiness", "readiness", `"10.0.0.1:0"`},
		{"listen.control", "control", ""}, {"listen.control", "control", `"10.0.0.1:99999"`},
		{"seed-nodes", "seed-nodes", `["10.0.0.1:80","10.0.0.2"]`}, {"seed-nodes", "seed-nodes", `["name:80"]`},
		{"seed-nodes", "seed-nodes", "[" + strings.Repeat(`"10.0.0.1:80",`, maxSeeds+1) + "]"},
		{"bounds.retry-ratio", "retry-ratio", "-0.1"}, {"bounds.retry-ratio", "retry-ratio", "nan"}, {"bounds.retry-slack", "retry-slack", "-1"},
		{"bounds.retry-slack", "retry-slack", "inf"}, {"bounds.grace-s", "grace-s", "-1"}, {"bounds.grace-s", "grace-s", "1e300"},
		{"bounds.grace-s", "grace-s", "nan"}, {"bounds.retry-window-s", "retry-window-s", "-inf"}, {"bounds.recovery-s", "recovery-s", "nan"},
		{"bounds.settle-s", "settle-s", "-1"}, {"bounds.seed-lag-s", "seed-lag-s", "-1"}, {"bounds.reuse-after-s", "reuse-after-s", "-1"},
		{"limits.cpu-share", "cpu-share", "nan"}, {"limits.cpu-cores", "cpu-cores", "-1"}, {"limits.link-mbps", "link-mbps", "inf"},
		{"beat-period-ms", "beat-period-ms", "-1"}, {"beat-period-ms", "beat-period-ms", "9223372036854775807"},
		{"bounds.contact-ms", "contact-ms", "-1"}, {"bounds.ack-ms", "ack-ms", "-1"}, {"bounds.drain-ms", "drain-ms", "-1"},
		{"bounds.loss-slack-ms", "loss-slack-ms", "-1"}, {"bounds.converge-ms", "converge-ms", "-1"},
		{"bounds.revert-slack-ms", "revert-slack-ms", "-1"}, {"bounds.stretch-ms", "stretch-ms", "-1"}, {"bounds.pass_ms", "pass_ms", "-1"},
		{"limits.memory-mb", "memory-mb", "9007199254740993"}, {"limits.disk-mb", "disk-mb", "-1"}, {"limits.fd-limit", "fd-limit", "-1"},
		{"fault-tolerance.machine-losses", "machine-losses", "-1"}, {"fault-tolerance.zones", "zones", "-1"},
		{"fault-tolerance.region-losses", "region-losses", "-1"},
	} {
		text := without(test.in)
		if test.value != "" {
			text = withValue(test.in, test.value)
		}
		settings, err := Parse([]byte(text))
		var apiError *apierror.Error
		if assert.ErrorAs(t, err, &apiError, "%s = %s", test.in, test.value) {
			assert.Equal(t, test.key, apiError.Key, "%s = %s", test.in, test.value)
			assert.NotEmpty(t, apiError.Remedy)
			assert.Equal(t, apierror.Invalid, apierror.KindOf(err))
			assert.Nil(t, settings)
		}
	}
}

// The error for a value of the wrong type names the key.
func TestTypeErrorsNameTheKey(t *testing.T) {
	for key, value := range map[string]string{"beat-period-ms": `"soon"`, "port-range": `["a","b"]`, "first-start": `"perhaps"`,
		"seed-nodes": `[["10.0.0.1:80"]]`, "retry-ratio": `"some"`, "memory-mb": "[1,2]", "node-name": "{x = 1}"} {
		_, err := Parse([]byte(withValue(key, value)))
		assert.ErrorContains(t, err, key)
		assert.Equal(t, apierror.Invalid, apierror.KindOf(err))
	}
	for _, text := range []string{"node-name = ", "\x00", "[zones", "a = 1\na = 2", "zones = 1\n" + example} {
		_, err := Parse([]byte(text))
		assert.ErrorContains(t, err, "settings file", "%q", text)
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "local.toml")
	t.Setenv(EnvironmentVariable, path)
	assert.Equal(t, path, Path())
	_, err := Load(Path())
	require.ErrorContains(t, err, EnvironmentVariable)
	_, err = Load(dir)
	require.ErrorContains(t, err, "settings file")
	require.NoError(t, os.WriteFile(path, []byte(example), 0o600))
	first, err := Load(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(withValue("zone", `"plain"`)), 0o600))
	second, err := Load(path)
	require.NoError(t, err)
	assert.NotEqual(t, first.Digest, second.Digest)
	assert.Equal(t, first.Digest, parse(t, example).Digest)
	require.NoError(t, os.WriteFile(path, []byte(example+"#"+strings.Repeat("x", maxFileBytes)), 0o600))
	_, err = Load(path)
	require.ErrorContains(t, err, "at most")
	assert.Equal(t, apierror.TooLarge, apierror.KindOf(err))
	t.Setenv(EnvironmentVariable, "")
	assert.Equal(t, DefaultFile, Path())
}

// Parse returns either an error or valid settings for any file.
func TestParseOfMutatedFiles(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(example), "\n")
	rapid.Check(t, func(t *rapid.T) {
		var out []string
		for _, line := range lines {
			switch rapid.IntRange(0, 40).Draw(t, "mutation") {
			case 0:
				continue
			case 1:
				key, _, _ := strings.Cut(line, " = ")
				line = key + " = " + rapid.SampledFrom([]string{"-1", "0", `""`, "[]", "nan", "1e99", "true", `"x"`, "{}"}).Draw(t, "value")
			case 2:
				line = rapid.String().Draw(t, "line")
			}
			out = append(out, line)
		}
		settings, err := Parse([]byte(strings.Join(out, "\n")))
		if err != nil {
			require.Nil(t, settings)
			require.NotEmpty(t, err.Error())
			return
		}
		require.NotEmpty(t, settings.Name)
		require.Positive(t, settings.PeerPort())
		require.Positive(t, settings.Grace())
		require.Positive(t, settings.HeartbeatPeriodMs)
		require.Positive(t, settings.Limits.MemoryMB)
	})
}
