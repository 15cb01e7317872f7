package relay

import (
	"cmp"
	"context"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// maxMemberBytes bounds an encoded Member.
const maxMemberBytes = 8 << 10

// Member is what an agent publishes about itself.
type Member struct {
	Name        string `msgpack:"n" json:"name"`
	Addr        string `msgpack:"a" json:"addr"` // for calls from other agents
	Zone        string `msgpack:"z" json:"zone"`
	Region      string `msgpack:"r" json:"region"`
	IsCore      bool   `msgpack:"c" json:"core"`    // whether the agent is a member of the core
	Draining    bool   `msgpack:"e" json:"ending"`  // whether the agent is about to end
	ControlAddr string `msgpack:"o" json:"control"` // for calls from servers and operators
	// QuotaDeputy reports whether the agent admits requests against a fraction of a core member's quota share.
	QuotaDeputy bool `msgpack:"q,omitempty" json:"quota-deputy,omitempty"`
}

// publishMemberLocked publishes this node's own member entry.
func (n *Node) publishMemberLocked() { n.publishItemLocked(memberKey, encode(&n.options.Self)) }

// applyMemberLocked records the member entry of a source.
func (n *Node) applyMemberLocked(source string, data []byte) {
	var member Member
	if len(data) <= maxMemberBytes && msgpack.Unmarshal(data, &member) == nil {
		n.members[source] = member
	}
}

// OtherMembers returns the other agents that are not draining, sorted by name. With coreOnly, it returns
// only members of the core.
func (n *Node) OtherMembers(coreOnly bool) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []Member
	for source, member := range n.members {
		if source != n.items.OwnSource() && !member.Draining && (!coreOnly || member.IsCore) {
			others = append(others, member)
		}
	}
	slices.SortFunc(others, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return others
}

// knownCoreMembers returns the members of the core according to the core's view. If the view has none, it
// returns the agents whose own entries say that they are members of the core.
func (n *Node) knownCoreMembers() []Peer {
	peers := n.options.Core.Members()
	if len(peers) > 0 {
		return peers
	}
	for _, member := range n.OtherMembers(true) {
		peers = append(peers, Peer{member.Addr, member.Zone})
	}
	return peers
}

// PublishQuotaDeputy publishes whether this agent is a core member's deputy for quotas.
func (n *Node) PublishQuotaDeputy(deputy bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.options.Self.QuotaDeputy != deputy {
		n.options.Self.QuotaDeputy = deputy
		n.publishMemberLocked()
	}
}

// QuotaHolders returns the addresses of the agents that admit requests against quotas, that is the members
// of the core and their deputies, in this agent's order of preference.
func (n *Node) QuotaHolders() []string {
	holders := slices.Clone(n.options.Core.Members())
	n.mu.Lock()
	for _, member := range n.members {
		if member.QuotaDeputy && !member.Draining {
			holders = append(holders, Peer{Addr: member.Addr, Zone: member.Zone})
		}
	}
	n.mu.Unlock()
	return slices.Compact(preferenceOrder(&n.options.Self, holders))
}

// AnnounceDraining publishes that this agent is about to end, so that servers are directed to other agents.
func (n *Node) AnnounceDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.options.Self.Draining = true
	n.publishMemberLocked()
}

// Depart announces the end of this agent. It returns when another member of the core has received the
// announcement, or when ctx ends. Afterwards the node starts no new incarnation.
func (n *Node) Depart(ctx context.Context) {
	n.mu.Lock()
	n.departing = true
	n.publishItemLocked(endPrefix+n.items.OwnSource(), presentData)
	published := n.currentOwnVersionLocked()
	n.mu.Unlock()
	n.awaitReceived(ctx, published)
}
