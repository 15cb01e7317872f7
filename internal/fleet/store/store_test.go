package store

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

func open(t *testing.T, dir string) (*Store, Report) {
	t.Helper()
	s, rep, err := Open(dir)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s, rep
}

// settled waits for what the store does while nobody waits for it.
func settled(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 10*time.Second, time.Millisecond, what)
}

func get(s *Store, key string) string {
	v, ok := s.Get(key)
	if !ok {
		return "-"
	}
	return string(v)
}

func TestRecordsOutliveTheProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "here")
	s, _ := open(t, dir)
	require.Equal(t, "-", get(s, "a"))
	for i := range 10 {
		require.NoError(t, s.Put("a", []byte(fmt.Sprint("value\r\n", i))))
	}
	require.NoError(t, s.Put("b", nil))
	s.Close()
	require.ErrorIs(t, s.Put("a", nil), ErrClosed)
	s, rep := open(t, dir)
	require.Equal(t, "value\r\n9", get(s, "a"))
	require.Equal(t, "", get(s, "b"))
	require.Equal(t, 11, rep.Records)
	require.Zero(t, rep.TornBytes)
	s.Close()
	rep, err := Verify(dir)
	require.NoError(t, err)
	require.Equal(t, map[string]Entry{"a": {Number: 10, Bytes: 8}, "b": {Number: 11}}, rep.Entries)
	v, ok, err := Read(dir, "a")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, "value\r\n9", string(v))
}

func TestInMemory(t *testing.T) {
	s, _ := open(t, "")
	require.NoError(t, s.Put("a", []byte("1")))
	require.Equal(t, "1", get(s, "a"))
	whole, err := s.Scrub()
	require.NoError(t, err)
	require.True(t, whole)
}

// filled is the file of a store that was written to, and where its last record begins.
func filled(t *testing.T) (raw []byte, last int) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	require.NoError(t, s.Put("value", []byte("first")))
	info, err := os.Stat(filepath.Join(dir, fileName))
	require.NoError(t, err)
	require.NoError(t, s.Put("value", []byte("second\r\n*3\r\n$3\r\nset\r\n")))
	s.Close()
	raw, err = os.ReadFile(filepath.Join(dir, fileName))
	require.NoError(t, err)
	return raw, int(info.Size())
}

func write(t *testing.T, raw []byte) string {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName), raw, 0o600))
	return dir
}

// The last write may be there up to any byte, with zeros or anything else behind.
func TestTornTailIsCut(t *testing.T) {
	raw, last := filled(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for cut := last; cut < len(raw); cut++ {
		noise := make([]byte, len(raw)-cut)
		for i := range noise {
			noise[i] = byte(rng.Uint32())
		}
		for name, tail := range map[string][]byte{"absent": nil, "zeros": make([]byte, len(raw)-cut), "noise": noise} {
			if bytes.Equal(tail, raw[cut:]) || name == "noise" && cut%4 != 0 {
				continue
			}
			dir := write(t, append(raw[:cut:cut], tail...))
			s, rep := open(t, dir)
			require.False(t, rep.Damaged, "%s from %d", name, cut)
			require.Equal(t, "first", get(s, "value"), "%s from %d", name, cut)
			require.NoError(t, s.Put("value", []byte("third")))
			s.Close()
			s, rep = open(t, dir)
			require.Zero(t, rep.TornBytes)
			require.Equal(t, "third", get(s, "value"))
			require.Equal(t, "x1", get(s, "id"))
			s.Close()
		}
	}
}

func TestDamagedMiddleIsSetAside(t *testing.T) {
	raw, last := filled(t)
	for at := range last {
		bad := bytes.Clone(raw)
		bad[at] ^= 0x40
		dir := write(t, bad)
		s, rep := open(t, dir)
		require.True(t, rep.Damaged, "byte %d", at)
		require.Equal(t, "-", get(s, "id"), "byte %d", at)
		require.NoError(t, s.Put("id", []byte("x2")))
		s.Close()
		kept, err := os.ReadFile(filepath.Join(dir, damagedName))
		require.NoError(t, err)
		require.Equal(t, bad, kept)
		rep, err = Verify(dir)
		require.NoError(t, err)
		require.True(t, rep.SetAside)
		require.False(t, rep.Damaged)
	}
	t.Run("missing", func(t *testing.T) {
		dir := write(t, append(raw[:10:10], raw[last:]...))
		_, rep := open(t, dir)
		require.True(t, rep.Damaged)
	})
	t.Run("too long", func(t *testing.T) {
		dir := write(t, nil)
		require.NoError(t, os.Truncate(filepath.Join(dir, fileName), MaxFile+1))
		s, rep := open(t, dir)
		require.True(t, rep.Damaged)
		require.NoError(t, s.Put("id", nil))
	})
}

// A rewriting may be cut short at any of its steps.
func TestLeftoverOfRewritingIsIgnored(t *testing.T) {
	raw, _ := filled(t)
	dir := write(t, raw)
	require.NoError(t, os.WriteFile(filepath.Join(dir, newName), raw[:20], 0o600))
	s, rep := open(t, dir)
	require.False(t, rep.Damaged)
	require.True(t, strings.HasPrefix(get(s, "value"), "second"))
	require.NoFileExists(t, filepath.Join(dir, newName))
}

func TestFileIsBounded(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	big := bytes.Repeat([]byte("0123456789"), 10_000)
	most := int64(0)
	require.NoError(t, s.Put("id", []byte("x1")))
	for i := range 60 {
		big[0] = byte(i)
		require.NoError(t, s.Put("value", big))
		info, err := os.Stat(filepath.Join(dir, fileName))
		require.NoError(t, err)
		most = max(most, info.Size())
	}
	require.Less(t, most, int64(2*(slack+5*len(big))))
	s.Close()
	s, rep := open(t, dir)
	require.Equal(t, string(big), get(s, "value"))
	require.Equal(t, "x1", get(s, "id"))
	require.False(t, rep.Damaged)
}

func TestSweepRepairs(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	require.NoError(t, s.Put("value", []byte("v1")))
	whole, err := s.Scrub()
	require.NoError(t, err)
	require.True(t, whole)
	f, err := os.OpenFile(filepath.Join(dir, fileName), os.O_RDWR, 0)
	require.NoError(t, err)
	_, err = f.WriteAt([]byte{0xff}, 30)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	whole, err = s.Scrub()
	require.NoError(t, err)
	require.False(t, whole)
	whole, err = s.Scrub()
	require.NoError(t, err)
	require.True(t, whole)
	require.NoError(t, s.Put("value", []byte("v2")))
	s.Close()
	s, rep := open(t, dir)
	require.False(t, rep.Damaged)
	require.Equal(t, "v2", get(s, "value"))
	require.Equal(t, "x1", get(s, "id"))
}

// full bounds the size of files for the time of a call, as a full disk does.
func full(t *testing.T, size uint64, do func()) {
	var was syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_FSIZE, &was))
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: was.Max}))
	defer func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &was)) }()
	do()
}

