package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// The saved server list may be any bytes.
func TestRestoreOfArbitraryBytes(t *testing.T) {
	sound := server("s", 1)
	wrong := server("r", 1)
	wrong.Slots = -5
	for name, testCase := range map[string]struct {
		saved []byte
		want  int
	}{
		"nothing":        {nil, 0},
		"noise":          {[]byte("\xff\x00\x12noise"), 0},
		"another format": {encode(&savedServers{Format: savedServersFormat + 1, Servers: []*registry.Instance{sound}}), 0},
		"nil entries":    {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{nil, sound, nil, {}}}), 1},
		"twice":          {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{sound, sound}}), 1},
		"out of bounds":  {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{sound, wrong}}), 1},
		"not ready":      {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{drainingServer("d", 1)}}), 0},
		"truncated":      {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{sound}})[:20], 0},
	} {
		t.Run(name, func(t *testing.T) {
			relay := New(Options{Self: Member{Name: "a"}, HeartbeatInterval: time.Second, Core: newFakeCore(false, false), OnChange: func(*Snapshot) {}, SavedServers: testCase.saved})
			assert.Len(t, relay.servers.List().ByID, testCase.want)
		})
	}
}
