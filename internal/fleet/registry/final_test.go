package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A final state remains when its report is withdrawn while another source still reports an earlier state.
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
