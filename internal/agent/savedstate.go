package agent

import (
	"maps"
	"slices"

	"chalkdoor.example/chalkdoor/policy"
)

// SavedState is what an agent saves for its next process: what it has learned, and its list. The list that the
// platform gives to a new process may be older, and list servers as up that the agent knows to drain.
type SavedState struct {
	Snapshot  *policy.Snapshot
	Discovery string // address of the discovery whose list and version it is
	List      TargetList
}

// savedState is the loop's current state.
func (l *eventLoop) savedState() *SavedState {
	state := &SavedState{
		Snapshot:  l.balancer.Snapshot(l.now()),
		Discovery: l.discovery.addr,
		List:      TargetList{Version: l.listVersion, Full: true},
	}
	for _, target := range l.targets {
		state.List.Servers = append(state.List.Servers, target)
	}
	return state
}

// recordTargets records a list for saving and for the coordinator.
func (l *eventLoop) recordTargets(list *TargetList, full bool) {
	if l.save == nil && l.coordinator == nil {
		return
	}
	if full || l.targets == nil {
		l.targets = map[string]Target{}
	}
	for _, target := range list.Servers {
		if target.State == targetRemoved {
			delete(l.targets, target.ID)
		} else {
			l.targets[target.ID] = target
		}
	}
	if l.coordinator != nil {
		l.coordinator.ListChanged(slices.Collect(maps.Values(l.targets)))
	}
}

// initialList is the list to start with: the platform's, or the saved one if that is of the same discovery and
// newer.
func (l *eventLoop) initialList() *TargetList {
	initial := &l.config.InitialList
	saved := l.restored
	if saved != nil && saved.Discovery == l.config.Discovery && saved.List.Version > initial.Version &&
		len(saved.List.Servers) > 0 {
		return &saved.List
	}
	return initial
}
