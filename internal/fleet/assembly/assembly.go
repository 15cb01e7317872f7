// Package assembly connects the components of one process of the fleet: the core's member, the relay and the
// quotas depend on each other only through small interfaces, which this package implements. The daemon and the
// simulation of control planes both use it, so that the simulation runs the same code as the daemon.
package assembly

import (
	"net"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// RelayCore implements relay.Core: it provides the state of the core to the relay of the same process.
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

// QuotaCore implements quota.Core: it provides the state of the core to the quotas of the same process.
type QuotaCore struct {
	Member *controlplane.Member
	// Relay returns the relay. It is a function because the relay may be created after the quotas.
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

// KnownCoreAddrs returns the addresses of the other members of the core that a relay knows and that are not
// draining. It returns nil if node is nil: the core is opened before the relay is created.
func KnownCoreAddrs(node *relay.Node) (addrs []string) {
	if node == nil {
		return nil
	}
	for _, member := range node.OtherMembers(true) {
		addrs = append(addrs, member.Addr)
	}
	return addrs
}

// UnreachedAddrs returns the addresses of the agents to which the core should send the view, as they may not
// know it. It returns nil if node is nil.
func UnreachedAddrs(node *relay.Node) []string {
	if node == nil {
		return nil
	}
	return node.UnreachedAddrs()
}

// IsPriorityCaller returns a function that reports whether a caller's address is that of a machine of the core,
// whose heartbeats and votes must be served however many agents call. While no member of the core is known, the
// machines of the seeds count as such. members and seeds return addresses as HOST:PORT.
func IsPriorityCaller(members func() []relay.Peer, seeds func() []string) func(net.Addr) bool {
	return func(caller net.Addr) bool {
		host, _, err := net.SplitHostPort(caller.String())
		if err != nil {
			return false
		}
		peers := members()
		for _, peer := range peers {
			if isOnHost(peer.Addr, host) {
				return true
			}
		}
		return len(peers) == 0 && slices.ContainsFunc(seeds(), func(seed string) bool { return isOnHost(seed, host) })
	}
}

// isOnHost reports whether an address, as HOST:PORT, is on a host.
func isOnHost(addr, host string) bool {
	addrHost, _, err := net.SplitHostPort(addr)
	return err == nil && addrHost == host
}

// RelayAddr returns the address of the relay that an agent outside of the core has a session with; empty if there
// is none that has a quorum, or if node is nil.
func RelayAddr(node *relay.Node) string {
	if node == nil {
		return ""
	}
	return node.RelayAddr()
}
