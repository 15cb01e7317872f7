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

// fakeConfig implements ConfigSource and ConfigHolder.
type fakeConfig struct {
	isVoter bool
	err     error // returned by Confirm and Read
	// newestSeq and appliedSeq are the sequence numbers of the core's newest configuration and of the one in force.
	newestSeq, appliedSeq uint64
	markedCurrent         bool // MarkConfigCurrent was called
	confirmCalls          int
	readCalls             int
}

func (f *fakeConfig) IsVoter() bool { return f.isVoter }

func (f *fakeConfig) Confirm(context.Context) (uint64, error) {
	f.confirmCalls++
	return f.newestSeq, f.err
}

func (f *fakeConfig) Read(context.Context) (chain.Value, error) {
	f.readCalls++
	return chain.Value{Seq: f.newestSeq}, f.err
}

func (f *fakeConfig) ConfigSeq() uint64 { return f.appliedSeq }

func (f *fakeConfig) ApplyConfig(seq uint64, _ []byte) { f.appliedSeq = seq }

func (f *fakeConfig) MarkConfigCurrent() { f.markedCurrent = true }

// runFor runs LoadNewestConfig for at most d of virtual time.
func (f *fakeConfig) runFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	LoadNewestConfig(ctx, f, f)
}

func TestLoadNewestConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := &fakeConfig{isVoter: true, newestSeq: 7, appliedSeq: 5}
		member.runFor(time.Minute)
		assert.True(t, member.markedCurrent)
		assert.Equal(t, uint64(7), member.appliedSeq)
		assert.Equal(t, 1, member.readCalls)

		bootstrapMember := &fakeConfig{isVoter: true}
		bootstrapMember.runFor(time.Minute)
		assert.True(t, bootstrapMember.markedCurrent, "the core has no configuration yet")
		assert.Zero(t, bootstrapMember.readCalls)
	})
}

// A member that already has the newest configuration does not transfer it.
func TestNewestConfigIsNotTransferredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := &fakeConfig{isVoter: true, newestSeq: 7, appliedSeq: 7}
		member.runFor(time.Minute)
		assert.True(t, member.markedCurrent)
		assert.Equal(t, 1, member.confirmCalls)
		assert.Zero(t, member.readCalls)
	})
}

// An agent outside the core does not call the core before it becomes a member.
func TestOnlyMembersLoadTheNewestConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeConfig{newestSeq: 7}
		agent.runFor(time.Minute)
		assert.Zero(t, agent.confirmCalls)
		assert.False(t, agent.markedCurrent)
		agent.isVoter = true
		agent.runFor(time.Minute)
		assert.True(t, agent.markedCurrent)
	})
}

func TestLoadingIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := &fakeConfig{isVoter: true, newestSeq: 7, err: errors.New("no quorum")}
		member.runFor(10*configReadRetryInterval - 1)
		assert.False(t, member.markedCurrent)
		assert.Equal(t, 10, member.confirmCalls)
		member.err = nil
		member.runFor(time.Minute)
		assert.True(t, member.markedCurrent)
	})
}
