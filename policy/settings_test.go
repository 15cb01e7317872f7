package policy

import (
	"math"
	"testing"
)

func TestInvalidSettings(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"classes":             func(s *Settings) { s.Classes = nil },
		"classes[0].aimMs":    func(s *Settings) { s.Classes[0].LatencyTargetMs = math.NaN() },
		"classes[1].giveUpMs": func(s *Settings) { s.Classes[1].ClientTimeoutMs = -1 },
		"classes[0].effect":   func(s *Settings) { s.Classes[0].Idempotency = "maybe" },
		"classes[2].group":    func(s *Settings) { s.Classes[2].DedupScope = "moon" },
		"contract.coldMs":     func(s *Settings) { s.Contract.SlowStartMs = -5 },
		"membershipMode":      func(s *Settings) { s.Membership = "" },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil || !contains(err.Error(), key) {
			t.Errorf("invalid %s: the error %v does not name it", key, err)
		}
	}
}

func contains(s, substr string) bool {
	for i := 0; i+len(substr) <= len(s); i++ {
		if s[i:i+len(substr)] == substr {
			return true
		}
	}
	return false
}
