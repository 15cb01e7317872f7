package controlsim

import (
	"github.com/anishathalye/porcupine"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// updateInput and readInput are what operators ask of the register, answers what they got.
type (
	updateInput struct {
		ifMatch, revision int64
		id                string
	}
	readInput struct{}
	response  struct {
		outcome  chain.Outcome
		revision int64
		id       string // of a read
	}
	register struct {
		revision int64
		id       string
	}
)

// registerModel is what operators see: a register that is changed by comparing its version.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		cur, out := state.(register), output.(response)
		in, isOrder := input.(updateInput)
		if !isOrder {
			if out.revision != cur.revision || out.id != cur.id {
				return nil
			}
			return []any{cur}
		}
		next := register{in.revision, in.id}
		switch fits := in.ifMatch == cur.revision; {
		case out.outcome == chain.OutcomeCommitted && fits:
			return []any{next}
		case out.outcome == chain.OutcomeConflict && !fits && out.revision == cur.revision:
			return []any{cur}
		case out.outcome == chain.OutcomeUnknown && fits:
			return []any{cur, next}
		case out.outcome == chain.OutcomeUnknown:
			return []any{cur}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}
