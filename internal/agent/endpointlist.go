package agent

import (
	"log/slog"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// useDiscovery makes an address the discovery that is called. Late answers of another are dropped: their
// versions are not those of this one.
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

// switchDiscovery goes over to another discovery and fetches its full list. Until that arrives the backends
// stay as they are.
func (l *eventLoop) switchDiscovery(addr string) {
	if addr == l.discovery.addr {
		return
	}
	l.discovery.close()
	l.useDiscovery(addr)
	l.listVersion, l.needsFullList, l.fetching, l.watching = 0, true, false, true
	go l.discovery.watch(0, true)
}

// listIsPushed reports whether the policy expects changes of the list without a subscription. On sockets that is
// a watch, too, but the loop's own to keep open.
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

// retryWatch opens a pushed watch that failed after a pause.
func (l *eventLoop) retryWatch() {
	l.watchFailures++
	time.AfterFunc(watchBackoff(l.watchFailures), func() { l.post(l.startWatch) })
}

// fetchList fetches the full list unless that is under way.
func (l *eventLoop) fetchList() {
	if !l.fetching {
		l.fetching = true
		go l.discovery.fetch()
	}
}

// onDiscoveryList takes an answer of discovery, or the error of a call that failed.
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
	// A watch and a fetch may cross: the older one is dropped. A full list on the watch is how a discovery
	// that restarted without state says so.
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

// applyList takes a list over into the backends and the policy. Of a full one the backends that it does not
// name are removed.
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
