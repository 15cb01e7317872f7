package chain_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// valueWithoutOlder has the format of values in software versions that don't know Value.Older.
type valueWithoutOlder struct {
	Seq      uint64
	Revision int64
	Body     []byte
	Past     []chain.AppliedUpdate
}

// Values with and without Older are readable by this version and by versions that don't know Older. Those
// versions drop the older updates.
func TestFormatWithoutOlderUpdates(t *testing.T) {
	t.Parallel()
	value := applyUpdates(t, &chain.Value{}, 3*chain.MaxRecentUpdates)
	require.NotEmpty(t, value.Older)
	raw, err := msgpack.Marshal(value)
	require.NoError(t, err)
	var formerValue valueWithoutOlder
	require.NoError(t, msgpack.Unmarshal(raw, &formerValue))
	require.Len(t, formerValue.Past, chain.MaxRecentUpdates)
	require.Equal(t, value.Seq, formerValue.Seq)

	raw, err = msgpack.Marshal(formerValue)
	require.NoError(t, err)
	var decoded chain.Value
	require.NoError(t, msgpack.Unmarshal(raw, &decoded))
	require.NoError(t, decoded.Validate())
	require.Equal(t, value.Checksum(), decoded.Checksum(), "the checksum is the same without the older updates")
	require.Empty(t, decoded.Older)
	droppedRevision := decoded.Recent[0].Revision - revisionStep
	_, result, _ := chain.Apply(&decoded, updateTo(droppedRevision-revisionStep, droppedRevision), parseRevision)
	require.Equal(t, chain.OutcomeUnknown, result.Outcome, "a dropped update is not rejected")

	decoded = *applyUpdates(t, &decoded, chain.MaxRecentUpdates+1)
	oldestRevision := formerValue.Past[0].Revision
	revision, applied := decoded.RevisionOf(updateTo(oldestRevision-revisionStep, oldestRevision).Digest())
	require.True(t, applied, "the history of older updates grows again")
	require.Equal(t, oldestRevision, revision)
}

func TestValidateHistory(t *testing.T) {
	t.Parallel()
	value := *applyUpdates(t, &chain.Value{}, 2*chain.MaxRecentUpdates)
	require.NoError(t, value.Validate())
	for name, corrupt := range map[string]func(v *chain.Value){
		"truncated": func(v *chain.Value) { v.Older = v.Older[:len(v.Older)-1] },
		"too many entries": func(v *chain.Value) {
			v.Older = bytes.Repeat(v.Older, 1+chain.MaxOlderUpdates/chain.MaxRecentUpdates)
		},
		"more updates than Seq":      func(v *chain.Value) { v.Seq = chain.MaxRecentUpdates },
		"revision does not increase": func(v *chain.Value) { v.Older = append(bytes.Clone(v.Older[:8]), 0) },
		"revision below zero":        func(v *chain.Value) { v.Recent = v.Recent[:1]; v.Recent[0].Revision = 1 },
		"no recent updates":          func(v *chain.Value) { v.Recent = nil },
		"too many recent updates": func(v *chain.Value) {
			v.Recent = append(v.Recent[:chain.MaxRecentUpdates:chain.MaxRecentUpdates], v.Recent[0])
		},
	} {
		corrupted := value
		corrupted.Recent = append([]chain.AppliedUpdate(nil), value.Recent...)
		corrupt(&corrupted)
		require.Error(t, corrupted.Validate(), name)
	}
}
