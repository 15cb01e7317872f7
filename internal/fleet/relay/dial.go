package relay

import (
	"context"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// dialLoop keeps the sessions that this agent begins: a machine of the core with all others whose
// address is above its own, any other agent with one hub.
func (h *Node) dialLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	running := map[string]bool{} // by address
	var mu sync.Mutex
	turn := 0
	for ctx.Err() == nil {
		want := h.dialTargets(turn)
		mu.Lock()
		for _, addr := range want {
			if running[addr] {
				continue
			}
			running[addr] = true
			wg.Go(func() {
				h.dialSession(ctx, addr)
				mu.Lock()
				delete(running, addr)
				mu.Unlock()
			})
		}
		mu.Unlock()
		if turn++; len(want) == 0 {
			turn = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func (h *Node) dialSession(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(helloTimeout, cancel)
	st, hangUp, err := rpc.OpenStreamWithDialer[message, message](ctx, h.options.Dialer, addr, "feed.session")
	if err != nil {
		return
	}
	defer hangUp()
	core := h.options.Core.IsMember()
	h.mu.Lock()
	mine := &hello{Source: h.items.OwnSource(), Addr: h.options.Self.Addr, IsCore: core, Vector: h.items.Vector()}
	h.mu.Unlock()
	if st.Send(&message{Hello: mine, IsCore: core, HasQuorum: h.options.Core.HasQuorum()}) != nil {
		return
	}
	m, err := st.Recv()
	if err != nil || !late.Stop() {
		return
	}
	if m.Hello == nil {
		h.mu.Lock()
		h.redirectAddrs = nil
		for _, p := range m.Redirect[:min(len(m.Redirect), 16)] {
			h.redirectAddrs = append(h.redirectAddrs, p.Addr)
		}
		h.mu.Unlock()
		return
	}
	if m.Hello.validate() != nil {
		return
	}
	logevent.SessionStarted.Log("peer", addr)
	err = h.runSession(ctx, st, m.Hello, addr, mine, m)
	logevent.SessionEnded.Log("peer", addr, "err", err)
}
