package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// returningAgents is the number of agents that start at the same moment, as after a loss of all power.
	returningAgents = 294
	// busyRelays is the size of the core.
	busyRelays = 6
	// helloWork is the processor time that a relay needs for each hello, whether its caller still waits or not.
	helloWork = 25 * time.Millisecond
	// returnLimit is the time in which all agents must have a session. The hellos of all agents take the core
	// returningAgents / busyRelays * helloWork, which is 1.2 s.
	returnLimit = 8 * time.Second
)

// busyRelay answers hellos one after the other, in the order of their arrival.
type busyRelay struct {
	connections chan net.Conn
	closed      chan struct{} // closed by close
	close       func()
	processor   chan struct{} // holds a token while a hello is handled; first come, first served
}

func newBusyRelay() *busyRelay {
	relay := &busyRelay{connections: make(chan net.Conn), closed: make(chan struct{}), processor: make(chan struct{}, 1)}
	relay.close = sync.OnceFunc(func() { close(relay.closed) })
	return relay
}

// Accept implements net.Listener.
func (r *busyRelay) Accept() (net.Conn, error) {
	select {
	case conn := <-r.connections:
		return conn, nil
	case <-r.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (r *busyRelay) Close() error {
	r.close()
	return nil
}

// Addr implements net.Listener.
func (r *busyRelay) Addr() net.Addr { return &net.TCPAddr{} }

// serveSession answers the hello of a session after helloWork, and then sends heartbeats.
func (r *busyRelay) serveSession(st *stream) error {
	firstMessage, err := st.Recv()
	if err != nil {
		return err
	}
	r.processor <- struct{}{}
	<-time.After(helloWork)
	<-r.processor
	answer := &message{Hello: &hello{Source: "relay/1", Addr: "relay"}, IsCore: true, HasQuorum: true}
	for st.Send(answer) == nil {
		answer = &message{IsCore: true, HasQuorum: true, Complete: true, ReceivedVersion: firstMessage.Hello.Vector[firstMessage.Hello.Source]}
		select {
		case <-st.Context().Done():
			return nil
		case <-time.After(heartbeatInterval):
		}
	}
	return nil
}

// busyCore is the Dialer of agents whose relays are busy.
type busyCore map[string]*busyRelay

// Dial implements rpc.Dialer.
func (c busyCore) Dial(ctx context.Context, address string) (net.Conn, error) {
	agentEnd, relayEnd := net.Pipe()
	select {
	case c[address].connections <- relayEnd:
		return agentEnd, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// All agents return to a busy core soon: their dials do not take up the time of relays that answer late.
func TestAgentsReturnToABusyCore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		core, peers := busyCore{}, []Peer(nil)
		for i := range busyRelays {
			relay := newBusyRelay()
			peers = append(peers, Peer{Addr: fmt.Sprint("relay-", i), Zone: fmt.Sprint(i)})
			core[peers[i].Addr] = relay
			mux := rpc.NewMux()
			rpc.HandleStream(mux, sessionCall, relay.serveSession)
			wg.Go(func() { _ = rpc.Serve(ctx, relay, mux, rpc.ServerOptions{}) })
		}
		var agents []*Node
		for i := range returningAgents {
			name := fmt.Sprint("agent-", i)
			agent := New(Options{Self: Member{Name: name, Addr: "addr of " + name, Zone: fmt.Sprint(i % busyRelays)}, HeartbeatInterval: time.Second,
				Core: newFakeCore(false, false, peers...), SeedAddrs: func() []string { return nil }, OnChange: func(*Snapshot) {}, Dialer: core})
			agents = append(agents, agent)
			wg.Go(func() { _ = agent.Run(ctx) })
		}
		<-time.After(returnLimit)
		synctest.Wait()
		returned := 0
		for _, agent := range agents {
			if len(agent.Report().Sessions) > 0 {
				returned++
			}
		}
		assert.Equal(t, returningAgents, returned, "agents that have a session after %v", returnLimit)
	})
}
