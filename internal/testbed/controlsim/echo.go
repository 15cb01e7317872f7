package controlsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	echoCall = "controlsim.echo"
	// echoInterval is the pause between two calls of one client.
	echoInterval = 40 * time.Millisecond
	// The timeout of a call is random, from minEchoTimeout up to echoTimeoutRange more.
	minEchoTimeout, echoTimeoutRange = 30 * time.Millisecond, 300 * time.Millisecond
	// maxEchoBytes bounds the body of a call.
	maxEchoBytes = 32 << 10
	// maxEchoDelay bounds the delay of the called process.
	maxEchoDelay = 40 * time.Millisecond
)

// echo is both a request and its response. The token identifies the call.
type echo struct {
	Token string `msgpack:"t"`
	Body  string `msgpack:"b"`
}

// registerEchoHandler makes a process answer echo calls with the request after a random delay.
func registerEchoHandler(mux *rpc.Mux, random *rand.Rand) {
	// The lock is a channel because synctest doesn't count a goroutine that waits for a mutex as durably blocked.
	randomLock := make(chan struct{}, 1)
	randomLock <- struct{}{}
	rpc.HandleUnary(mux, echoCall, func(ctx context.Context, request *echo) (*echo, error) {
		<-randomLock
		delay := time.Duration(random.Int64N(int64(maxEchoDelay)))
		randomLock <- struct{}{}
		sleep(ctx, delay)
		return request, ctx.Err()
	})
}

// echoClient calls processes over the connection pools of other processes and checks that each response belongs
// to its request.
type echoClient struct {
	sim    *simulation
	index  int
	random *rand.Rand
}

// run makes calls until ctx ends.
func (c *echoClient) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		from, to := c.sim.pickProcess(c.random, nil), c.sim.pickProcess(c.random, nil)
		if from != nil && to != nil && from != to {
			c.call(ctx, from, to, fmt.Sprintf("%d.%d", c.index, n))
		}
		sleep(ctx, echoInterval)
	}
}

func (c *echoClient) call(ctx context.Context, from, to *process, token string) {
	ctx, cancel := context.WithTimeout(ctx, minEchoTimeout+time.Duration(c.random.Int64N(int64(echoTimeoutRange))))
	defer cancel()
	request := &echo{Token: token, Body: strings.Repeat(token[len(token)-1:], c.random.IntN(maxEchoBytes))}
	response, err := rpc.Call[echo, echo](ctx, from.pool, to.machine.host.addr, echoCall, request)
	if err == nil && *response != *request {
		c.sim.checker.reportViolation(from.machine.name, "call %s of %s got the response of call %s", token,
			to.machine.name, response.Token)
	}
	c.sim.checker.callCompleted(err == nil)
}
