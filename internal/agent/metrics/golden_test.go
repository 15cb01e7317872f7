package metrics

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/goldentest"
	"chalkdoor.example/chalkdoor/policy"
)

// TestGoldenNames compares the names, types and labels of all metrics with the golden file.
func TestGoldenNames(t *testing.T) {
	m := New("n1", false)
	m.Started(func(context.Context) (agent.Stats, error) { return agent.Stats{}, nil })
	m.RequestAnswered("class", "served", time.Millisecond, time.Second, 1)
	m.SentToWarmingUp()
	m.ViolationPrevented(1, "what")
	for _, status := range []policy.Status{
		policy.OK, policy.Error, policy.Rejected, policy.Timeout, policy.ConnectFailed, policy.Reset,
		policy.Cancelled, policy.NotSent,
	} {
		m.AttemptEnded(status, time.Millisecond)
	}
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			fmt.Fprintf(&b, "%s %s", family.GetName(), family.GetType())
			for _, label := range metric.GetLabel() {
				fmt.Fprintf(&b, " %s=%q", label.GetName(), label.GetValue())
			}
			fmt.Fprintln(&b)
		}
	}
	goldentest.File(t, "names.txt", []byte(b.String()))
}
