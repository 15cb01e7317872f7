package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Arbitrary bytes are accepted as the saved server list; only valid and ready servers are restored.
func TestRestoreOfArbitraryBytes(t *testing.T) {
	validServer := server("s", 1)
	invalidServer := server("r", 1)
	invalidServer.Slots = -5
	for name, testCase := range map[string]struct {
		saved []byte
		want  int
	}{
		"nothing":        {nil, 0},
		"noise":          {[]byte("\xff\x00\x12noise"), 0},
		"another format": {encode(&savedServers{Format: savedServersFormat + 1, Servers: []*registry.Instance{validServer}}), 0},
		"nil entries":    {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{nil, validServer, nil, {}}}), 1},
		"twice":          {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{validServer, validServer}}), 1},
		"out of bounds":  {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{validServer, invalidServer}}), 1},
		"not ready":      {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{drainingServer("d", 1)}}), 0},
		"truncated":      {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{validServer}})[:20], 0},
	} {
		t.Run(name, func(t *testing.T) {
			relay := New(Options{Self: Member{Name: "a"}, HeartbeatInterval: time.Second, Core: newFakeCore(false, false), OnChange: func(*Snapshot) {}, SavedServers: testCase.saved})
			assert.Len(t, relay.servers.List().ByID, testCase.want)
		})
	}
}
