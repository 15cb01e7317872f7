package relay

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// Config is the newest committed configuration.
type Config struct {
	Seq uint64 `msgpack:"s"`
	Raw []byte `msgpack:"r"`
}

func (h *Hub) foldConfig(it deltasync.Item) {
	var cfg Config
	if err := msgpack.Unmarshal(it.Data, &cfg); err != nil || cfg.Seq <= h.seq || cfg.Seq != it.Ver {
		return
	}
	doc, err := config.Parse(cfg.Raw)
	if err != nil {
		logevent.ConfigBad.Error(err, "seq", cfg.Seq)
		return
	}
	h.seq, h.doc = cfg.Seq, doc
	logevent.ConfigInForce.Log("seq", cfg.Seq, "revision", doc.Revision)
}

// Commit takes a configuration that the core has committed. Older ones are passed over.
func (h *Hub) Commit(seq uint64, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if seq <= h.set.Version(configSource) {
		return
	}
	h.apply([]deltasync.Delta{{Source: configSource, From: h.set.Version(configSource), Upto: seq,
		Items: []deltasync.Item{{Key: configKey, Ver: seq, Data: encode(&Config{seq, raw})}}}})
}

// Newest takes that all configurations up to now have been committed here.
func (h *Hub) Newest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = true
	logevent.NewestRead.Log("after", h.now()-time.Second)
}
