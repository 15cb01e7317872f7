package experiment

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/lab/fleet"
	"chalkdoor.example/chalkdoor/internal/lab/load"
	"chalkdoor.example/chalkdoor/policy"
)

func settings() policy.Settings { return fleet.Settings() }

func ptr[T any](v T) *T { return &v }

// tallyOf has one request a second: two are served after 10 ms, one refused, one failed, and
// all but the refused one took an attempt. Agents of two zones take turns.
func tallyOf(cfg *load.Config, n int) *tally {
	t := &tally{cfg: cfg, zones: 2}
	for i := range n {
		at := time.Duration(i) * time.Second
		v := []load.Verdict{load.Served, load.Served, load.Refused, load.Failed}[i%4]
		t.outcomes = append(t.outcomes, load.Outcome{Ask: &load.Ask{At: at, Agent: i}, Verdict: v, Took: 10 * time.Millisecond})
		if v != load.Refused {
			t.attempts = append(t.attempts, attempt{at, false})
		}
	}
	return t
}
