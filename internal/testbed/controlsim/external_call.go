package controlsim

import (
	"context"
	"time"
)

// clientDelay is the latency between a client and a machine, one way.
const clientDelay = 3 * time.Millisecond

// externalCall calls a process from outside the fleet. It tells whether the caller gets a response in time: none
// comes from a process that was killed or is paused meanwhile, even if the call took effect.
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
