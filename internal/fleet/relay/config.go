package relay

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// The configuration is a source of its own, which all members of the core write alike: its versions
// are the sequence numbers of the core's chain.
const configSource, configKey = "config", "c"

// configItem is a committed configuration as it is replicated.
type configItem struct {
	Seq uint64 `msgpack:"s"` // its position in the core's chain
	Raw []byte `msgpack:"r"` // the JSON document as it was submitted
}

// configState is the configuration in force.
type configState struct {
	seq      uint64
	document *config.Document // nil before the first
}

// revision is the operators' revision of the configuration, 0 before the first.
func (c *configState) revision() int64 {
	if c.document == nil {
		return 0
	}
	return c.document.Revision
}

// ApplyConfig puts a configuration into force that the core has committed, and replicates it. Older
// ones than the one in force are ignored.
func (n *Node) ApplyConfig(seq uint64, raw []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.items.Version(configSource)
	if seq <= current {
		return
	}
	item := deltasync.Item{Key: configKey, Version: seq, Data: encode(&configItem{seq, raw})}
	n.applyDeltasLocked([]deltasync.Delta{{Source: configSource, From: current, To: seq, Items: []deltasync.Item{item}}})
}

// ConfigSeq returns the position of the configuration in force in the core's chain, 0 before the first.
func (n *Node) ConfigSeq() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.seq
}

// CommittedConfig returns the configuration of a sequence number as it was submitted, once it is here. It reports
// false if ctx ends before, and if there is a newer one.
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

// submittedConfig returns the document of an item if it has a sequence number.
func submittedConfig(data []byte, seq uint64) (raw []byte, found bool) {
	var committed configItem
	if err := msgpack.Unmarshal(data, &committed); err != nil || committed.Seq != seq {
		return nil, false
	}
	return committed.Raw, true
}

// MarkConfigCurrent records that every configuration that the core had committed at the time of
// some read since the start has been applied.
func (n *Node) MarkConfigCurrent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readiness.configCurrent = true
	logevent.NewestConfigConfirmed.Log("after", n.now()-clockStart)
}

// applyConfigItemLocked puts a replicated configuration into force, unless it is older or invalid.
func (n *Node) applyConfigItemLocked(item deltasync.Item) {
	var committed configItem
	if err := msgpack.Unmarshal(item.Data, &committed); err != nil || committed.Seq <= n.config.seq || committed.Seq != item.Version {
		return
	}
	document, err := config.Parse(committed.Raw)
	if err != nil {
		logevent.ConfigUnreadable.Error(err, "seq", committed.Seq)
		return
	}
	n.config = configState{committed.Seq, document}
	logevent.ConfigApplied.Log("seq", committed.Seq, "revision", document.Revision)
}
