package store

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// folder is the files of a state directory as a loss of power leaves them.
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

// openFolder opens a store on the files of a folder.
func openFolder(t *testing.T, files folder) (*Store, Report, string) {
	t.Helper()
	dir := t.TempDir()
	for name, raw := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), raw, 0o600))
	}
	s, report := open(t, dir)
	return s, report, dir
}

// While a compaction has not synced the directory, the new file and its rename may each be kept or lost. All
// that was acknowledged is there in each case, and stays through the next loss of power.
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

// A damaged file is set aside by a rename, and a new one is made. Before the directory is synced each may be
// kept or lost; the store starts empty in each case, and a record that is put afterwards is there.
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
			require.Equal(t, absent, get(s, "value"), "what is damaged is not used")
			require.NoError(t, s.Put("value", []byte("v3")))
			s, report, _ := openFolder(t, readFolder(t, dir))
			require.False(t, report.Damaged)
			require.Equal(t, "v3", get(s, "value"))
		})
	}
}
