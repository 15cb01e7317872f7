package assembly

import (
	"context"
	"time"
)

const (
	// configAnswerTimeout bounds a read of the configuration for an operator, over all of its steps.
	configAnswerTimeout = 900 * time.Millisecond
	// localConfigWait is how long a read waits for a configuration that is on its way to this process before
	// it has the core send it.
	localConfigWait = 150 * time.Millisecond
)

// ConfigStore has the configurations that were replicated to this process; *relay.Node implements it.
type ConfigStore interface {
	// CommittedConfig returns the configuration of a sequence number as it was submitted, once it is here. It
	// reports false if ctx ends before, and if there is a newer one.
	CommittedConfig(ctx context.Context, seq uint64) (raw []byte, found bool)
}

// readConfig returns the newest acknowledged configuration as it was submitted; false if there is none. The core
// tells its number. Only a process that does not have that one has it sent, as it may be long: every agent may be
// asked at any time.
func readConfig(ctx context.Context, core ConfigSource, store ConfigStore) (raw []byte, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, configAnswerTimeout)
	defer cancel()
	seq, err := core.Confirm(ctx)
	if err != nil || seq == 0 {
		return nil, false, err
	}
	if raw, found := localConfig(ctx, store, seq); found {
		return raw, true, nil
	}
	newest, err := core.Read(ctx)
	return newest.Body, newest.Seq > 0, err
}

func localConfig(ctx context.Context, store ConfigStore, seq uint64) (raw []byte, found bool) {
	ctx, cancel := context.WithTimeout(ctx, localConfigWait)
	defer cancel()
	return store.CommittedConfig(ctx, seq)
}
