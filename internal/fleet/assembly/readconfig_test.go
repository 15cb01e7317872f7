package assembly

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// fakeConfigCore is a core whose answers take a time each.
type fakeConfigCore struct {
	value      chain.Value
	confirmErr error
	delay      time.Duration
	reads      int
}

func (*fakeConfigCore) IsVoter() bool { return false }

func (c *fakeConfigCore) Confirm(ctx context.Context) (uint64, error) {
	if err := c.wait(ctx); err != nil {
		return 0, err
	}
	return c.value.Seq, c.confirmErr
}

func (c *fakeConfigCore) Read(ctx context.Context) (chain.Value, error) {
	c.reads++
	if err := c.wait(ctx); err != nil {
		return chain.Value{}, err
	}
	return c.value, nil
}

func (c *fakeConfigCore) wait(ctx context.Context) error {
	select {
	case <-time.After(c.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fakeConfigStore has one configuration, from some time on.
type fakeConfigStore struct {
	seq   uint64
	raw   []byte
	after time.Duration
}

func (s *fakeConfigStore) CommittedConfig(ctx context.Context, seq uint64) ([]byte, bool) {
	select {
	case <-time.After(s.after):
		return s.raw, s.seq == seq
	case <-ctx.Done():
		return nil, false
	}
}

// A read is answered by what this process has if the core confirms its number, and by the core otherwise.
func TestReadConfig(t *testing.T) {
	for name, test := range map[string]struct {
		core  fakeConfigCore
		store fakeConfigStore
		want  string
		reads int
	}{
		"it is here":       {core: fakeConfigCore{value: chain.Value{Seq: 7}}, store: fakeConfigStore{seq: 7, raw: []byte("here")}, want: "here"},
		"it comes soon":    {core: fakeConfigCore{value: chain.Value{Seq: 7}}, store: fakeConfigStore{seq: 7, raw: []byte("here"), after: localConfigWait / 2}, want: "here"},
		"it comes late":    {core: fakeConfigCore{value: chain.Value{Seq: 7, Body: []byte("there")}}, store: fakeConfigStore{seq: 7, after: time.Hour}, want: "there", reads: 1},
		"a newer is here":  {core: fakeConfigCore{value: chain.Value{Seq: 7, Body: []byte("there")}}, store: fakeConfigStore{seq: 8, raw: []byte("here")}, want: "there", reads: 1},
		"an older is here": {core: fakeConfigCore{value: chain.Value{Seq: 7, Body: []byte("there")}}, store: fakeConfigStore{seq: 6, raw: []byte("here")}, want: "there", reads: 1},
		"there is none":    {store: fakeConfigStore{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw, found, err := readConfig(t.Context(), &test.core, &test.store)
				require.NoError(t, err)
				assert.Equal(t, test.want, string(raw))
				assert.Equal(t, test.want != "", found)
				assert.Equal(t, test.reads, test.core.reads)
			})
		})
	}
}

// What is here is no answer without the core, and no answer takes longer than callers wait.
func TestReadConfigWithoutTheCore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeConfigStore{seq: 7, raw: []byte("here")}
		unavailable := errors.New("unavailable")
		_, found, err := readConfig(t.Context(), &fakeConfigCore{value: chain.Value{Seq: 7}, confirmErr: unavailable}, store)
		require.ErrorIs(t, err, unavailable)
		require.False(t, found)
		begun := time.Now()
		slow := &fakeConfigCore{value: chain.Value{Seq: 8}, delay: configAnswerTimeout * 2 / 3}
		_, found, err = readConfig(t.Context(), slow, store)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.False(t, found)
		require.Equal(t, configAnswerTimeout, time.Since(begun))
	})
}
