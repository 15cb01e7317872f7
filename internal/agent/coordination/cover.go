package coordination

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
)

// The table of a voter's cover, and the version of its form: a span in nanoseconds since the
// generation was saved.
const (
	tableCover, keyCover, versionCover = "cover", "until", 1
	// mostCover bounds a span that is believed: twice the longest promise that any settings allow.
	mostCover = time.Hour
)

// cover keeps on disk until when a voter's promises may stand. One write is under way at a
// time, on a goroutine of its own: a slow disk holds up promises and nothing else.
type cover struct {
	store *snapshot.Store
	saved chan result // of the write under way
	all   sync.WaitGroup
	busy  bool
}

type result struct {
	until time.Duration
	err   error
}

// openCover opens a voter's folder and tells for how long promises of earlier lives may stand,
// also where those had longer leases than this one's settings; whole where that is not known. Until what it says is on disk again nothing may be promised.
func openCover(dir string, whole time.Duration) (c *cover, left time.Duration, err error) {
	store, g, problems, err := snapshot.Open(dir, snapshot.Now)
	for _, p := range problems {
		slog.Warn("vote: cover not believed", "where", p.Where, "why", p.Why)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("vote: cover: %w", err)
	}
	left = whole
	if g != nil && g.Dated && g.Whole && len(problems) == 0 {
		if r, ok := g.Tables[tableCover][keyCover]; ok && r.Version == versionCover && len(r.Value) == 8 {
			if span := time.Duration(binary.BigEndian.Uint64(r.Value)); span >= 0 && span <= mostCover {
				left = max(span-g.Age, 0)
			}
		}
	}
	c = &cover{store: store, saved: make(chan result, 1)}
	// What this life is silent for is known to the next one, too.
	if err := c.save(left); err != nil {
		return nil, 0, errors.Join(fmt.Errorf("vote: cover: %w", err), store.Close())
	}
	slog.Info("vote: cover", "dir", dir, "left", left.String())
	return c, left, nil
}

func (c *cover) save(span time.Duration) error {
	raw := binary.BigEndian.AppendUint64(nil, uint64(span))
	return c.store.Save(snapshot.Tables{tableCover: {keyCover: {Version: versionCover, Value: raw}}})
}

// extend begins to write that promises may stand until a time; what is asked for during
// another write is asked for again.
func (c *cover) extend(now, until time.Duration) {
	if c.busy {
		return
	}
	c.busy = true
	c.all.Add(1)
	go func() {
		defer c.all.Done()
		c.saved <- result{until, c.save(until - now)} // there is room: one is under way at a time
	}()
}

// close waits for the write under way.
func (c *cover) close() {
	c.all.Wait()
	if err := c.store.Close(); err != nil {
		slog.Warn("vote: cover not closed", "err", err)
	}
}
