package rollout

import (
	"cmp"
	"reflect"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// This file has the operations of operators and of a new lease holder. They are idempotent: each
// returns the record to replace r by, or r itself if nothing changes.

// Start begins a rollout. While another rollout is in progress, it returns an error of kind Conflict.
func (r *Record) Start(spec *Spec) (*Record, error) {
	if r.Active() {
		if reflect.DeepEqual(r.Spec, *spec) && r.Phase == PhaseForward {
			return r, nil
		}
		return nil, apierror.New(apierror.Conflict, "rollout", "wait for its end, or abort it and wait for that",
			"rollout %d of %s to %d is under way (%s)", r.Number, r.Spec.Service, r.Spec.To, r.Phase)
	}
	c := r.nextVersion()
	return &Record{
		Version: c.Version,
		Term:    c.Term,
		Holder:  c.Holder,
		Number:  c.Number + 1,
		Spec:    *spec,
		Phase:   PhaseForward,
		History: c.History,
	}, nil
}

// Pause stops a rollout except for servers already handed to the platform: no server is drained
// further, and none gets a larger share. If the rollout is not in progress, the error is of kind
// NotFound.
func (r *Record) Pause(number uint64, reason string) (*Record, error) {
	if err := r.requireActive(number); err != nil || r.Paused {
		return r, err
	}
	c := r.nextVersion()
	c.Paused, c.Reason = true, truncateReason(cmp.Or(reason, "the operator paused it"))
	return c, nil
}

// Resume continues a paused rollout. The new revision is judged anew, because the operator has
// overruled any verdict that caused the pause. If the rollout is not in progress, the error is of kind
// NotFound.
func (r *Record) Resume(number uint64) (*Record, error) {
	if err := r.requireActive(number); err != nil || !r.Paused {
		return r, err
	}
	c := r.nextVersion()
	c.Paused, c.Verified = false, false
	return c, nil
}

// Abort rolls a rollout back. A rollback can't be aborted: Abort does nothing then, and another rollout
// can start only after it. If the rollout is not in progress, the error is of kind NotFound.
func (r *Record) Abort(number uint64, reason string) (*Record, error) {
	if err := r.requireActive(number); err != nil || r.Phase == PhaseRollback {
		return r, err
	}
	c := r.nextVersion()
	c.rollBack(cmp.Or(reason, "the operator aborted it"))
	return c, nil
}

func (r *Record) requireActive(number uint64) error {
	if r.Active() && r.Number == number {
		return nil
	}
	return apierror.New(apierror.NotFound, "number", "see edgectl rollout status", "rollout %d is not under way; the newest is %d, %s", number, r.Number, r.Phase)
}

// Claim is a new lease holder's first write. Once it is committed, writes that an earlier holder has in
// flight are rejected. If the record has a newer term, the error is of kind Conflict.
func (r *Record) Claim(term uint64, holder string) (*Record, error) {
	switch {
	case r.Term > term:
		return nil, apierror.New(apierror.Conflict, "term", "take the lease again first", "term %d is over, %d has begun", term, r.Term)
	case r.Term == term && r.Holder == holder:
		return r, nil
	}
	c := r.nextVersion()
	c.Term, c.Holder = term, holder
	return c, nil
}
