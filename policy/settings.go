package policy

import "fmt"

// validate reports the first setting that makes no sense, by its key.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("settings: classes[%d].%s", i, key) }
		switch {
		case !(c.LatencyTargetMs > 0):
			return fmt.Errorf("%s: must be above 0, is %v", at("aimMs"), c.LatencyTargetMs)
		case !(c.ClientTimeoutMs > 0):
			return fmt.Errorf("%s: must be above 0, is %v", at("giveUpMs"), c.ClientTimeoutMs)
		case !(c.Value >= 0):
			return fmt.Errorf("%s: must not be negative, is %v", at("credit"), c.Value)
		case c.Idempotency != Idempotent && c.Idempotency != Deduplicated && c.Idempotency != NonIdempotent:
			return fmt.Errorf("%s: unknown effect %q", at("effect"), c.Idempotency)
		case c.Idempotency == Deduplicated && c.DedupScope != DedupEverywhere && c.DedupScope != DedupWithinZone && c.DedupScope != DedupWithinCell:
			return fmt.Errorf("%s: unknown group %q", at("group"), c.DedupScope)
		case c.Idempotency == Deduplicated && !(c.DedupWindowMs >= 0):
			return fmt.Errorf("%s: must not be negative, is %v", at("keyTtlMs"), c.DedupWindowMs)
		}
	}
	if s.Membership != "pushed" && s.Membership != "on_request" {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.Membership)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.ResponseGraceMs},
		{"contract.askWithinMs", s.Contract.DiscoveryDeadlineMs},
		{"contract.coldFrom", s.Contract.SlowStartFloor},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.CollapseLoadFactor},
		{"contract.tipAfterMs", s.Contract.CollapseAfterMs},
		{"limits.maxAttempts", float64(s.Limits.MaxAttempts)},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"replicasOfMe", float64(s.AgentCount)},
		{"roundMs", s.RoundMs},
	} {
		if !(f.value >= 0) {
			return fmt.Errorf("settings: %s: must not be negative, is %v", f.key, f.value)
		}
	}
	return nil
}
