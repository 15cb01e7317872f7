package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// memberRetention is how long the address of an agent is remembered after the agent was last present.
	memberRetention = 10 * time.Minute
	// maxMemberAddrs bounds the remembered addresses.
	maxMemberAddrs = 2048
	// savedMembersFormat identifies the encoding of savedMembers.
	savedMembersFormat = 1
)

// memberAddrs remembers the addresses of agents that are or recently were present. After a restart of the
// whole fleet the core calls these agents, as those without a disk may have no other way to find the core.
type memberAddrs struct {
	lastSeen map[string]time.Duration // when an agent with the address was last present
	version  uint64                   // incremented when an address is added or forgotten
}

// savedMembers is the list of remembered addresses as it is stored on disk.
type savedMembers struct {
	Format int      `msgpack:"f"`
	Addrs  []string `msgpack:"a"` // sorted
}

// restore adds the addresses that an earlier incarnation saved. Data in an unknown encoding is ignored.
func (a *memberAddrs) restore(now time.Duration, saved []byte) {
	var list savedMembers
	if len(saved) == 0 || msgpack.Unmarshal(saved, &list) != nil || list.Format != savedMembersFormat {
		return
	}
	for _, addr := range list.Addrs[:min(len(list.Addrs), maxMemberAddrs)] {
		if addr != "" && len(addr) <= maxNameBytes {
			a.lastSeen[addr] = now
		}
	}
}

// observe records the addresses of the agents that are present now, and forgets those that have been absent
// for longer than memberRetention.
func (a *memberAddrs) observe(now time.Duration, presentAddrs map[string]bool) {
	for addr := range presentAddrs {
		if _, isKnown := a.lastSeen[addr]; !isKnown {
			if len(a.lastSeen) >= maxMemberAddrs && !a.forgetOldest(presentAddrs) {
				continue
			}
			a.version++
		}
		a.lastSeen[addr] = now
	}
	for addr, seen := range a.lastSeen {
		if now-seen > memberRetention {
			delete(a.lastSeen, addr)
			a.version++
		}
	}
}

// forgetOldest forgets the address that has been absent for the longest time. It returns false if no
// remembered address is absent.
func (a *memberAddrs) forgetOldest(presentAddrs map[string]bool) bool {
	oldestAddr := ""
	for addr, seen := range a.lastSeen {
		if !presentAddrs[addr] && (oldestAddr == "" || seen < a.lastSeen[oldestAddr]) {
			oldestAddr = addr
		}
	}
	delete(a.lastSeen, oldestAddr)
	return oldestAddr != ""
}

// absent returns the remembered addresses that are not present, sorted.
func (a *memberAddrs) absent(presentAddrs map[string]bool) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.lastSeen)), func(addr string) bool { return presentAddrs[addr] })
}

// encoded returns the addresses in the format that is stored on disk.
func (a *memberAddrs) encoded() []byte {
	return encode(&savedMembers{Format: savedMembersFormat, Addrs: slices.Sorted(maps.Keys(a.lastSeen))})
}

// presentAddrsLocked returns the addresses of the agents that are in contact with the core, and this node's
// own address.
func (n *Node) presentAddrsLocked() map[string]bool {
	addrs := map[string]bool{n.options.Self.Addr: true}
	for source, member := range n.members {
		if n.leases.Reachable(source) && !n.items.Ended(source) {
			addrs[member.Addr] = true
		}
	}
	return addrs
}

// observeMemberAddrsLocked records the present agents' addresses if this node is a core member. Other nodes
// do not need them.
func (n *Node) observeMemberAddrsLocked(now time.Duration, isMember bool) {
	if isMember {
		n.memberAddrs.observe(now, n.presentAddrsLocked())
	}
}

// UnreachedAddrs returns the addresses of agents that should have a session with the core but have none,
// perhaps because they know none of its addresses: seeds, and on a member of the core also the remembered
// agents. It returns none while this process itself does not reach the core, as it cannot tell then.
func (n *Node) UnreachedAddrs() []string {
	seeds, voters := n.options.SeedAddrs(), n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.attachment.attached {
		return nil
	}
	presentAddrs := n.presentAddrsLocked()
	for _, voter := range voters {
		presentAddrs[voter.Addr] = true // voters know each other by the view
	}
	unreachedAddrs := slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return presentAddrs[addr] })
	if n.options.Self.IsCore {
		unreachedAddrs = append(unreachedAddrs, n.memberAddrs.absent(presentAddrs)...)
	}
	slices.SortFunc(unreachedAddrs, cmp.Compare[string])
	return slices.Compact(unreachedAddrs)
}
