package assembly

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
)

func TestOutcomeOf(t *testing.T) {
	t.Parallel()
	for outcome, want := range map[chain.Outcome]controlapi.Outcome{
		chain.OutcomeCommitted: controlapi.OutcomeCommitted,
		chain.OutcomeConflict:  controlapi.OutcomeConflict,
		chain.OutcomeInvalid:   controlapi.OutcomeInvalid,
		77:                     controlapi.OutcomeUnknown,
	} {
		assert.Equal(t, want, outcomeOf(outcome))
	}
}

// The core asks for addresses before the relay is created, as it is opened first.
func TestAddressesBeforeTheRelay(t *testing.T) {
	t.Parallel()
	assert.Empty(t, KnownCoreAddrs(nil))
	assert.Empty(t, UnreachedAddrs(nil))
}
