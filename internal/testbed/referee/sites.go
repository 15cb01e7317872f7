package referee

import (
	"fmt"
	"time"
)

// Loss is the loss of a site's uplink; To is negative while it lasts.
type Loss struct {
	Zone     string
	From, To time.Duration
}

// darkSlack is for how long after its uplink is back a site may still find out that it is
// lost: what members then know is as old as their silence.
const darkSlack = 3 * time.Second

// CheckSites judges what agents noted of their uplinks ("dark", "returning", "light"; zone
// names the site of each): none is dark that has its uplink. It returns the mean times from a
// loss, and from its end, to when an agent of the site knew it.
func CheckSites(steps []VoteStep, zone map[string]string, losses []*Loss) (broken []string, mean map[string]time.Duration) {
	type one struct {
		loss  *Loss
		agent string
	}
	sum, n := map[string]time.Duration{}, map[string]time.Duration{}
	seen := map[string]map[one]bool{"dark_ms": {}, "light_ms": {}}
	took := func(figure string, at one, d time.Duration) {
		if !seen[figure][at] {
			seen[figure][at] = true
			sum[figure] += d
			n[figure]++
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
			if l.To < 0 || s.At <= l.To+darkSlack {
				during = l
			}
			if l.To >= 0 && s.At >= l.To {
				after = l
			}
		}
		switch {
		case s.Kind == "dark" && during == nil:
			broken = append(broken, fmt.Sprintf("sites: at %v %s of %s counts its uplink as lost, which it is not", s.At, s.Agent, zone[s.Agent]))
		case s.Kind == "dark":
			took("dark_ms", one{during, s.Agent}, s.At-during.From)
		case after != nil:
			took("light_ms", one{after, s.Agent}, s.At-after.To)
		}
	}
	mean = map[string]time.Duration{}
	for figure := range sum {
		mean[figure] = sum[figure] / n[figure]
	}
	return broken, mean
}
