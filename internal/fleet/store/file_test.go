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

// A record whose sync failed is not acknowledged. The next one is, because the file is loaded again before it.
func TestFailedSyncIsReported(t *testing.T) {
	t.Parallel()
	s, _ := open(t, t.TempDir())
	require.NoError(t, s.Put("name", []byte("1")))
	require.NoError(t, s.file.Close()) // makes syncs fail; writes use another descriptor
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

func TestFullDisk(t *testing.T) {
	if !inOwnProcess(t) {
		return
	}
	for space := range 40 {
		testFullDisk(t, int64(space))
	}
}

// testFullDisk writes more than the given space, in bytes, that is left on the disk. The records must
// survive, and writes must succeed again once there is more space.
func testFullDisk(t *testing.T, space int64) {
	t.Helper()
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	require.NoError(t, s.Put("value", []byte("v1")))
	info, err := os.Stat(filepath.Join(dir, FileName))
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

// inOwnProcess runs the test again in a child process, since the limit on file sizes applies to all files
// of a process. It returns true in the child process, which has to make the checks, and false in the parent.
func inOwnProcess(t *testing.T) bool {
	t.Helper()
	const env = "STORE_TEST_OWN_PROCESS"
	if os.Getenv(env) != "" {
		return true
	}
	command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	command.Env = append(os.Environ(), env+"=1")
	output, err := command.CombinedOutput()
	require.NoError(t, err, "%s", output)
	return false
}

// A store that is opened on a full disk has its records, and reports that writes fail. Writes succeed again
// once there is space. The same holds when the disk fills up later.
func TestStartOnAFullDisk(t *testing.T) {
	if !inOwnProcess(t) {
		return
	}
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("value", []byte("v1")))
	s.Close()
	withFileSizeLimit(t, 0, func() {
		s, _ = open(t, dir)
		require.Equal(t, "v1", get(s, "value"))
		require.Error(t, s.Put("value", []byte("v2")))
		require.Positive(t, s.Health(time.Now()).FailingFor)
		require.Equal(t, "v1", get(s, "value"), "a failed write is not visible")
	})
	require.NoError(t, s.Put("value", []byte("v3")))
	require.Zero(t, s.Health(time.Now()).FailingFor)
	withFileSizeLimit(t, 0, func() {
		require.Error(t, s.Put("value", []byte("v4")))
		require.Error(t, s.Probe())
		require.Equal(t, "v3", get(s, "value"))
	})
	s.Close() // like a power loss right after the write: nothing else is synced
	s, report := open(t, dir)
	require.False(t, report.Damaged)
	require.Equal(t, "v3", get(s, "value"))
}

// If the disk is full at the first start, the store has no records until there is space.
func TestFirstStartOnAFullDisk(t *testing.T) {
	if !inOwnProcess(t) {
		return
	}
	dir := filepath.Join(t.TempDir(), "new")
	var s *Store
	withFileSizeLimit(t, 0, func() {
		s, _ = open(t, dir)
		require.Error(t, s.Put("id", []byte("x1")))
		_, found := s.Get("id")
		require.False(t, found)
	})
	require.NoError(t, s.Put("id", []byte("x2")))
	s.Close()
	s, _ = open(t, dir)
	require.Equal(t, "x2", get(s, "id"))
}
