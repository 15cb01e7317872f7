package relay

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/testbed/pipenetwork"
)

// countingDialer counts the dials.
type countingDialer struct {
	pipenetwork.Network
	mu    sync.Mutex
	dials int
}

func (d *countingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	d.mu.Unlock()
	return d.Network.Dial(ctx, addr)
}

// An agent that all relays refuse dials ever more rarely.
func TestRefusedAgentBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &countingDialer{Network: pipenetwork.Network{}}
		var peers []Peer
		var servers sync.WaitGroup
		serving, stop := context.WithCancel(t.Context())
		for i := range 6 {
			addr := fmt.Sprintf("10.0.0.%d:7300", i+1)
			peers = append(peers, Peer{Addr: addr, Zone: "z"})
			mux := rpc.NewMux()
			admission := newSessionAdmission(0)
			rpc.HandleStream(mux, sessionCall, admission.refuse)
			l := dialer.Listen(addr)
			servers.Go(func() { _ = rpc.Serve(serving, l, mux, rpc.ServerOptions{}) })
		}
		agent := New(Options{Self: *benchMember(0), HeartbeatInterval: time.Second, Core: newFakeCore(false, false, peers...),
			SeedAddrs: func() []string { return []string{peers[0].Addr} }, Dialer: dialer, OnChange: func(*Snapshot) {}})
		ctx, cancel := context.WithTimeout(t.Context(), redialWarmUp+redialPeriod)
		defer cancel()
		before := 0
		time.AfterFunc(redialWarmUp, func() { dialer.mu.Lock(); before = dialer.dials; dialer.mu.Unlock() })
		agent.dialLoop(ctx)
		rate := float64(dialer.dials-before) / redialPeriod.Seconds()
		stop()
		servers.Wait()
		assert.LessOrEqual(t, rate, maxRedialsPerSecond)
	})
}

// maxWaitForRelay is how long an agent may be without a relay in calm times.
const maxWaitForRelay = 5 * time.Second

// slowConn reads at a bounded rate, as behind a squeezed link.
type slowConn struct{ net.Conn }

// A slowConn reads slowBytes after each slowPause: 20 KB a second.
const slowBytes, slowPause = 1 << 10, 50 * time.Millisecond

func (c slowConn) Read(p []byte) (int, error) {
	<-time.After(slowPause)
	if len(p) > slowBytes {
		p = p[:slowBytes]
	}
	return c.Conn.Read(p)
}

// slowDialer opens connections that read at a bounded rate.
type slowDialer struct{ pipenetwork.Network }

func (d slowDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := d.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return slowConn{conn}, nil
}

func randomData(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}

// Agents behind squeezed links that return don't keep others out for longer than contact-ms.
func TestSlowAgentsDontHoldAllSlots(t *testing.T) {
	for _, slow := range []int{0, 12, 50, 100} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			withOverloadedMember(t, func(t *testing.T, member *overloadedMember) {
				member.core.release()
				member.items.Apply(fleetDeltas(300))
				for i := range 240 {
					member.items.Put(fmt.Sprint("server/", i), randomData(150))
				}
				member.MarkConfigCurrent()
				running, stop := context.WithCancel(t.Context())
				var agents sync.WaitGroup
				newAgent := func(name string, dialer rpc.Dialer) *Node {
					return New(Options{Self: Member{Name: name, Addr: name + ":1"}, HeartbeatInterval: time.Second, Core: newFakeCore(false, false, member.core.Members()...),
						SeedAddrs: func() []string { return []string{overloadedAddr} }, Dialer: dialer, OnChange: func(*Snapshot) {}})
				}
				for i := range slow {
					agent := newAgent(fmt.Sprint("slow-", i), slowDialer{member.network})
					agents.Go(func() { agent.dialLoop(running) })
				}
				<-time.After(1500 * time.Millisecond)
				begin := time.Now()
				healthy := make([]*Node, 10)
				for i := range healthy {
					healthy[i] = newAgent(fmt.Sprint("healthy-", i), member.network)
					agents.Go(func() { healthy[i].dialLoop(running) })
				}
				synced := 0
				for time.Since(begin) < 30*time.Second && synced < len(healthy) {
					<-time.After(50 * time.Millisecond)
					synced = 0
					for _, h := range healthy {
						if h.hasUpdatedRelay() {
							synced++
						}
					}
				}
				took := time.Since(begin)
				stop()
				agents.Wait()
				require.LessOrEqual(t, took, maxWaitForRelay)
			})
		})
	}
}
