package store

import (
	"bytes"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A record whose sync failed is not acknowledged. The next one is, after the file was loaded again.
func TestFailedSyncIsReported(t *testing.T) {
	t.Parallel()
	s, _ := open(t, t.TempDir())
	require.NoError(t, s.Put("name", []byte("1")))
	require.NoError(t, s.file.Close()) // its syncs fail; the writes use another descriptor
	require.ErrorIs(t, s.Put("name", []byte("2")), os.ErrClosed)
	require.NoError(t, s.Put("name", []byte("3")))
	value, found := s.Get("name")
	require.True(t, found)
	require.Equal(t, "3", string(value))
}

// After a failed write the file is loaded again, so that the next write succeeds.
func TestFileIsReloadedAfterFailedWrite(t *testing.T) {
	t.Parallel()
	s, _ := open(t, t.TempDir())
	require.NoError(t, s.Put("name", []byte("1")))
	require.NoError(t, s.db.Close())
	require.Error(t, s.Put("name", []byte("2")))
	require.NoError(t, s.Put("name", []byte("3")))
	value, found := s.Get("name")
	require.True(t, found)
	require.Equal(t, "3", string(value))
}

// withFileSizeLimit limits the size of files during a call, as a full disk does.
func withFileSizeLimit(t *testing.T, size uint64, call func()) {
	t.Helper()
	var before syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before))
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: before.Max}))
	defer func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)) }()
	call()
}

// TestFullDisk runs in its own process, since the limit applies to all files of a process.
func TestFullDisk(t *testing.T) {
	const env = "STORE_TEST_FULL_DISK"
	if os.Getenv(env) == "" {
		command := exec.Command(os.Args[0], "-test.run=^TestFullDisk$", "-test.v")
		command.Env = append(os.Environ(), env+"=1")
		output, err := command.CombinedOutput()
		require.NoError(t, err, "%s", output)
		return
	}
	for space := range 40 {
		testFullDisk(t, int64(space))
	}
}

// testFullDisk fills a disk that has space for a few more bytes.
func testFullDisk(t *testing.T, space int64) {
	t.Helper()
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	require.NoError(t, s.Put("value", []byte("v1")))
	info, err := os.Stat(filepath.Join(dir, fileName))
	require.NoError(t, err)
	withFileSizeLimit(t, uint64(info.Size()+space), func() {
		require.Error(t, s.Put("value", bytes.Repeat([]byte("v"), 50)))
		require.Error(t, s.Probe())
	})
	require.Positive(t, s.Health(time.Now()).FailingFor)
	require.Error(t, s.Health(time.Now()).Err)
	require.NoError(t, s.Put("more", []byte("m1")))
	require.Zero(t, s.Health(time.Now()).FailingFor)
	s.Close()
	s, report := open(t, dir)
	require.False(t, report.Damaged)
	require.Zero(t, report.TornBytes)
	require.Equal(t, "v1", get(s, "value"))
	require.Equal(t, "m1", get(s, "more"))
}
