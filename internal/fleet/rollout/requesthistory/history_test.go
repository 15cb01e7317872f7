package requesthistory

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// transition is an event and its detail.
type transition struct {
	event  Event
	detail Detail
}

func TestUnrequestedChunksAndRevisionsAreRefused(t *testing.T) {
	h := resumable
	require.NoError(t, h.Apply(AttemptSent, Detail{Revision: 1}))
	require.NoError(t, h.Apply(ResponseStarted, Detail{Revision: 1}))
	require.NoError(t, h.Apply(ChunkForwarded, Detail{ID: 1}))
	require.ErrorIs(t, h.Apply(ChunkForwarded, Detail{ID: 3}), ErrChunkOutOfOrder)
	require.ErrorIs(t, h.Apply(ChunkForwarded, Detail{ID: 2, Revision: 2}), ErrChunkOtherRevision)
	require.NoError(t, h.Apply(AttemptFailed, Detail{}))
	require.NoError(t, h.Apply(AttemptSent, Detail{ID: 1, Revision: 1}))
	require.ErrorIs(t, h.Apply(ResponseStarted, Detail{Revision: 2}), ErrOtherRevision)
	require.NoError(t, h.Apply(ResponseStarted, Detail{}))
	require.NoError(t, h.Apply(ChunkForwarded, Detail{ID: 2, Revision: 1}))
	require.NoError(t, h.Apply(Completed, Detail{}))
}

func TestMigratedStreamIsResumed(t *testing.T) {
	h := History{Idempotent: true, Resumable: true}
	for _, next := range []transition{
		{AttemptSent, Detail{Revision: 1}},
		{AttemptNotRun, Detail{}},
		{AttemptSent, Detail{Revision: 1}},
		{ResponseStarted, Detail{Revision: 1}},
		{ChunkForwarded, Detail{ID: 1}},
		{ChunkForwarded, Detail{ID: 2}},
		{AttemptMigrated, Detail{}},
		{AttemptSent, Detail{ID: 2, Revision: 1}},
		{ResponseStarted, Detail{Revision: 1}},
		{ChunkForwarded, Detail{ID: 3}},
		{Completed, Detail{}},
	} {
		require.NoError(t, h.Apply(next.event, next.detail), "%v", next)
	}
	assert.True(t, h.Ended())
	assert.ErrorIs(t, h.Apply(AttemptSent, Detail{}), ErrEnded)
}

func TestClientThatResumesAStream(t *testing.T) {
	h := History{Idempotent: true, Resumable: true, ResumeAfter: 7}
	require.ErrorIs(t, h.Apply(AttemptSent, Detail{}), ErrWrongResumePoint)
	require.NoError(t, h.Apply(AttemptSent, Detail{ID: 7}))
	require.NoError(t, h.Apply(ResponseStarted, Detail{}))
	require.ErrorIs(t, h.Apply(ChunkForwarded, Detail{ID: 9}), ErrChunkOutOfOrder, "a chunk is missing")
	assert.NoError(t, h.Apply(ChunkForwarded, Detail{ID: 8}))
}

func TestRejectionPromisesThatNothingRan(t *testing.T) {
	var h History
	require.NoError(t, h.Apply(AttemptSent, Detail{}))
	require.ErrorIs(t, h.Apply(Rejected, Detail{}), ErrMayRun)
	require.NoError(t, h.Apply(AttemptNotRun, Detail{}))
	require.NoError(t, h.Apply(Rejected, Detail{}))

	h = History{}
	require.NoError(t, h.Apply(AttemptSent, Detail{}))
	require.NoError(t, h.Apply(AttemptFailed, Detail{}))
	require.ErrorIs(t, h.Apply(Rejected, Detail{}), ErrMayHaveRun)
	require.ErrorIs(t, h.Apply(AttemptSent, Detail{}), ErrRunsTwice)
	require.ErrorIs(t, h.Apply(eventCount+100, Detail{}), ErrUnknownEvent)
	require.NoError(t, h.Apply(Failed, Detail{}))
}

func TestRefusedTransitionNamesTheEvent(t *testing.T) {
	var h History
	err := h.Apply(Completed, Detail{})
	var refused *TransitionError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, Completed, refused.Event)
	assert.EqualError(t, err, "request: completed: no response has started")
}
