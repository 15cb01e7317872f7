package experiment

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/fleetsim"
	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/policy"
)

func settings() policy.Settings { return fleetsim.Settings() }

func ptr[T any](v T) *T { return &v }

// tallyOf returns the tally of n requests, one a second. Of each four, two are served after 10 ms, one is refused
// and one fails. All but the refused ones have an attempt. The requests alternate between the agents of two
// zones.
func tallyOf(cfg *loadgen.Config, n int) *tally {
	t := &tally{cfg: cfg, zones: 2}
	for i := range n {
		at := time.Duration(i) * time.Second
		v := []loadgen.Verdict{loadgen.Served, loadgen.Served, loadgen.Refused, loadgen.Failed}[i%4]
		t.outcomes = append(t.outcomes, loadgen.Outcome{Request: &loadgen.PlannedRequest{At: at, Agent: i}, Verdict: v, Latency: 10 * time.Millisecond})
		if v != loadgen.Refused {
			t.attempts = append(t.attempts, attempt{at, false})
		}
	}
	return t
}
