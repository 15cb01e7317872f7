package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[Report](t, goldentest.JSON, "report")
	goldentest.Output[Health](t, goldentest.JSON, "health")
}

// TestGoldenFile checks that the store writes the same file as an earlier version did, and that it can
// read the file of the earlier version.
func TestGoldenFile(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("first", []byte("value\r\n1")))
	require.NoError(t, s.Put("second", nil))
	require.NoError(t, s.Put("first", []byte{0, 1, 2, 255}))
	s.Close()
	written, err := os.ReadFile(filepath.Join(dir, FileName))
	require.NoError(t, err)
	golden := goldentest.File(t, "records.aof", written)

	dir = t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, FileName), golden, 0o600))
	report, err := Verify(dir)
	require.NoError(t, err)
	require.Equal(t, 3, report.Records)
	require.False(t, report.Damaged)
	value, found, err := Read(dir, "first")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, []byte{0, 1, 2, 255}, value)
}
