package relay

import (
	"slices"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/bindiff"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// maxFormerConfigs is the number of configurations that a member of the core retains besides the newest.
	maxFormerConfigs = 16
	// maxFormerConfigBytes bounds their total size.
	maxFormerConfigBytes = 2 << 20
)

// errUnknownConfigBase reports a diff whose base is a configuration that this node does not have.
var errUnknownConfigBase = errors.New("difference to a configuration that is not known here")

// configDiff encodes a configuration as a diff to an earlier one that the receiver has.
type configDiff struct {
	From    uint64       `msgpack:"f"` // version of the base
	To      uint64       `msgpack:"t"` // version of the result
	Content bindiff.Diff `msgpack:"c"` // diff between the data of the two items
}

// configHistory holds the newest configuration and earlier ones, so that a peer that has one of these is sent
// only a diff. The newest one's data is shared with the item store.
type configHistory struct {
	configs []deltasync.Item // by rising version
	// diffs caches the diffs to the newest configuration by the version of their base. An entry is nil if the
	// whole configuration should be sent instead.
	diffs map[uint64]*configDiff
}

// add adds a newer configuration. Earlier ones are dropped unless retainFormer is set.
func (h *configHistory) add(item deltasync.Item, retainFormer bool) {
	if !retainFormer {
		h.configs = nil
	}
	h.configs = append(h.configs, item)
	h.diffs = map[uint64]*configDiff{}
	bytes := 0
	for i := len(h.configs) - 2; i >= 0; i-- {
		bytes += len(h.configs[i].Data)
		if bytes > maxFormerConfigBytes || len(h.configs)-1-i > maxFormerConfigs {
			h.configs = slices.Delete(h.configs, 0, i+1)
			return
		}
	}
}

// data returns the data of the configuration with a given version, or nil if it is not in the history.
func (h *configHistory) data(version uint64) []byte {
	for i := range h.configs {
		if h.configs[i].Version == version {
			return h.configs[i].Data
		}
	}
	return nil
}

// diff returns the diff from a version to the newest one, or nil if the whole configuration should be sent.
// The result must not be changed.
func (h *configHistory) diff(from uint64) *configDiff {
	base := h.data(from)
	if base == nil {
		return nil
	}
	diff, isCached := h.diffs[from]
	if !isCached {
		diff = computeConfigDiff(from, base, h.configs[len(h.configs)-1])
		h.diffs[from] = diff
	}
	return diff
}

// computeConfigDiff returns the diff from a configuration to the newest one, or nil if the whole
// configuration should be sent.
func computeConfigDiff(from uint64, base []byte, newest deltasync.Item) *configDiff {
	content, ok := bindiff.Compute(base, newest.Data)
	if !ok {
		return nil
	}
	return &configDiff{From: from, To: newest.Version, Content: content}
}

// extract removes the configuration from deltas if it can be sent as a diff to the receiver's version. It
// returns the diff, or nil, and the remaining deltas.
func (h *configHistory) extract(deltas []deltasync.Delta) (*configDiff, []deltasync.Delta) {
	i := slices.IndexFunc(deltas, func(delta deltasync.Delta) bool { return delta.Source == configSource })
	if i < 0 {
		return nil, deltas
	}
	diff := h.diff(deltas[i].From)
	if diff == nil || diff.To != deltas[i].To {
		return nil, deltas
	}
	return diff, slices.Delete(deltas, i, i+1)
}

// restoreConfig adds the configuration that a message carries as a diff to the message's deltas. After an error
// this node accepts no diffs until it has received a configuration.
func (n *Node) restoreConfig(m *message) error {
	diff := m.ConfigDiff
	if diff == nil {
		return nil
	}
	restoredDelta := deltasync.Delta{Source: configSource, From: diff.From, To: diff.To}
	n.mu.Lock()
	currentVersion, base := n.items.Version(configSource), n.configHistory.data(diff.From)
	n.mu.Unlock()
	if diff.To > currentVersion { // otherwise the delta without items just shows which version the peer has
		data, err := diff.apply(base)
		if err != nil {
			n.requireWholeConfig()
			return err
		}
		restoredDelta.Items = []deltasync.Item{{Key: configKey, Version: diff.To, Data: data}}
	}
	m.Deltas = append(m.Deltas, restoredDelta)
	return nil
}

// requireWholeConfig makes this node's next hellos decline configuration diffs.
func (n *Node) requireWholeConfig() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.needsWholeConfig = true
}

// apply returns the data that results from applying the diff to a base.
func (d *configDiff) apply(base []byte) ([]byte, error) {
	if base == nil {
		return nil, errUnknownConfigBase
	}
	return d.Content.Apply(base)
}
