package controlsim

import (
	"context"
	"time"
)

// clientDelay is the one-way latency between a client and a machine.
const clientDelay = 3 * time.Millisecond

// externalCall calls a process from outside the fleet and tells whether the caller gets a response before the timeout.
// There is no response if the process is killed or paused during the call, even if the call took effect.
func externalCall(ctx context.Context, p *process, timeout time.Duration, call func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sleep(ctx, clientDelay)
	if p.machine.host.waitResumed(ctx) != nil || p.ended.Load() {
		return false
	}
	if !call(ctx) {
		return false
	}
	sleep(ctx, clientDelay)
	return p.machine.host.waitResumed(ctx) == nil && !p.ended.Load() && ctx.Err() == nil
}
