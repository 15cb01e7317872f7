package store

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// A record whose sync failed is not kept for its caller; the next one is, after the file was read anew.
func TestFailedSyncIsAnError(t *testing.T) {
	t.Parallel()
	s, _, err := Open(t.TempDir())
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Put("name", []byte("1")))
	require.NoError(t, s.file.Close()) // the file's syncs fail, its writes go another way
	require.ErrorIs(t, s.Put("name", []byte("2")), os.ErrClosed)
	require.NoError(t, s.Put("name", []byte("3")))
	got, ok := s.Get("name")
	require.True(t, ok)
	require.Equal(t, "3", string(got))
}

// After a failed write the file is read anew, so that the next write is a good one.
func TestFailedWriteIsReadAnew(t *testing.T) {
	t.Parallel()
	s, _, err := Open(t.TempDir())
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Put("name", []byte("1")))
	require.NoError(t, s.db.Close())
	require.Error(t, s.Put("name", []byte("2")))
	require.NoError(t, s.Put("name", []byte("3")))
	got, ok := s.Get("name")
	require.True(t, ok)
	require.Equal(t, "3", string(got))
}
