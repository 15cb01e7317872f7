package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A final state stays after its report is withdrawn while another source still reports an earlier state.
func TestFinalStateOutlivesItsReport(t *testing.T) {
	t.Parallel()
	now := time.Minute
	for name, end := range map[string]State{"draining": Draining, "deregistered": Deregistered} {
		t.Run(name, func(t *testing.T) {
			table := NewTable("self", time.Second)
			before := &Instance{ID: "s", Service: "m", Addr: "s:1", Seq: 1, State: Ready}
			after := *before
			after.Seq, after.State = 2, end
			table.Report(now, "former home", before)
			assert.Contains(t, table.List().ByID, "s")
			table.Report(now, "newer home", &after)
			assert.NotContains(t, table.List().ByID, "s")
			table.Withdraw(now, "newer home", "s")
			assert.NotContains(t, table.List().ByID, "s")
		})
	}
}

// An agent that acknowledges an end publishes it in its own source, even if another agent has reported
// the end already. Only of its own source's reports can it know that a majority of the core has them.
func TestRepeatedEndIsPublishedByEveryAgentThatIsCalled(t *testing.T) {
	t.Parallel()
	for name, repeated := range map[string]func(*Table, time.Duration) *Instance{
		"deregistered": func(table *Table, now time.Duration) *Instance {
			update, err := table.Deregister(now, "s")
			require.NoError(t, err)
			return update
		},
		"draining": func(table *Table, now time.Duration) *Instance {
			update, err := table.Heartbeat(now, &Instance{ID: "s", Service: "m", Addr: "s:1", Seq: 2, State: Draining})
			require.NoError(t, err)
			return update
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := NewTable("self", time.Second), time.Minute
			table.Report(now, "other", &Instance{ID: "s", Service: "m", Addr: "s:1", Seq: 3, State: Deregistered})
			update := repeated(table, now)
			require.NotNil(t, update)
			assert.Equal(t, Deregistered, update.State)
			assert.GreaterOrEqual(t, update.Seq, uint64(3))
			assert.Nil(t, repeated(table, now), "it is published already")
			table.Withdraw(now, "other", "s")
			assert.True(t, table.ReportedBy("self", "s"))
		})
	}
}
