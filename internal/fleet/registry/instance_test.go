package registry

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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

func TestValid(t *testing.T) {
	for name, invalidate := range map[string]func(*Instance){
		"no ID":            func(instance *Instance) { instance.ID = "" },
		"huge ID":          func(instance *Instance) { instance.ID = strings.Repeat("x", 1<<20) },
		"huge service":     func(instance *Instance) { instance.Service = strings.Repeat("x", 1<<20) },
		"huge address":     func(instance *Instance) { instance.Addr = strings.Repeat("x", 1<<20) },
		"huge zone":        func(instance *Instance) { instance.Zone = strings.Repeat("x", 1<<20) },
		"huge revision":    func(instance *Instance) { instance.Revision = strings.Repeat("x", 1<<20) },
		"unknown state":    func(instance *Instance) { instance.State = Deregistered + 1 },
		"negative slots":   func(instance *Instance) { instance.Slots = -1 },
		"absurd slots":     func(instance *Instance) { instance.Slots = math.MaxInt },
		"negative warm-up": func(instance *Instance) { instance.WarmUp = -1 },
		"endless warm-up":  func(instance *Instance) { instance.WarmUp = math.MaxInt64 },
		"too many models":  func(instance *Instance) { instance.Models = make([]Model, 1<<16) },
		"huge model":       func(instance *Instance) { instance.Models = []Model{{Name: strings.Repeat("x", 1<<20)}} },
	} {
		t.Run(name, func(t *testing.T) {
			instance := ready("s", 1)
			instance.Models = []Model{{"m", 1}}
			require.True(t, instance.Valid())
			invalidate(&instance)
			assert.False(t, instance.Valid())
		})
	}
	ended := Instance{ID: "s", State: Deregistered}
	assert.True(t, ended.Valid(), "a deregistered instance needs only an ID")
}
