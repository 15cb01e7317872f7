package controlsim

import (
	"context"
	"time"
)

// externalCall makes a call from outside to a process. Its answer counts while the process lives, is not
// frozen and the caller waits.
func externalCall(ctx context.Context, p *process, wait time.Duration, call func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
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
