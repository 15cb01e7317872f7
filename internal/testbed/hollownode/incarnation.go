package hollownode

import (
	"context"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// incarnation is one incarnation of a node's process: core and relay, connected as the daemon connects them.
type incarnation struct {
	node      *node
	startedAt time.Duration
	core      *controlplane.Member
	relay     *relay.Node
	source    string // at its start
	stop      context.CancelFunc
	done      chan struct{}

	mu             sync.Mutex
	snapshot       relay.Snapshot
	readyAt        time.Duration // 0: not yet
	serversKnownAt time.Duration // 0: not yet
	endedAt        time.Duration
	arrivals       []appliedConfig // ordered by seq
	removedAt      map[string]time.Duration
	changed        chan struct{} // closed and replaced when a field above changes
}

// snapshotChanged takes the snapshot that the data plane would use. The relay calls it with its lock held.
func (l *incarnation) snapshotChanged(s *relay.Snapshot) {
	t := now()
	l.mu.Lock()
	defer l.mu.Unlock()
	notify := false
	if s.ConfigSeq > l.snapshot.ConfigSeq {
		l.arrivals = append(l.arrivals, appliedConfig{s.ConfigSeq, t})
		notify = true
	}
	servers := l.node.host.plan.AllServers
	if s.Servers != l.snapshot.Servers && s.Servers != nil {
		for _, id := range *l.node.host.watched.Load() {
			if l.snapshot.Servers != nil && l.snapshot.Servers.ByID[id] != nil && s.Servers.ByID[id] == nil {
				l.removedAt[id] = t
				notify = true
			}
		}
		if l.serversKnownAt == 0 && len(s.Servers.ByID) >= servers {
			l.serversKnownAt = t
			notify = true
		}
	}
	if l.readyAt == 0 && s.Synced && s.Config != nil && s.Servers != nil && len(s.Servers.ByID) >= min(servers, 1) {
		l.readyAt = t
		notify = true
	}
	l.snapshot = *s
	if notify {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// hasApplied tells whether the configuration of a request is applied and none of its instances is listed. The lock is
// held.
func (l *incarnation) hasApplied(q *Request) bool {
	return l.snapshot.ConfigSeq >= q.Seq && !slices.ContainsFunc(q.IDs, func(id string) bool { return l.snapshot.Servers != nil && l.snapshot.Servers.ByID[id] != nil })
}

// wait waits for a condition, which is evaluated with the lock held, or for the end of the incarnation.
func (l *incarnation) wait(ctx context.Context, ok func() bool) error {
	for {
		l.mu.Lock()
		yes, changed := ok() || l.endedAt > 0, l.changed
		l.mu.Unlock()
		if yes {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readNewestConfig reads the newest configuration from the core once after the start, as the daemon does.
func (l *incarnation) readNewestConfig(ctx context.Context) {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, configReadTimeout)
		v, err := l.core.Read(once)
		cancel()
		if err == nil {
			if v.Seq > 0 {
				l.relay.ApplyConfig(v.Seq, v.Body)
			}
			l.relay.MarkConfigCurrent()
			return
		}
		t := time.NewTimer(configRetryPause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// appliedConfig is a configuration that was applied at a time.
type appliedConfig struct {
	seq uint64
	at  time.Duration
}

// coreMembership is what the relay needs to know of the core's member, as in the daemon.
type coreMembership struct{ m *controlplane.Member }

func (c coreMembership) IsMember() bool { return c.m.IsVoter() }

func (c coreMembership) HasQuorum() bool { return c.m.HasQuorum() }

func (c coreMembership) Members() []relay.Peer {
	v, ok := c.m.View()
	if !ok {
		return nil
	}
	out := make([]relay.Peer, len(v.Voters))
	for i, p := range v.Voters {
		out[i] = relay.Peer{Addr: p.Addr, Zone: p.Zone}
	}
	return out
}
