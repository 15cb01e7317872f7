package fleetlab

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process that starts while its settings are written reads either the old file or the new one, and no mixture.
func TestReplaceFileIsAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	contents := []string{string(make([]byte, 4<<10)), string(make([]byte, 8<<10))}
	require.NoError(t, replaceFile(path, []byte(contents[0])))
	var writes sync.WaitGroup
	writes.Go(func() {
		for i := range 500 {
			assert.NoError(t, replaceFile(path, []byte(contents[i%2])))
		}
	})
	for range 500 {
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Contains(t, contents, string(content))
	}
	writes.Wait()
}
