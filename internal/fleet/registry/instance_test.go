package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStateString(t *testing.T) {
	t.Parallel()
	for want, state := range map[string]State{
		"ready":        Ready,
		"expired":      Expired,
		"draining":     Draining,
		"deregistered": Deregistered,
		"state(77)":    77,
	} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, want, state.String())
		})
	}
}
