package chain_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// valueWithoutOlder is a value as versions of the software encode it that don't know Value.Older.
type valueWithoutOlder struct {
	Seq      uint64
	Revision int64
	Body     []byte
	Past     []chain.AppliedUpdate
}

// Values of the former format are readable, and a former version reads values of this one: it reads
// the fields that it knows and drops the older updates.
func TestFormatWithoutOlderUpdates(t *testing.T) {
	t.Parallel()
	value := applyUpdates(t, &chain.Value{}, 3*chain.MaxRecentUpdates)
	require.NotEmpty(t, value.Older)
	raw, err := msgpack.Marshal(value)
	require.NoError(t, err)
	var former valueWithoutOlder
	require.NoError(t, msgpack.Unmarshal(raw, &former))
	require.Len(t, former.Past, chain.MaxRecentUpdates)
	require.Equal(t, value.Seq, former.Seq)

	raw, err = msgpack.Marshal(former)
	require.NoError(t, err)
	var read chain.Value
	require.NoError(t, msgpack.Unmarshal(raw, &read))
	require.NoError(t, read.Validate())
	require.Equal(t, value.Checksum(), read.Checksum(), "replicas with and without the older updates are equal")
	require.Empty(t, read.Older)
	dropped := read.Recent[0].Revision - revisionStep
	_, result, _ := chain.Apply(&read, updateTo(dropped-revisionStep, dropped), parseRevision)
	require.Equal(t, chain.OutcomeUnknown, result.Outcome, "an update that was dropped is not rejected")

	read = *applyUpdates(t, &read, chain.MaxRecentUpdates+1)
	oldest := former.Past[0].Revision
	revision, applied := read.RevisionOf(updateTo(oldest-revisionStep, oldest).Digest())
	require.True(t, applied, "the history grows again")
	require.Equal(t, oldest, revision)
}

func TestValidateHistory(t *testing.T) {
	t.Parallel()
	value := *applyUpdates(t, &chain.Value{}, 2*chain.MaxRecentUpdates)
	require.NoError(t, value.Validate())
	for name, corrupt := range map[string]func(v *chain.Value){
		"truncated":        func(v *chain.Value) { v.Older = v.Older[:len(v.Older)-1] },
		"too many entries": func(v *chain.Value) { v.Older = bytes.Repeat(v.Older, 1+chain.MaxOlderUpdates/chain.MaxRecentUpdates) },
		"more than Seq":    func(v *chain.Value) { v.Seq = chain.MaxRecentUpdates },
		"not increasing":   func(v *chain.Value) { v.Older = append(bytes.Clone(v.Older[:8]), 0) },
		"below zero":       func(v *chain.Value) { v.Recent = v.Recent[:1]; v.Recent[0].Revision = 1 },
		"without the last": func(v *chain.Value) { v.Recent = nil },
		"too many recent": func(v *chain.Value) {
			v.Recent = append(v.Recent[:chain.MaxRecentUpdates:chain.MaxRecentUpdates], v.Recent[0])
		},
	} {
		corrupted := value
		corrupted.Recent = append([]chain.AppliedUpdate(nil), value.Recent...)
		corrupt(&corrupted)
		require.Error(t, corrupted.Validate(), name)
	}
}
