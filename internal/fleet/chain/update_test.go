package chain_test

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// revisionStep is how much higher the revision of each update of applyUpdates is.
const revisionStep = 10

// updateTo is an update that leads to a revision.
func updateTo(ifMatch, revision int64) *chain.Update {
	return &chain.Update{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
}

// applyUpdates commits n updates.
func applyUpdates(t *testing.T, value *chain.Value, n int) *chain.Value {
	t.Helper()
	for range n {
		next, result, final := chain.Apply(value, updateTo(value.Revision, value.Revision+revisionStep), parseRevision)
		require.False(t, final)
		require.Equal(t, chain.OutcomeCommitted, result.Outcome)
		require.NoError(t, next.Validate())
		value = next
	}
	return value
}

// An update that was committed and whose answer was lost is never rejected, however many came since.
func TestRetriedUpdateIsNeverRejected(t *testing.T) {
	t.Parallel()
	const recorded = chain.MaxRecentUpdates + chain.MaxOlderUpdates
	value := &chain.Value{}
	for n := range 2 * recorded {
		value = applyUpdates(t, value, 1)
		for _, age := range []int{0, 1, chain.MaxRecentUpdates - 1, chain.MaxRecentUpdates, recorded - 1, recorded, n} {
			if age > n {
				continue
			}
			revision := value.Revision - revisionStep*int64(age)
			next, result, final := chain.Apply(value, updateTo(revision-revisionStep, revision), parseRevision)
			require.True(t, final)
			require.Nil(t, next)
			if age < recorded {
				require.Equal(t, chain.Result{Outcome: chain.OutcomeCommitted, Revision: revision}, result, "%d updates since", age)
				continue
			}
			require.Equal(t, chain.OutcomeUnknown, result.Outcome, "%d updates since", age)
			require.True(t, result.Final)
			require.Contains(t, result.Reason, "read the configuration")
		}
	}
}

// An update that was never committed is rejected as long as the history can tell.
func TestConflictWithinRecordedHistory(t *testing.T) {
	t.Parallel()
	value := applyUpdates(t, &chain.Value{}, 5)
	_, result, _ := chain.Apply(value, updateTo(0, 7), parseRevision)
	require.Equal(t, chain.Result{Outcome: chain.OutcomeConflict, Revision: 50}, result, "all updates are recorded")

	const recorded = chain.MaxRecentUpdates + chain.MaxOlderUpdates
	value = applyUpdates(t, value, recorded)
	oldest := value.Revision - revisionStep*int64(recorded-1) // what the oldest recorded update led to
	for ifMatch, want := range map[int64]chain.Outcome{
		oldest - revisionStep: chain.OutcomeUnknown,
		oldest - 1:            chain.OutcomeUnknown,
		oldest:                chain.OutcomeConflict,
		oldest + revisionStep: chain.OutcomeConflict,
		value.Revision - 1:    chain.OutcomeConflict,
		value.Revision + 1:    chain.OutcomeConflict,
	} {
		_, result, _ := chain.Apply(value, updateTo(ifMatch, value.Revision+99), parseRevision)
		require.Equal(t, want, result.Outcome, "of revision %d at %d", ifMatch, value.Revision)
	}
}

// The same update has the same bytes, the same revision and the same method.
func TestDigestIdentifiesUpdate(t *testing.T) {
	t.Parallel()
	first := chain.Update{IfMatch: 3, Body: []byte(`{"revision":4,"a":1}`)}
	require.Equal(t, first.Digest(), (&chain.Update{IfMatch: 3, Body: bytes.Clone(first.Body)}).Digest())
	for name, other := range map[string]chain.Update{
		"another method":   {Patch: true, IfMatch: 3, Body: first.Body},
		"another revision": {IfMatch: 4, Body: first.Body},
		"white space":      {IfMatch: 3, Body: []byte(`{"revision":4, "a":1}`)},
		"order of keys":    {IfMatch: 3, Body: []byte(`{"a":1,"revision":4}`)},
		"another value":    {IfMatch: 3, Body: []byte(`{"revision":4,"a":2}`)},
	} {
		require.NotEqual(t, first.Digest(), other.Digest(), name)
	}
}

// Of two updates of one revision, the one with other bytes or another method is rejected, and the
// same one is acknowledged again.
func TestUpdatesOfOneRevision(t *testing.T) {
	t.Parallel()
	toRevision20 := func(_ []byte, update *chain.Update) ([]byte, int64, error) { return update.Body, 20, nil }
	for _, patch := range []bool{false, true} {
		value := applyUpdates(t, &chain.Value{}, 1)
		update := &chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20")}
		next, _, final := chain.Apply(value, update, toRevision20)
		require.False(t, final)
		for _, c := range []struct {
			name   string
			update chain.Update
			want   chain.Outcome
		}{
			{"the same", chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20")}, chain.OutcomeCommitted},
			{"other bytes", chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20 ")}, chain.OutcomeConflict},
			{"the other method", chain.Update{Patch: !patch, IfMatch: 10, Body: []byte("20")}, chain.OutcomeConflict},
			{"the same of the newest revision", chain.Update{Patch: patch, IfMatch: 20, Body: []byte("20")}, chain.OutcomeInvalid},
		} {
			_, result, final := chain.Apply(next, &c.update, toRevision20)
			require.True(t, final)
			require.Equal(t, c.want, result.Outcome, c.name)
			require.EqualValues(t, 20, result.Revision, c.name)
		}
	}
}

func TestOutcomeNames(t *testing.T) {
	t.Parallel()
	for outcome, want := range map[chain.Outcome]string{
		chain.OutcomeUnknown:   "unknown",
		chain.OutcomeCommitted: "committed",
		chain.OutcomeConflict:  "conflict",
		chain.OutcomeInvalid:   "invalid",
	} {
		require.Equal(t, want, outcome.String())
	}
}
