package referee

import (
	"fmt"
	"time"
)

// Loss is a period in which a site's uplink is lost. To is negative while it lasts.
type Loss struct {
	Zone     string
	From, To time.Duration
}

// detectionSlack is how long after the return of its uplink a site may still detect the loss, since what its
// members know of the other sites is then as old as the loss.
const detectionSlack = 3 * time.Second

// CheckSites checks the steps that agents recorded about their uplinks ("dark": the agent considers its
// uplink lost, "returning": it detects that the uplink is back). Zone has the zone of each agent. It
// returns a text for each agent that considered its uplink lost while it was not. The mean times from a
// loss (dark_ms) and from its end (light_ms) to its detection are taken over the agents of the site.
func CheckSites(steps []VoteStep, zone map[string]string, losses []*Loss) (
	broken []string, mean map[string]time.Duration) {
	type detection struct {
		loss  *Loss
		agent string
	}
	sum, count := map[string]time.Duration{}, map[string]time.Duration{}
	seen := map[string]map[detection]bool{"dark_ms": {}, "light_ms": {}}
	record := func(figure string, detected detection, d time.Duration) {
		if !seen[figure][detected] {
			seen[figure][detected] = true
			sum[figure] += d
			count[figure]++
		}
	}
	for _, s := range steps {
		if s.Kind != "dark" && s.Kind != "returning" {
			continue
		}
		var during, after *Loss
		for _, l := range losses {
			if l.Zone != zone[s.Agent] || s.At < l.From {
				continue
			}
			if l.To < 0 || s.At <= l.To+detectionSlack {
				during = l
			}
			if l.To >= 0 && s.At >= l.To {
				after = l
			}
		}
		switch {
		case s.Kind == "dark" && during == nil:
			broken = append(broken, fmt.Sprintf("sites: at %v %s of %s considers its uplink lost, which it is not",
				s.At, s.Agent, zone[s.Agent]))
		case s.Kind == "dark":
			record("dark_ms", detection{during, s.Agent}, s.At-during.From)
		case after != nil:
			record("light_ms", detection{after, s.Agent}, s.At-after.To)
		}
	}
	mean = map[string]time.Duration{}
	for figure := range sum {
		mean[figure] = sum[figure] / count[figure]
	}
	return broken, mean
}
