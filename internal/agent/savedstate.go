package agent

import (
	"maps"
	"slices"

	"chalkdoor.example/chalkdoor/policy"
)

// SavedState is what an agent saves for its next process: what it has learned, and its list. The list that the
// platform gives to a new process may be older, and may have servers as up that the agent knows to be draining.
type SavedState struct {
	Snapshot  *policy.Snapshot
	Discovery string // address of the discovery that List comes from
	List      TargetList
}

// savedState returns the loop's current state.
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

// recordTargets applies a list to targets, for saving and for the coordinator.
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

// initialList returns the list to start with: the platform's, or the saved one if that is newer, not empty and of
// the same discovery.
func (l *eventLoop) initialList() *TargetList {
	platformList := &l.config.InitialList
	saved := l.restoredState
	if saved != nil && saved.Discovery == l.config.Discovery && saved.List.Version > platformList.Version &&
		len(saved.List.Servers) > 0 {
		return &saved.List
	}
	return platformList
}
