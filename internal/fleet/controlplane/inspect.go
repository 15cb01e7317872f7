package controlplane

import (
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// State is what a folder of the core holds.
type State struct {
	ID     string
	View   view.View    // Number 0: none
	Vote   view.Vote    // for the view after it, if its instance is that
	Record chain.Record // View 0: no value was given
	Sum    uint64       // of the record's value, as members compare it
}

// Inspect reads the state of a folder that no process uses, and changes nothing.
func Inspect(dir string) (State, store.Report, error) {
	var s State
	rep, err := store.Verify(dir)
	if err != nil {
		return s, rep, err
	}
	id, _, err := store.Read(dir, keyID)
	if err != nil {
		return s, rep, err
	}
	s.ID = string(id)
	for key, to := range map[string]any{keyView: &s.View, keyVote: &s.Vote, keyValue: &s.Record} {
		raw, ok, err := store.Read(dir, key)
		if err == nil && ok {
			err = decode(raw, to)
		}
		if err != nil {
			return s, rep, errors.Wrapf(err, "read record %s of state-dir", key)
		}
	}
	s.Sum = s.Record.Value.Sum()
	return s, rep, nil
}

// InspectRecords reads the state of records that get gives by their names, as a Disk does.
func InspectRecords(get func(key string) ([]byte, bool)) (State, error) {
	var s State
	id, _ := get(keyID)
	s.ID = string(id)
	for key, to := range map[string]any{keyView: &s.View, keyVote: &s.Vote, keyValue: &s.Record} {
		if raw, ok := get(key); ok {
			if err := decode(raw, to); err != nil {
				return s, errors.Wrapf(err, "read record %s", key)
			}
		}
	}
	s.Sum = s.Record.Value.Sum()
	return s, nil
}
