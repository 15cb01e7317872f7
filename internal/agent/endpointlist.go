package agent

import (
	"log/slog"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// useDiscovery makes the discovery at an address the current one. Late answers of an earlier discovery are
// dropped, as each discovery has versions of its own.
func (l *eventLoop) useDiscovery(addr string) {
	client := newDiscoveryClient(l.ctx, addr, l.dialDiscovery)
	client.onList = func(list *TargetList, watch bool, err error) {
		l.post(func() {
			if l.discovery == client {
				l.onDiscoveryList(list, watch, err)
			}
		})
	}
	client.onResponse = func() {
		if l.coordinator != nil {
			l.coordinator.DiscoveryResponded()
		}
	}
	l.discovery = client
}

// switchDiscovery replaces the current discovery and fetches the full list of the new one. Until that arrives the
// backends stay as they are.
func (l *eventLoop) switchDiscovery(addr string) {
	if addr == l.discovery.addr {
		return
	}
	l.discovery.close()
	l.useDiscovery(addr)
	l.listVersion, l.needsFullList, l.fetching, l.watching = 0, true, false, true
	go l.discovery.watch(0, true)
}

// listIsPushed reports whether the policy expects list changes without asking for them. Over sockets they arrive
// on a watch, too, but the loop itself has to keep that open.
func (l *eventLoop) listIsPushed() bool {
	return l.config.Settings.Membership == policy.MembershipPushed
}

// startWatch opens the watch unless it is open.
func (l *eventLoop) startWatch() {
	if !l.watching {
		l.watching = true
		go l.discovery.watch(l.listVersion, l.needsFullList)
	}
}

// retryWatch reopens a failed pushed watch after a backoff.
func (l *eventLoop) retryWatch() {
	l.watchFailures++
	time.AfterFunc(watchBackoff(l.watchFailures), func() { l.post(l.startWatch) })
}

// fetchList fetches the full list unless a fetch is in progress.
func (l *eventLoop) fetchList() {
	if !l.fetching {
		l.fetching = true
		go l.discovery.fetch()
	}
}

// onDiscoveryList handles an answer of discovery, or the error of a failed call.
func (l *eventLoop) onDiscoveryList(list *TargetList, watch bool, err error) {
	switch {
	case !watch:
		l.fetching = false
	case err != nil:
		l.watching = false
	default:
		l.watchFailures = 0
	}
	if err != nil {
		l.onDiscoveryFailed(watch, err)
		return
	}
	// The answers to a watch and a fetch may arrive out of order: then the older one is dropped. But a full list
	// on the watch is valid even if its version is lower: discovery restarted without its state.
	if list.Version < l.listVersion && !(watch && list.Full) {
		return
	}
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateFull
	}
	if l.coordinator != nil {
		l.coordinator.DiscoveryReported(list.Servers, list.Full)
	}
	l.applyList(list, kind, list.Full)
	if l.backends.hasAvailable() {
		l.onReady()
	}
}

func (l *eventLoop) onDiscoveryFailed(watch bool, err error) {
	l.log(slog.LevelWarn, "discovery call failed", "err", err)
	if watch && l.listIsPushed() {
		l.retryWatch()
		return
	}
	l.handle(&policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateFailed})
}

// applyList applies a list to the backends and the policy. If full is set, it removes the backends that the list
// does not contain.
func (l *eventLoop) applyList(list *TargetList, kind policy.UpdateKind, full bool) {
	l.listVersion, l.needsFullList = list.Version, l.needsFullList && !full
	l.recordTargets(list, full)
	endpoints, stale, removed := l.backends.apply(list, full)
	for _, backend := range stale {
		l.sender.pool.closeIdle(backend)
	}
	l.handle(&policy.Event{Kind: policy.EventDiscovery, Update: kind, Endpoints: endpoints})
	for _, backend := range removed {
		l.backends.forget(backend)
	}
}
