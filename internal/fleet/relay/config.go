package relay

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// The configuration is a source of its own. All members of the core write the same items to it, as its
// versions are the sequence numbers of the core's chain.
const configSource, configKey = "config", "c"

// configItem is a committed configuration as it is replicated.
type configItem struct {
	Seq uint64 `msgpack:"s"` // its sequence number in the core's chain
	Raw []byte `msgpack:"r"` // the JSON document as it was submitted
}

// configState is the configuration in force.
type configState struct {
	seq      uint64
	document *config.Document // nil before the first
}

// revision returns the operators' revision of the configuration, or 0 before the first one.
func (c *configState) revision() int64 {
	if c.document == nil {
		return 0
	}
	return c.document.Revision
}

// ApplyConfig puts a configuration that the core has committed into force and replicates it. It ignores a
// configuration that is not newer than the present one.
func (n *Node) ApplyConfig(seq uint64, raw []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	currentVersion := n.items.Version(configSource)
	if seq <= currentVersion {
		return
	}
	item := deltasync.Item{Key: configKey, Version: seq, Data: encode(&configItem{seq, raw})}
	n.applyDeltasLocked([]deltasync.Delta{{Source: configSource, From: currentVersion, To: seq, Items: []deltasync.Item{item}}})
}

// ConfigSeq returns the sequence number of the configuration in force, or 0 before the first one.
func (n *Node) ConfigSeq() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.seq
}

// CommittedConfig waits for the configuration with a given sequence number and returns it as it was submitted. It
// returns false if ctx ends first, or if this node already has a newer configuration.
func (n *Node) CommittedConfig(ctx context.Context, seq uint64) (raw []byte, found bool) {
	for {
		n.mu.Lock()
		version, data, changed := n.items.Version(configSource), n.items.Item(configSource, configKey), n.changed
		n.mu.Unlock()
		if version >= seq {
			return submittedConfig(data, seq)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// submittedConfig returns the document in an item's data if the item has the given sequence number.
func submittedConfig(data []byte, seq uint64) (raw []byte, found bool) {
	var committedItem configItem
	if err := msgpack.Unmarshal(data, &committedItem); err != nil || committedItem.Seq != seq {
		return nil, false
	}
	return committedItem.Raw, true
}

// MarkConfigCurrent records that the core has been read since this node's start, and that this node has
// applied every configuration that was committed at the time of the read.
func (n *Node) MarkConfigCurrent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readiness.configCurrent = true
	n.freshness.wakeConfirm() // the core has answered for the first time, so the first confirmation can succeed
	logevent.NewestConfigConfirmed.Log("after", n.now()-clockStart)
}

// applyConfigItemLocked puts a replicated configuration into force, unless it is older or invalid.
func (n *Node) applyConfigItemLocked(item deltasync.Item) {
	var committedItem configItem
	if err := msgpack.Unmarshal(item.Data, &committedItem); err != nil || committedItem.Seq <= n.config.seq || committedItem.Seq != item.Version {
		return
	}
	document, err := config.Parse(committedItem.Raw)
	if err != nil {
		logevent.ConfigUnreadable.Error(err, "seq", committedItem.Seq)
		return
	}
	n.config = configState{committedItem.Seq, document}
	logevent.ConfigApplied.Log("seq", committedItem.Seq, "revision", document.Revision)
}
