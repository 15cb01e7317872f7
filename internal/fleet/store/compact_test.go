package store

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Open ignores and removes the incomplete file that an interrupted compaction leaves behind.
func TestLeftoverOfCompactionIsIgnored(t *testing.T) {
	raw, _ := testFile(t)
	dir := dirWith(t, raw)
	require.NoError(t, os.WriteFile(filepath.Join(dir, compactFileName), raw[:20], 0o600))
	s, report := open(t, dir)
	require.False(t, report.Damaged)
	require.True(t, strings.HasPrefix(get(s, "value"), "second"))
	require.NoFileExists(t, filepath.Join(dir, compactFileName))
}

func TestFileIsBounded(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	value := bytes.Repeat([]byte("0123456789"), 10_000)
	largest := int64(0)
	require.NoError(t, s.Put("id", []byte("x1")))
	for i := range 60 {
		value[0] = byte(i)
		require.NoError(t, s.Put("value", value))
		info, err := os.Stat(filepath.Join(dir, FileName))
		require.NoError(t, err)
		largest = max(largest, info.Size())
	}
	require.Less(t, largest, int64(2*(compactionSlack+5*len(value))))
	s.Close()
	s, report := open(t, dir)
	require.Equal(t, string(value), get(s, "value"))
	require.Equal(t, "x1", get(s, "id"))
	require.False(t, report.Damaged)
}

func TestScrubRepairs(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	require.NoError(t, s.Put("value", []byte("v1")))
	intact, err := s.Scrub()
	require.NoError(t, err)
	require.True(t, intact)
	file, err := os.OpenFile(filepath.Join(dir, FileName), os.O_RDWR, 0)
	require.NoError(t, err)
	_, err = file.WriteAt([]byte{0xff}, 30)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	intact, err = s.Scrub()
	require.NoError(t, err)
	require.False(t, intact)
	intact, err = s.Scrub()
	require.NoError(t, err)
	require.True(t, intact)
	require.NoError(t, s.Put("value", []byte("v2")))
	s.Close()
	s, report := open(t, dir)
	require.False(t, report.Damaged)
	require.Equal(t, "v2", get(s, "value"))
	require.Equal(t, "x1", get(s, "id"))
}

func TestFullDiskWhileCompacting(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	large := bytes.Repeat([]byte("x"), 100_000)
	for range 9 {
		require.NoError(t, s.Put("value", large))
	}
	// A directory in place of the new file makes the compaction fail, while records can still be written.
	require.NoError(t, os.Mkdir(filepath.Join(dir, compactFileName), 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(dir, compactFileName, "in the way"), nil, 0o600))
	require.NoError(t, s.Put("value", large))
	eventually(t, "the compaction did not fail", func() bool { return s.Health(time.Now()).Err != nil })
	require.Zero(t, s.Health(time.Now()).FailingFor, "the write of the record succeeded")
	require.NoError(t, s.Put("value", []byte("small")))
	require.NoError(t, os.RemoveAll(filepath.Join(dir, compactFileName)))
	require.NoError(t, s.Put("value", []byte("last")))
	eventually(t, "the file was not compacted", func() bool {
		info, err := os.Stat(filepath.Join(dir, FileName))
		return err == nil && info.Size() < compactionSlack && s.Health(time.Now()).Err == nil
	})
	s.Close()
	s, _ = open(t, dir)
	require.Equal(t, "last", get(s, "value"))
}
