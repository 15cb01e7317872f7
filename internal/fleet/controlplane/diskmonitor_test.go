package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

func TestDiskMonitorBegin(t *testing.T) {
	t.Parallel()
	healthy := store.Health{Written: true}
	failing := store.Health{Written: true, FailingFor: time.Second}
	for _, test := range []struct {
		name    string
		before  diskMonitor
		health  store.Health
		hasFile bool
		want    diskCheck
	}{
		{"a healthy disk", diskMonitor{}, healthy, true, scrubDisk},
		{"a healthy disk without a file", diskMonitor{}, healthy, false, noDiskCheck},
		{"a healthy disk that was scrubbed", diskMonitor{lastScrub: start.Add(1 - diskScrubInterval)}, healthy, true, noDiskCheck},
		{"a healthy disk whose scrub is due", diskMonitor{lastScrub: start.Add(-diskScrubInterval)}, healthy, true, scrubDisk},
		{"a failing disk", diskMonitor{lastScrub: start}, failing, true, probeDisk},
		{"a disk without a write", diskMonitor{}, store.Health{}, true, probeDisk},
		{"a failing disk that was probed", diskMonitor{lastProbe: start.Add(1 - diskProbeInterval), lastScrub: start}, failing, true, noDiskCheck},
		{"a check is under way", diskMonitor{busy: true}, failing, true, noDiskCheck},
		{"an operation is under way", diskMonitor{}, store.Health{FailingFor: time.Second, OldestPending: 1}, true, noDiskCheck},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			monitor := test.before
			got := monitor.begin(test.health, test.hasFile, start)
			require.Equal(t, test.want.String(), got.String())
			require.Equal(t, test.before.busy || test.want != noDiskCheck, monitor.busy)
			require.Equal(t, noDiskCheck, monitor.begin(test.health, test.hasFile, start), "one check at a time")
		})
	}
}
