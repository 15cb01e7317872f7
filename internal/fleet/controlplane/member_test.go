package controlplane

import (
	"strconv"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// applyNumber is a chain.Transition that accepts bodies that are positive numbers, which become the revision.
func applyNumber(_ []byte, update *chain.Update) ([]byte, int64, error) {
	revision, err := strconv.ParseInt(string(update.Body), 10, 64)
	if err != nil || revision <= 0 {
		return nil, 0, errors.New("not a positive number")
	}
	return update.Body, revision, nil
}

// revisionUpdate returns an update from one revision to another.
func revisionUpdate(ifMatch, revision int64) *chain.Update {
	return &chain.Update{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
}

func TestBootstrapAndUpdates(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 2)
	cluster.startAll(true)
	for _, node := range cluster.nodes {
		node.waitUntil("the first view", node.knowsView)
	}
	first, _ := cluster.nodes[0].member.View()
	require.Len(t, first.Voters, 4)
	require.Len(t, first.Chain, 4)
	revision := int64(0)
	for i, node := range cluster.nodes {
		next := int64(10 * (i + 1))
		committed := chain.Result{Outcome: chain.OutcomeCommitted, Revision: next}
		require.Equal(t, committed, node.submitRevision(revision, next))
		require.Equal(t, committed, cluster.nodes[0].submitRevision(revision, next), "a repeated update")
		require.Equal(t, chain.OutcomeConflict, node.submitRevision(revision, next+5).Outcome)
		revision = next
	}
	require.Equal(t, chain.OutcomeInvalid, cluster.nodes[5].submitRevision(revision, 3).Outcome)
	for _, node := range cluster.nodes {
		require.Equal(t, revision, node.read().Revision)
	}
}

func TestHeadStopsAndRejoins(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 1)
	cluster.startAll(true)
	client := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Outcome)
	current, _ := client.member.View()
	head := cluster.nodeAt(current.Head().Addr)
	head.kill()
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Outcome)
	require.Equal(t, int64(2), client.read().Revision)
	client.waitUntil("the head is removed from the chain", func() bool { return client.chainLength() == 3 })
	cluster.start(head, false)
	head.waitUntil("the chain is complete again", func() bool { return head.chainLength() == 4 })
	require.Equal(t, chain.OutcomeCommitted, head.submitRevision(2, 3).Outcome)
	head.waitUntil("the head knows the new revision", func() bool { return head.hasRevision(3) })
}

func TestWipedDiskJoinsAsNewMember(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 1)
	cluster.startAll(true)
	client := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Outcome)
	node := cluster.nodes[1]
	formerID := node.member.Status().ID
	node.kill()
	node.dir = stateDir(t)
	cluster.start(node, false)
	require.NotEqual(t, formerID, node.member.Status().ID)
	node.waitUntil("the new member is in the chain", func() bool { return node.isMemberOf(4, 4) })
	require.Equal(t, chain.OutcomeCommitted, node.submitRevision(1, 2).Outcome)
}
