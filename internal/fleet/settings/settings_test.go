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

// example has every key that is known, and some that are not.
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
[of-later-too]
x = true
`

func parse(t *testing.T, text string) *Settings {
	s, err := Parse([]byte(text))
	require.NoError(t, err)
	return s
}

func TestParseDecodesEveryKey(t *testing.T) {
	s := parse(t, example)
	want := &Settings{Name: "edge-a1-3", Role: "all", MachineClass: "edge", ServedRoles: []string{"edge", "control"}, IP: "10.7.0.13", Zone: "a.1",
		Region: "north", PortRange: []int{7300, 7315}, Seeds: []string{"10.7.0.11:8262", "10.8.0.11:8262", "10.9.0.11:8262"},
		FirstStart: true, CountedLoss: true, StateDir: "/data/all", DiscoverySource: "self_register", EntryKind: "vip", HeartbeatPeriodMs: 900,
		ActiveContracts: []string{"base", "drain", "of-later"}, Zones: map[string]string{"a.1": "north", "b.c.d": "south", "plain": "south"},
		Digest: s.Digest}
	want.Listen.Front, want.Listen.Readiness, want.Listen.Control = "10.7.0.13:8263", "10.7.0.13:8268", "10.7.0.13:8262"
	want.Limits.CPUShare, want.Limits.CPUCores, want.Limits.MemoryMB, want.Limits.FileDescriptors = 0.6, 2, 256, 4000
	want.Limits.LinkMbps, want.Limits.DiskMB = 100.5, 32
	want.Tolerance.Machines, want.Tolerance.Zones, want.Tolerance.Regions = 1, 2, 3
	b := &want.Bounds
	b.SeedLagS, b.ReuseAfterS, b.ContactMs, b.AckMs, b.SettleS, b.DrainMs, b.GraceS = 3, 2, 3100, 4100, 4, 2100, 7.5
	b.LossSlackMs, b.ConvergeMs, b.RevertSlackMs, b.StretchMs = 210, 2200, 260, 5100
	b.RetryRatio, b.RetryWindowS, b.RetrySlack, b.RecoveryS, b.PassMs = 0.2, 9, 58, 12, 130
	assert.Equal(t, want, s)
	assert.True(t, s.ServesRole("edge"))
	assert.True(t, s.ServesRole("control"))
	assert.False(t, s.ServesRole("other"))
	assert.True(t, s.HasDisk())
	assert.Equal(t, 7500*time.Millisecond, s.Grace())
	assert.Equal(t, 7300, s.PeerPort())
	assert.Equal(t, "10.8.0.11:7300", s.PeerAddress("10.8.0.11:8262"))
	assert.Equal(t, "10.8.0.11:7300", s.PeerAddress(" 10.8.0.11 "))
}

// without drops the lines of a key, first of a table's.
func without(key string) string {
	var out []string
	for _, line := range strings.Split(example, "\n") {
		if !strings.HasPrefix(line, key+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// withValue gives a key another value.
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

// What may be left out has a default.
func TestDefaults(t *testing.T) {
	for key, is := range map[string]func(*Settings) bool{
		"beat-period-ms":   func(s *Settings) bool { return s.HeartbeatPeriodMs == 1000 },
		"contact-ms":       func(s *Settings) bool { return s.Bounds.ContactMs == 3000 },
		"ack-ms":           func(s *Settings) bool { return s.Bounds.AckMs == 4000 },
		"drain-ms":         func(s *Settings) bool { return s.Bounds.DrainMs == 2000 },
		"converge-ms":      func(s *Settings) bool { return s.Bounds.ConvergeMs == 2000 },
		"revert-slack-ms":  func(s *Settings) bool { return s.Bounds.RevertSlackMs == 250 },
		"stretch-ms":       func(s *Settings) bool { return s.Bounds.StretchMs == 5000 },
		"pass_ms":          func(s *Settings) bool { return s.Bounds.PassMs == 120 },
		"loss-slack-ms":    func(s *Settings) bool { return s.Bounds.LossSlackMs == 200 },
		"memory-mb":        func(s *Settings) bool { return s.Limits.MemoryMB == 128 },
		"fd-limit":         func(s *Settings) bool { return s.Limits.FileDescriptors == 1024 },
		"grace-s":          func(s *Settings) bool { return s.Grace() == 8*time.Second },
		"retry-window-s":   func(s *Settings) bool { return s.Bounds.RetryWindowS == 10 },
		"retry-ratio":      func(s *Settings) bool { return s.Bounds.RetryRatio == 0 }, // none may be repeated
		"state-dir":        func(s *Settings) bool { return !s.HasDisk() },
		"first-start":      func(s *Settings) bool { return !s.FirstStart }, // nothing is founded by mistake
		"seed-nodes":       func(s *Settings) bool { return len(s.Seeds) == 0 },
		"active-contracts": func(s *Settings) bool { return len(s.ActiveContracts) == 0 },
	} {
		assert.True(t, is(parse(t, without(key))), key)
	}
	// What a process doesn't serve it needs no address for.
	s := parse(t, strings.Replace(without("front"), `["edge","control"]`, `["control"]`, 1))
	assert.False(t, s.ServesRole("edge"))
	parse(t, strings.Replace(without("control"), `["edge","control"]`, `["edge"]`, 1))
}

// Every error names its key and a remedy.
func TestErrorsNameKeyAndRemedy(t *testing.T) {
	for _, c := range []struct{ key, in, value string }{
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
		text := without(c.in)
		if c.value != "" {
			text = withValue(c.in, c.value)
		}
		s, err := Parse([]byte(text))
		var f *apierror.Error
		if assert.ErrorAs(t, err, &f, "%s = %s", c.in, c.value) {
			assert.Equal(t, c.key, f.Key, "%s = %s", c.in, c.value)
			assert.NotEmpty(t, f.Remedy)
			assert.Equal(t, apierror.Invalid, apierror.KindOf(err))
			assert.Nil(t, s)
		}
	}
}

// A value of a wrong type is told by its key.
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
	one, err := Load(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(withValue("zone", `"plain"`)), 0o600))
	two, err := Load(path)
	require.NoError(t, err)
	assert.NotEqual(t, one.Digest, two.Digest)
	assert.Equal(t, one.Digest, parse(t, example).Digest)
	require.NoError(t, os.WriteFile(path, []byte(example+"#"+strings.Repeat("x", maxFileBytes)), 0o600))
	_, err = Load(path)
	require.ErrorContains(t, err, "at most")
	assert.Equal(t, apierror.TooLarge, apierror.KindOf(err))
	t.Setenv(EnvironmentVariable, "")
	assert.Equal(t, DefaultFile, Path())
}

// Whatever a file holds, it gives settings or an error, and settings are those of a sound process.
func TestParseOfMutatedFiles(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(example), "\n")
	rapid.Check(t, func(t *rapid.T) {
		var out []string
		for _, line := range lines {
			switch rapid.IntRange(0, 40).Draw(t, "what") {
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
		s, err := Parse([]byte(strings.Join(out, "\n")))
		if err != nil {
			require.Nil(t, s)
			require.NotEmpty(t, err.Error())
			return
		}
		require.NotEmpty(t, s.Name)
		require.Positive(t, s.PeerPort())
		require.Positive(t, s.Grace())
		require.Positive(t, s.HeartbeatPeriodMs)
		require.Positive(t, s.Limits.MemoryMB)
	})
}
