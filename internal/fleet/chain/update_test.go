package chain_test

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// revisionStep is the difference between the revisions of successive updates in applyUpdates.
const revisionStep = 10

// updateTo returns an update that leads to a revision.
func updateTo(ifMatch, revision int64) *chain.Update {
	return &chain.Update{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
}

// applyUpdates returns the value after n further updates.
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

// A client may retry a committed update because the answer was lost. The retry is never rejected, even
// after any number of later updates.
func TestRetriedUpdateIsNeverRejected(t *testing.T) {
	t.Parallel()
	const maxRecorded = chain.MaxRecentUpdates + chain.MaxOlderUpdates
	value := &chain.Value{}
	for n := range 2 * maxRecorded {
		value = applyUpdates(t, value, 1)
		for _, age := range []int{
			0, 1, chain.MaxRecentUpdates - 1, chain.MaxRecentUpdates, maxRecorded - 1, maxRecorded, n,
		} {
			if age > n {
				continue
			}
			revision := value.Revision - revisionStep*int64(age)
			next, result, final := chain.Apply(value, updateTo(revision-revisionStep, revision), parseRevision)
			require.True(t, final)
			require.Nil(t, next)
			if age < maxRecorded {
				require.Equal(t, chain.Result{Outcome: chain.OutcomeCommitted, Revision: revision}, result,
					"after %d later updates", age)
				continue
			}
			require.Equal(t, chain.OutcomeUnknown, result.Outcome, "after %d later updates", age)
			require.True(t, result.Final)
			require.Contains(t, result.Reason, "read the configuration")
		}
	}
}

// An update that was never committed is rejected as long as the recorded history shows that.
func TestConflictWithinRecordedHistory(t *testing.T) {
	t.Parallel()
	value := applyUpdates(t, &chain.Value{}, 5)
	_, result, _ := chain.Apply(value, updateTo(0, 7), parseRevision)
	require.Equal(t, chain.Result{Outcome: chain.OutcomeConflict, Revision: 50}, result, "all updates are recorded")

	const maxRecorded = chain.MaxRecentUpdates + chain.MaxOlderUpdates
	value = applyUpdates(t, value, maxRecorded)
	// The revision that the oldest recorded update led to.
	oldestRevision := value.Revision - revisionStep*int64(maxRecorded-1)
	for ifMatch, want := range map[int64]chain.Outcome{
		oldestRevision - revisionStep: chain.OutcomeUnknown,
		oldestRevision - 1:            chain.OutcomeUnknown,
		oldestRevision:                chain.OutcomeConflict,
		oldestRevision + revisionStep: chain.OutcomeConflict,
		value.Revision - 1:            chain.OutcomeConflict,
		value.Revision + 1:            chain.OutcomeConflict,
	} {
		_, result, _ := chain.Apply(value, updateTo(ifMatch, value.Revision+99), parseRevision)
		require.Equal(t, want, result.Outcome, "an update of revision %d at revision %d", ifMatch, value.Revision)
	}
}

// Updates with the same bytes, revision and method have the same digest. A difference in any of them
// changes the digest.
func TestDigestIdentifiesUpdate(t *testing.T) {
	t.Parallel()
	update := chain.Update{IfMatch: 3, Body: []byte(`{"revision":4,"a":1}`)}
	require.Equal(t, update.Digest(), (&chain.Update{IfMatch: 3, Body: bytes.Clone(update.Body)}).Digest())
	for name, otherUpdate := range map[string]chain.Update{
		"another method":   {Patch: true, IfMatch: 3, Body: update.Body},
		"another revision": {IfMatch: 4, Body: update.Body},
		"white space":      {IfMatch: 3, Body: []byte(`{"revision":4, "a":1}`)},
		"order of keys":    {IfMatch: 3, Body: []byte(`{"a":1,"revision":4}`)},
		"another value":    {IfMatch: 3, Body: []byte(`{"revision":4,"a":2}`)},
	} {
		require.NotEqual(t, update.Digest(), otherUpdate.Digest(), name)
	}
}

// Once an update of a revision is committed, a retry of it is acknowledged again. Another update of that
// revision is rejected, also if only the bytes or the method differ.
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
			{"the same update", chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20")}, chain.OutcomeCommitted},
			{"other bytes", chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20 ")}, chain.OutcomeConflict},
			{"the other method", chain.Update{Patch: !patch, IfMatch: 10, Body: []byte("20")}, chain.OutcomeConflict},
			{
				"the same body on the newest revision", chain.Update{Patch: patch, IfMatch: 20, Body: []byte("20")},
				chain.OutcomeInvalid,
			},
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
