package relay

import (
	"context"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// dial keeps the sessions that this agent begins: a machine of the core with all others whose
// address is above its own, any other agent with one hub.
func (h *Hub) dial(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	running := map[string]bool{} // by address
	var mu sync.Mutex
	turn := 0
	for ctx.Err() == nil {
		want := h.wanted(turn)
		mu.Lock()
		for _, addr := range want {
			if running[addr] {
				continue
			}
			running[addr] = true
			wg.Go(func() {
				h.dialOne(ctx, addr)
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
		case <-time.After(redial):
		}
	}
}

func (h *Hub) dialOne(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(helloWithin, cancel)
	st, hangUp, err := rpc.OpenOver[message, message](ctx, h.o.Dialer, addr, "feed.session")
	if err != nil {
		return
	}
	defer hangUp()
	core := h.o.Core.IsCore()
	h.mu.Lock()
	mine := &hello{Source: h.set.OwnSource(), Addr: h.o.Self.Addr, Core: core, Vector: h.set.Vector()}
	h.mu.Unlock()
	if st.Send(&message{Hello: mine, Core: core, Linked: h.o.Core.Linked()}) != nil {
		return
	}
	m, err := st.Recv()
	if err != nil || !late.Stop() {
		return
	}
	if m.Hello == nil {
		h.mu.Lock()
		h.redirects = nil
		for _, p := range m.Redirect[:min(len(m.Redirect), 16)] {
			h.redirects = append(h.redirects, p.Addr)
		}
		h.mu.Unlock()
		return
	}
	if m.Hello.check() != nil {
		return
	}
	logevent.SessionBegun.Log("peer", addr)
	err = h.session(ctx, st, m.Hello, addr, mine, m)
	logevent.SessionOver.Log("peer", addr, "err", err)
}
