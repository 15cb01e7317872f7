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

// fakeConfigCore is a ConfigSource whose answers are delayed.
type fakeConfigCore struct {
	value      chain.Value
	confirmErr error         // returned by Confirm
	delay      time.Duration // of each answer
	readCalls  int
}

func (*fakeConfigCore) IsVoter() bool { return false }

func (c *fakeConfigCore) Confirm(ctx context.Context) (uint64, error) {
	if err := c.wait(ctx); err != nil {
		return 0, err
	}
	return c.value.Seq, c.confirmErr
}

func (c *fakeConfigCore) Read(ctx context.Context) (chain.Value, error) {
	c.readCalls++
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

// fakeConfigStore is a ConfigStore to which one configuration is replicated.
type fakeConfigStore struct {
	seq   uint64
	raw   []byte
	delay time.Duration // time until the configuration is replicated
}

func (s *fakeConfigStore) CommittedConfig(ctx context.Context, seq uint64) ([]byte, bool) {
	select {
	case <-time.After(s.delay):
		return s.raw, s.seq == seq
	case <-ctx.Done():
		return nil, false
	}
}

// A read returns the configuration of this process if the core confirms that it is the newest. Otherwise it
// returns the one that the core sends.
func TestReadConfig(t *testing.T) {
	for name, test := range map[string]struct {
		core      fakeConfigCore
		store     fakeConfigStore
		want      string
		readCalls int
	}{
		"replicated": {
			core:  fakeConfigCore{value: chain.Value{Seq: 7}},
			store: fakeConfigStore{seq: 7, raw: []byte("local")},
			want:  "local",
		},
		"replicated within the wait": {
			core:  fakeConfigCore{value: chain.Value{Seq: 7}},
			store: fakeConfigStore{seq: 7, raw: []byte("local"), delay: localConfigWait / 2},
			want:  "local",
		},
		"not replicated within the wait": {
			core:  fakeConfigCore{value: chain.Value{Seq: 7, Body: []byte("core")}},
			store: fakeConfigStore{seq: 7, delay: time.Hour},
			want:  "core", readCalls: 1,
		},
		"newer configuration replicated": {
			core:  fakeConfigCore{value: chain.Value{Seq: 7, Body: []byte("core")}},
			store: fakeConfigStore{seq: 8, raw: []byte("local")},
			want:  "core", readCalls: 1,
		},
		"older configuration replicated": {
			core:  fakeConfigCore{value: chain.Value{Seq: 7, Body: []byte("core")}},
			store: fakeConfigStore{seq: 6, raw: []byte("local")},
			want:  "core", readCalls: 1,
		},
		"no configuration": {store: fakeConfigStore{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw, found, err := readConfig(t.Context(), &test.core, &test.store)
				require.NoError(t, err)
				assert.Equal(t, test.want, string(raw))
				assert.Equal(t, test.want != "", found)
				assert.Equal(t, test.readCalls, test.core.readCalls)
			})
		})
	}
}

// If the core does not confirm the sequence number, a read fails although this process has a configuration. A
// read never takes longer than configAnswerTimeout.
func TestReadConfigWithoutTheCore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeConfigStore{seq: 7, raw: []byte("local")}
		unavailable := errors.New("unavailable")
		_, found, err := readConfig(t.Context(),
			&fakeConfigCore{value: chain.Value{Seq: 7}, confirmErr: unavailable}, store)
		require.ErrorIs(t, err, unavailable)
		require.False(t, found)
		start := time.Now()
		slowCore := &fakeConfigCore{value: chain.Value{Seq: 8}, delay: configAnswerTimeout * 2 / 3}
		_, found, err = readConfig(t.Context(), slowCore, store)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.False(t, found)
		require.Equal(t, configAnswerTimeout, time.Since(start))
	})
}
