package daemon

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// The JSON keys of the resources are those that operators' programs read, in alphabetical order.
func TestReportsAsJSON(t *testing.T) {
	t.Parallel()
	for want, report := range map[string]any{
		`{"members":null,"sessions":null,"source":"s/1"}`: membersReport{Source: "s/1"},
		`{"health":null,"servers":[]}`:                    serversReport{Servers: []registry.View{}},
		`{"able":true,"config-seq":1,"disk":true,"ending":true,"fresh":true,"members":2,"node":"n","revision":3,"servers":4,"zone":"z"}`: statusReport{
			Servable: true, ConfigSeq: 1, HasDisk: true, Draining: true, Synced: true, Members: 2, Node: "n",
			Revision: 3, Servers: 4, Zone: "z"},
	} {
		encoded, err := json.Marshal(report)
		require.NoError(t, err)
		assert.Equal(t, want, string(encoded))
	}
}

// Operators see what takes the memory of a process.
func TestMemoryFigures(t *testing.T) {
	t.Parallel()
	figures := memoryFigures()
	for _, name := range []string{"memory-heap", "memory-stacks", "goroutines"} {
		assert.Positive(t, figures[name], name)
	}
}
