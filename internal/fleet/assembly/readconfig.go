package assembly

import (
	"context"
	"time"
)

const (
	// configAnswerTimeout bounds the total time of reading the configuration for an operator.
	configAnswerTimeout = 900 * time.Millisecond
	// localConfigWait is how long a read waits for the newest configuration to be replicated to this process
	// before it requests the configuration from the core.
	localConfigWait = 150 * time.Millisecond
)

// ConfigStore holds the newest configuration that was replicated to this process. *relay.Node implements it.
type ConfigStore interface {
	// CommittedConfig returns the configuration with a sequence number as it was submitted. It waits until that
	// configuration has been replicated to this process. It returns false if ctx ends first, or if this process
	// has a newer configuration.
	CommittedConfig(ctx context.Context, seq uint64) (raw []byte, found bool)
}

// readConfig returns the newest acknowledged configuration as it was submitted; found is false if there is none.
// The core confirms the sequence number of that configuration. As configurations may be large and every agent may
// be asked at any time, the configuration itself is requested from the core only if this process does not have it.
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

// localConfig returns the configuration with the sequence number seq from store. It waits up to localConfigWait
// for the configuration to be replicated.
func localConfig(ctx context.Context, store ConfigStore, seq uint64) (raw []byte, found bool) {
	ctx, cancel := context.WithTimeout(ctx, localConfigWait)
	defer cancel()
	return store.CommittedConfig(ctx, seq)
}