// TestFullDisk runs in a process of its own, as the bound holds for all files of a process.
func TestFullDisk(t *testing.T) {
	const env = "STORE_TEST_FULL_DISK"
	if os.Getenv(env) == "" {
		c := exec.Command(os.Args[0], "-test.run=^TestFullDisk$", "-test.v")
		c.Env = append(os.Environ(), env+"=1")
		out, err := c.CombinedOutput()
		require.NoError(t, err, "%s", out)
		return
	}
	for room := range 40 {
		dir := t.TempDir()
		s, _ := open(t, dir)
		require.NoError(t, s.Put("id", []byte("x1")))
		require.NoError(t, s.Put("value", []byte("v1")))
		info, err := os.Stat(filepath.Join(dir, fileName))
		require.NoError(t, err)
		full(t, uint64(info.Size()+int64(room)), func() {
			require.Error(t, s.Put("value", bytes.Repeat([]byte("v"), 50)))
			require.Error(t, s.Probe())
		})
		require.Positive(t, s.Health(time.Now()).FailingFor)
		require.Error(t, s.Health(time.Now()).Err)
		require.NoError(t, s.Put("more", []byte("m1")))
		require.Zero(t, s.Health(time.Now()).FailingFor)
		s.Close()
		s, rep := open(t, dir)
		require.False(t, rep.Damaged)
		require.Zero(t, rep.TornBytes)
		require.Equal(t, "v1", get(s, "value"))
		require.Equal(t, "m1", get(s, "more"))
	}
}

func TestFullDiskWhileRewriting(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	require.NoError(t, s.Put("id", []byte("x1")))
	big := bytes.Repeat([]byte("x"), 100_000)
	for range 9 {
		require.NoError(t, s.Put("value", big))
	}
	// The file has room for one more record and no second file beside it.
	require.NoError(t, os.Mkdir(filepath.Join(dir, newName), 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(dir, newName, "in the way"), nil, 0o600))
	require.NoError(t, s.Put("value", big))
	settled(t, "the rewriting fails", func() bool { return s.Health(time.Now()).Err != nil })
	require.Zero(t, s.Health(time.Now()).FailingFor, "the record itself is safe")
	require.NoError(t, s.Put("value", []byte("small")))
	require.NoError(t, os.RemoveAll(filepath.Join(dir, newName)))
	require.NoError(t, s.Put("value", []byte("last")))
	settled(t, "the file is short again", func() bool {
		info, err := os.Stat(filepath.Join(dir, fileName))
		return err == nil && info.Size() < slack && s.Health(time.Now()).Err == nil
	})
	s.Close()
	s, _ = open(t, dir)
	require.Equal(t, "last", get(s, "value"))
}

func TestHealthTellsOfStalls(t *testing.T) {
	s, _ := open(t, t.TempDir())
	require.False(t, s.Health(time.Now()).Written)
	require.NoError(t, s.Probe())
	require.True(t, s.Health(time.Now()).Written)
	require.Zero(t, s.Health(time.Now()).OldestPending)
	release, stalled := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		_ = s.submit(operation{done: make(chan error, 1), query: func() error { close(stalled); <-release; return nil }})
	}()
	<-stalled
	for range maxQueue {
		wg.Add(1)
		go func() { defer wg.Done(); _ = s.Probe() }()
	}
	require.Eventually(t, func() bool { return len(s.operations) == maxQueue }, 10*time.Second, time.Millisecond)
	require.ErrorIs(t, s.Probe(), ErrBusy)
	require.GreaterOrEqual(t, s.Health(time.Now().Add(time.Second)).OldestPending, time.Second)
	close(release)
	wg.Wait()
	require.Zero(t, s.Health(time.Now()).OldestPending)
}
