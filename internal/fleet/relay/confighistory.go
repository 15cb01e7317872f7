package relay

import (
	"slices"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/bindiff"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// maxFormerConfigs is how many configurations before the newest one a member of the core retains, and
	// maxFormerConfigBytes bounds their size.
	maxFormerConfigs     = 16
	maxFormerConfigBytes = 2 << 20
)

// errUnknownConfigBase reports a difference to a configuration that this node does not have.
var errUnknownConfigBase = errors.New("difference to a configuration that is not known here")

// configDiff is a configuration as what changed since one that the receiver has.
type configDiff struct {
	From    uint64       `msgpack:"f"` // version of the base
	To      uint64       `msgpack:"t"` // version of the result
	Content bindiff.Diff `msgpack:"c"` // between the data of their items
}

// configHistory is the newest configuration and those before it, so that a peer which has one of them is sent
// only what changed. It shares the newest one's data with the items.
type configHistory struct {
	configs []deltasync.Item // by rising version
	// diffs are those to the newest configuration that were computed, by the version of their base; nil where
	// the whole configuration is better.
	diffs map[uint64]*configDiff
}

// add takes a newer configuration. Former ones are retained only if they may be needed.
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

// data returns the data of the configuration of a version, nil if that is not known.
func (h *configHistory) data(version uint64) []byte {
	for i := range h.configs {
		if h.configs[i].Version == version {
			return h.configs[i].Data
		}
	}
	return nil
}

// diff returns the difference between a version and the newest one, nil if the whole configuration is to be
// sent. It must not be changed.
func (h *configHistory) diff(from uint64) *configDiff {
	base := h.data(from)
	if base == nil {
		return nil
	}
	diff, computed := h.diffs[from]
	if !computed {
		diff = computeConfigDiff(from, base, h.configs[len(h.configs)-1])
		h.diffs[from] = diff
	}
	return diff
}

// computeConfigDiff returns the difference between a configuration and an item with another one, or nil.
func computeConfigDiff(from uint64, base []byte, newest deltasync.Item) *configDiff {
	content, ok := bindiff.Compute(base, newest.Data)
	if !ok {
		return nil
	}
	return &configDiff{From: from, To: newest.Version, Content: content}
}

// extract takes the configuration out of deltas where the difference to what the receiver has is known, and
// returns that and the rest.
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

// restoreConfig puts the configuration that a message has as a difference among its deltas. After an error this
// node asks for whole configurations, until one has come.
func (n *Node) restoreConfig(m *message) error {
	diff := m.ConfigDiff
	if diff == nil {
		return nil
	}
	restored := deltasync.Delta{Source: configSource, From: diff.From, To: diff.To}
	n.mu.Lock()
	present, base := n.items.Version(configSource), n.configHistory.data(diff.From)
	n.mu.Unlock()
	if diff.To > present { // else the delta only tells what the peer has
		data, err := diff.apply(base)
		if err != nil {
			n.requireWholeConfig()
			return err
		}
		restored.Items = []deltasync.Item{{Key: configKey, Version: diff.To, Data: data}}
	}
	m.Deltas = append(m.Deltas, restored)
	return nil
}

// requireWholeConfig has the next sessions begin with a whole configuration.
func (n *Node) requireWholeConfig() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.needsWholeConfig = true
}

// apply returns the data that a difference to a base leads to.
func (d *configDiff) apply(base []byte) ([]byte, error) {
	if base == nil {
		return nil, errUnknownConfigBase
	}
	return d.Content.Apply(base)
}
