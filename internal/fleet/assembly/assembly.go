// Package assembly connects the components of one process of the fleet to each other: the core's member, the
// relay and the quotas know each other by small interfaces only. The daemon uses it, and so does the simulation
// of control planes, which therefore runs what the daemon runs.
package assembly

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// RelayCore is the core as the relay of its process sees it. It implements relay.Core.
type RelayCore struct{ Member *controlplane.Member }

// IsMember implements relay.Core.
func (c RelayCore) IsMember() bool { return c.Member.IsVoter() }

// HasQuorum implements relay.Core.
func (c RelayCore) HasQuorum() bool { return c.Member.HasQuorum() }

// Members implements relay.Core.
func (c RelayCore) Members() []relay.Peer {
	current, ok := c.Member.View()
	if !ok {
		return nil
	}
	peers := make([]relay.Peer, len(current.Voters))
	for i, voter := range current.Voters {
		peers[i] = relay.Peer{Addr: voter.Addr, Zone: voter.Zone}
	}
	return peers
}

// QuotaCore is the core as the quotas of its process see it. It implements quota.Core.
type QuotaCore struct {
	Member *controlplane.Member
	// Relay returns the relay, which may be opened after the quotas.
	Relay func() *relay.Node
}

// IsMember implements quota.Core.
func (c QuotaCore) IsMember() bool { return c.Member.IsVoter() }

// Confirmed implements quota.Core.
func (c QuotaCore) Confirmed() bool {
	return time.Since(c.Relay().ConfigFreshAsOf()) <= quota.MaxConfirmedAge
}

// MemberAddrs implements quota.Core.
func (c QuotaCore) MemberAddrs() []string { return c.Relay().PreferredMembers() }

// HolderAddrs implements quota.Core.
func (c QuotaCore) HolderAddrs() []string { return c.Relay().QuotaHolders() }

// AgentAddrs implements quota.Core.
func (c QuotaCore) AgentAddrs() []string { return c.Relay().PreferredAgents() }

// PublishDeputy implements quota.Core.
func (c QuotaCore) PublishDeputy(deputy bool) { c.Relay().PublishQuotaDeputy(deputy) }

// KnownCoreAddrs returns the addresses of the members of the core, as a relay knows them; none before it is
// opened, as the core is opened first.
func KnownCoreAddrs(node *relay.Node) (addrs []string) {
	if node == nil {
		return nil
	}
	for _, member := range node.OtherMembers(true) {
		addrs = append(addrs, member.Addr)
	}
	return addrs
}

// UnreachedAddrs returns the agents' addresses that should be told the view; none before the relay is opened.
func UnreachedAddrs(node *relay.Node) []string {
	if node == nil {
		return nil
	}
	return node.UnreachedAddrs()
}
