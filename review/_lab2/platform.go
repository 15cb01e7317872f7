package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// platform asks each machine once a second whether it is ready, and gives no new connections to one that missed
// two questions until it answers 200 again.
type platform struct {
	mu     sync.Mutex
	misses map[*machine]int
}

// newPlatform starts to ask the machines until ctx ends.
func newPlatform(ctx context.Context, f *fleet) *platform {
	p := &platform{misses: map[*machine]int{}}
	for _, m := range f.machines {
		go func() {
			for ctx.Err() == nil {
				status, _, _ := call(ctx, "GET", fmt.Sprintf("%s:%d", m.ip, readinessPort), "/chalkdoor/ready", "", nil, 900*time.Millisecond)
				p.mu.Lock()
				if status == 200 {
					p.misses[m] = 0
				} else {
					p.misses[m]++
				}
				p.mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return p
}

// in returns those of the machines that get new connections.
func (p *platform) in(machines []*machine) []*machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*machine
	for _, m := range machines {
		if p.misses[m] < 2 {
			list = append(list, m)
		}
	}
	return list
}
