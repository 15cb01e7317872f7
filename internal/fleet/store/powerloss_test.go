package store

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// folder holds the content of the files in a state directory by name.
type folder map[string][]byte

func readFolder(t *testing.T, dir string) folder {
	t.Helper()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	files := folder{}
	for _, entry := range entries {
		files[entry.Name()], err = os.ReadFile(filepath.Join(dir, entry.Name()))
		require.NoError(t, err)
	}
	return files
}

// openFolder copies the files of a folder to a new directory, and opens a store there.
func openFolder(t *testing.T, files folder) (*Store, Report, string) {
	t.Helper()
	dir := t.TempDir()
	for name, raw := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), raw, 0o600))
	}
	s, report := open(t, dir)
	return s, report, dir
}

// Until a compaction has synced the directory, a power loss may undo the creation of the new file and its
// rename independently. In each case every acknowledged record is there, also after another power loss.
func TestLostChangesOfACompaction(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	require.NoError(t, s.Put("value", []byte("v1")))
	require.NoError(t, s.Put("value", []byte("v2")))
	before := readFolder(t, dir)[FileName]
	require.NoError(t, s.query(s.compact))
	after := readFolder(t, dir)[FileName]
	require.NotEqual(t, before, after)
	for name, left := range map[string]folder{
		"both lost":                       {FileName: before},
		"the rename lost":                 {FileName: before, compactFileName: after},
		"the rename lost, the file torn":  {FileName: before, compactFileName: after[:len(after)/2]},
		"the rename lost, the file empty": {FileName: before, compactFileName: nil},
		"both kept":                       {FileName: after},
		"both names kept":                 {FileName: after, compactFileName: after},
	} {
		t.Run(name, func(t *testing.T) {
			s, report, dir := openFolder(t, left)
			require.False(t, report.Damaged)
			require.Equal(t, "x1", get(s, "id"))
			require.Equal(t, "v2", get(s, "value"))
			require.NoError(t, s.Put("value", []byte("v3")))
			s, report, _ = openFolder(t, readFolder(t, dir))
			require.False(t, report.Damaged)
			require.Equal(t, "x1", get(s, "id"))
			require.Equal(t, "v3", get(s, "value"))
		})
	}
}

// A damaged file is renamed, and a new file is created. Until the directory is synced, a power loss may undo
// either. In each case the store starts empty, and records that are written afterwards persist.
func TestLostChangesOfADamagedFile(t *testing.T) {
	raw, _ := testFile(t)
	damaged := bytes.Clone(raw)
	damaged[30] ^= 0xff
	for name, left := range map[string]folder{
		"both lost":         {FileName: damaged},
		"the new file lost": {damagedFileName: damaged},
		"both kept":         {damagedFileName: damaged, FileName: nil},
		"both names kept":   {damagedFileName: damaged, FileName: damaged},
		"all lost":          {},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, dir := openFolder(t, left)
			require.Equal(t, absent, get(s, "value"), "records of a damaged file are not used")
			require.NoError(t, s.Put("value", []byte("v3")))
			s, report, _ := openFolder(t, readFolder(t, dir))
			require.False(t, report.Damaged)
			require.Equal(t, "v3", get(s, "value"))
		})
	}
}
