package controlsim

import (
	"github.com/anishathalye/porcupine"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// updateInput is a compare-and-set of the configuration.
type updateInput struct {
	ifMatch  int64 // revision on which the update is based
	revision int64 // revision that results from the update
	id       string
}

// unknownRevision stands for the current revision in a conflict over HTTP, as that response doesn't contain it.
const unknownRevision = -1

// readInput is a read of the configuration.
type readInput struct{}

// response is the result of an update or a read.
type response struct {
	outcome  chain.Outcome
	revision int64
	id       string // id of the update that a read has returned; "" in the response to an update
}

// register is the state of the model: the configuration as operators see it.
type register struct {
	revision int64
	id       string // id of the last update
}

// registerModel is the sequential specification of the configuration: a register with compare-and-set on its
// revision. An update with unknown outcome may or may not have taken effect.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		current, out := state.(register), output.(response)
		update, isUpdate := input.(updateInput)
		if !isUpdate {
			if out.revision != current.revision || out.id != current.id {
				return nil
			}
			return []any{current}
		}
		next := register{update.revision, update.id}
		switch matches := update.ifMatch == current.revision; {
		case out.outcome == chain.OutcomeCommitted && matches:
			return []any{next}
		case out.outcome == chain.OutcomeConflict && !matches &&
			(out.revision == current.revision || out.revision == unknownRevision):
			return []any{current}
		case out.outcome == chain.OutcomeUnknown && matches:
			return []any{current, next}
		case out.outcome == chain.OutcomeUnknown:
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}
