package relay

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// configItem is the newest committed configuration.
type configItem struct {
	Seq uint64 `msgpack:"s"`
	Raw []byte `msgpack:"r"`
}

func (h *Node) applyConfigItemLocked(it deltasync.Item) {
	var cfg configItem
	if err := msgpack.Unmarshal(it.Data, &cfg); err != nil || cfg.Seq <= h.configSeq || cfg.Seq != it.Version {
		return
	}
	doc, err := config.Parse(cfg.Raw)
	if err != nil {
		logevent.ConfigUnreadable.Error(err, "seq", cfg.Seq)
		return
	}
	h.configSeq, h.config = cfg.Seq, doc
	logevent.ConfigApplied.Log("seq", cfg.Seq, "revision", doc.Revision)
}

// ApplyConfig takes a configuration that the core has committed. Older ones are passed over.
func (h *Node) ApplyConfig(seq uint64, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if seq <= h.items.Version(configSource) {
		return
	}
	h.applyDeltasLocked([]deltasync.Delta{{Source: configSource, From: h.items.Version(configSource), To: seq,
		Items: []deltasync.Item{{Key: configKey, Version: seq, Data: encode(&configItem{seq, raw})}}}})
}

// MarkConfigCurrent takes that all configurations up to now have been committed here.
func (h *Node) MarkConfigCurrent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configCurrent = true
	logevent.NewestConfigConfirmed.Log("after", h.now()-time.Second)
}
