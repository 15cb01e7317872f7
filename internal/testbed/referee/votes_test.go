package referee

import (
	"strings"
	"testing"
	"time"
)

func TestCheckVotes(t *testing.T) {
	e := Electorate{Zone: map[string]string{"a": "z", "b": "z", "c": "z"}, Members: map[string][]string{"z": {"a", "b", "c"}},
		HostZone: map[string]string{"s1": "z", "s2": "z", "s3": "z"}, Weight: map[string]float64{"s1": 1, "s2": 1, "s3": 1}, Cap: 0.4}
	grant := func(at time.Duration, agent, host string) VoteStep {
		return VoteStep{At: at, Agent: agent, Kind: "grant", Host: host, Failures: 2, ValidFor: 4 * time.Second}
	}
	eject := func(at time.Duration, agent, host string, by ...string) VoteStep {
		return VoteStep{At: at, Agent: agent, Kind: "eject", Host: host, Granters: by, ValidFor: 4 * time.Second}
	}
	grants1 := []VoteStep{grant(1, "a", "s1"), grant(2, "b", "s1")}
	grants2 := []VoteStep{grant(1, "a", "s2"), grant(2, "b", "s2")}
	for name, c := range map[string]struct {
		steps []VoteStep
		want  string
	}{
		"two of three":             {append(grants1, eject(time.Second, "c", "s1", "a", "b")), ""},
		"one counted twice":        {append(grants1, eject(time.Second, "c", "s1", "a", "a")), "1 of 3 members"},
		"a member without a grant": {append(grants1, eject(time.Second, "c", "s1", "a", "c")), "1 of 3 members"},
		"another incarnation":      {append(grants1, VoteStep{At: time.Second, Agent: "c", Kind: "eject", Host: "s1", Incarnation: 5, Granters: []string{"a", "b"}}), "0 of 3 members"},
		"after the grants' end":    {append(grants1, eject(5*time.Second, "c", "s1", "a", "b")), "0 of 3 members"},
		"a grant without evidence": {[]VoteStep{{Agent: "a", Kind: "grant", Host: "s1"}}, "no evidence of its own"},
		"over the cap, in two views": {append(append(grants1, grants2...), eject(time.Second, "a", "s1", "a", "b"), eject(2*time.Second, "c", "s2", "a", "b")),
			"2.0 of 3.0 of zone z ejected"},
		"one after the other": {append(append(grants1, grants2...), eject(time.Second, "a", "s1", "a", "b"), VoteStep{At: 2 * time.Second, Agent: "a", Kind: "return", Host: "s1"},
			eject(2*time.Second, "a", "s2", "a", "b")), ""},
	} {
		got := strings.Join(CheckVotes(c.steps, e), "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
