package store

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// A power loss may cut the last write off at any byte, with nothing, zeros or random bytes after it.
func TestTornTailIsCutOff(t *testing.T) {
	raw, last := testFile(t)
	random := rand.New(rand.NewPCG(1, 2))
	for end := last; end < len(raw); end++ {
		noise := make([]byte, len(raw)-end)
		for i := range noise {
			noise[i] = byte(random.Uint32())
		}
		for name, tail := range map[string][]byte{"absent": nil, "zeros": make([]byte, len(raw)-end), "noise": noise} {
			if bytes.Equal(tail, raw[end:]) || name == "noise" && end%4 != 0 {
				continue
			}
			dir := dirWith(t, append(raw[:end:end], tail...))
			s, report := open(t, dir)
			require.False(t, report.Damaged, "%s from %d", name, end)
			require.Equal(t, "first", get(s, "value"), "%s from %d", name, end)
			require.NoError(t, s.Put("value", []byte("third")))
			s.Close()
			s, report = open(t, dir)
			require.Zero(t, report.TornBytes)
			require.Equal(t, "third", get(s, "value"))
			require.Equal(t, "x1", get(s, "id"))
			s.Close()
		}
	}
}

func TestDamagedFileIsSetAside(t *testing.T) {
	raw, last := testFile(t)
	for offset := range last {
		damaged := bytes.Clone(raw)
		damaged[offset] ^= 0x40
		dir := dirWith(t, damaged)
		s, report := open(t, dir)
		require.True(t, report.Damaged, "byte %d", offset)
		require.Equal(t, absent, get(s, "id"), "byte %d", offset)
		require.NoError(t, s.Put("id", []byte("x2")))
		s.Close()
		setAside, err := os.ReadFile(filepath.Join(dir, damagedFileName))
		require.NoError(t, err)
		require.Equal(t, damaged, setAside)
		report, err = Verify(dir)
		require.NoError(t, err)
		require.True(t, report.SetAside)
		require.False(t, report.Damaged)
	}
	t.Run("missing bytes", func(t *testing.T) {
		dir := dirWith(t, append(raw[:10:10], raw[last:]...))
		_, report := open(t, dir)
		require.True(t, report.Damaged)
	})
	t.Run("too large", func(t *testing.T) {
		dir := dirWith(t, nil)
		require.NoError(t, os.Truncate(filepath.Join(dir, FileName), MaxFile+1))
		s, report := open(t, dir)
		require.True(t, report.Damaged)
		require.NoError(t, s.Put("id", nil))
	})
}
