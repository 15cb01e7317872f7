package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

func open(t *testing.T, dir string) (*Store, Report) {
	t.Helper()
	s, report, err := Open(dir)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s, report
}

// eventually waits for a condition that the store fulfills in the background, and fails with a message
// if that takes too long.
func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond, message)
}

// absent is what get returns for a name without a record.
const absent = "-"

func get(s *Store, key string) string {
	value, found := s.Get(key)
	if !found {
		return absent
	}
	return string(value)
}

// testFile returns the content of a state file with three records, and the offset of the last one.
func testFile(t *testing.T) (raw []byte, last int) {
	t.Helper()
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	require.NoError(t, s.Put("value", []byte("first")))
	info, err := os.Stat(filepath.Join(dir, FileName))
	require.NoError(t, err)
	require.NoError(t, s.Put("value", []byte("second\r\n*3\r\n$3\r\nset\r\n")))
	s.Close()
	raw, err = os.ReadFile(filepath.Join(dir, FileName))
	require.NoError(t, err)
	return raw, int(info.Size())
}

// dirWith returns a new directory that contains a state file with the given content.
func dirWith(t *testing.T, raw []byte) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, FileName), raw, 0o600))
	return dir
}

func TestRecordsSurviveReopening(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "here")
	s, _ := open(t, dir)
	require.Equal(t, absent, get(s, "a"))
	for i := range 10 {
		require.NoError(t, s.Put("a", []byte(fmt.Sprint("value\r\n", i))))
	}
	require.NoError(t, s.Put("b", nil))
	s.Close()
	require.ErrorIs(t, s.Put("a", nil), ErrClosed)
	s, report := open(t, dir)
	require.Equal(t, "value\r\n9", get(s, "a"))
	require.Equal(t, "", get(s, "b"))
	require.Equal(t, 11, report.Records)
	require.Zero(t, report.TornBytes)
	s.Close()
	report, err := Verify(dir)
	require.NoError(t, err)
	require.Equal(t, map[string]Entry{"a": {Number: 10, Bytes: 8}, "b": {Number: 11}}, report.Entries)
	value, found, err := Read(dir, "a")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, "value\r\n9", string(value))
}

func TestInMemory(t *testing.T) {
	s, _ := open(t, "")
	require.NoError(t, s.Put("a", []byte("1")))
	require.Equal(t, "1", get(s, "a"))
	intact, err := s.Scrub()
	require.NoError(t, err)
	require.True(t, intact)
}

// A missing record is nil and an empty one is not, for callers that ignore found.
func TestMissingRecordIsNil(t *testing.T) {
	t.Parallel()
	s, _ := open(t, t.TempDir())
	value, found := s.Get("missing")
	require.False(t, found)
	require.Nil(t, value)
	require.NoError(t, s.Put("empty", nil))
	value, found = s.Get("empty")
	require.True(t, found)
	require.NotNil(t, value)
}
