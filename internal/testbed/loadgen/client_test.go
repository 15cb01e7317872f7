package loadgen

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

// killedAgent starts a server that closes each connection at once, as the kernel closes those of a killed process.
// Some are closed before the client has written anything.
func killedAgent(t *testing.T) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepting sync.WaitGroup
	accepting.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	})
	t.Cleanup(func() {
		ln.Close()
		accepting.Wait()
	})
	return ln.Addr().String()
}

// Drops by a killed agent are no violations, whether or not it received the request. If the agent was not
// killed, each drop is a violation.
func TestDropsOfAKilledAgent(t *testing.T) {
	const requests = 300
	cfg := config()
	cfg.Retry.Enabled = false
	log := referee.NewLog()
	client := NewClient(cfg, "n1", killedAgent(t), 0, log, NewTries())
	defer client.Close()
	killedAt := log.Now()
	for i := range requests {
		client.Run(context.Background(), []*PlannedRequest{{Number: i}}, func(o Outcome) {
			if o.Verdict != Failed {
				t.Errorf("request %d: %v", i, o.Verdict)
			}
		})
	}
	events := log.Events()
	unwritten, withSockets := 0, 0
	asked := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case referee.Asked:
			asked[e.Request] = true
		case referee.Dropped:
			if !asked[e.Request] {
				unwritten++
			}
			if strings.Contains(e.Detail, client.addr+" to 0.0.0.0:0 LISTEN") {
				withSockets++
			}
			if e.ConnectedAt < killedAt || e.ConnectedAt > e.At || e.Detail == "" {
				t.Errorf("connected at %v: %v", e.ConnectedAt, e)
			}
		}
	}
	t.Logf("%d of %d connections ended before anything was written", unwritten, requests)
	if withSockets != maxSocketReads {
		t.Errorf("the agent's sockets were read %d times, want %d", withSockets, maxSocketReads)
	}
	rules, end := referee.Rules{Slack: time.Second}, log.Now()
	if broken := referee.Check(events, rules, end); len(broken) != requests {
		t.Errorf("%d violations without a kill, want %d", len(broken), requests)
	}
	killed := append(events, referee.Event{At: killedAt, Kind: referee.Killed, Agent: "n1", Deadline: end})
	if broken := referee.Check(killed, rules, end); len(broken) > 0 {
		t.Errorf("%d violations although the agent was killed, the first: %v", len(broken), broken[0])
	}
}
