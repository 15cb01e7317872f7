package assembly

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// fakeConfig is a core with a configuration, and a relay.
type fakeConfig struct {
	isVoter      bool
	err          error // of the core's answers
	newest, held uint64
	current      bool
	confirms     int
	reads        int
}

func (f *fakeConfig) IsVoter() bool { return f.isVoter }

func (f *fakeConfig) Confirm(context.Context) (uint64, error) {
	f.confirms++
	return f.newest, f.err
}

func (f *fakeConfig) Read(context.Context) (chain.Value, error) {
	f.reads++
	return chain.Value{Seq: f.newest}, f.err
}

func (f *fakeConfig) ConfigSeq() uint64 { return f.held }

func (f *fakeConfig) ApplyConfig(seq uint64, _ []byte) { f.held = seq }

func (f *fakeConfig) MarkConfigCurrent() { f.current = true }

// runFor runs LoadNewestConfig for a virtual time.
func (f *fakeConfig) runFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	LoadNewestConfig(ctx, f, f)
}

func TestLoadNewestConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := &fakeConfig{isVoter: true, newest: 7, held: 5}
		member.runFor(time.Minute)
		assert.True(t, member.current)
		assert.Equal(t, uint64(7), member.held)
		assert.Equal(t, 1, member.reads)

		first := &fakeConfig{isVoter: true}
		first.runFor(time.Minute)
		assert.True(t, first.current, "there is none yet")
		assert.Zero(t, first.reads)
	})
}

// A member that has the newest configuration on its disk transfers none.
func TestNewestConfigIsNotTransferredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := &fakeConfig{isVoter: true, newest: 7, held: 7}
		member.runFor(time.Minute)
		assert.True(t, member.current)
		assert.Equal(t, 1, member.confirms)
		assert.Zero(t, member.reads)
	})
}

// An agent beside the core asks nothing, until it becomes a member.
func TestOnlyMembersLoadTheNewestConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeConfig{newest: 7}
		agent.runFor(time.Minute)
		assert.Zero(t, agent.confirms)
		assert.False(t, agent.current)
		agent.isVoter = true
		agent.runFor(time.Minute)
		assert.True(t, agent.current)
	})
}

func TestLoadingIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := &fakeConfig{isVoter: true, newest: 7, err: errors.New("no quorum")}
		member.runFor(10*configReadRetryInterval - 1)
		assert.False(t, member.current)
		assert.Equal(t, 10, member.confirms)
		member.err = nil
		member.runFor(time.Minute)
		assert.True(t, member.current)
	})
}
