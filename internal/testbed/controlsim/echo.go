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
	// echoInterval is the pause between two calls of one caller, echoTimeout bounds a call, maxEchoBytes its body.
	echoInterval, echoTimeout, maxEchoBytes = 40 * time.Millisecond, 300 * time.Millisecond, 32 << 10
	// maxEchoDelay bounds how long the called process takes.
	maxEchoDelay = 40 * time.Millisecond
)

// echo is a question and, by the same token, its answer.
type echo struct {
	Token string `msgpack:"t"`
	Body  string `msgpack:"b"`
}

// registerEchoHandler has a process answer with what it was asked, after a little time.
func registerEchoHandler(t *rpc.Mux, random *rand.Rand) {
	lags := make(chan time.Duration, 1)
	lags <- 0
	rpc.HandleUnary(t, echoCall, func(ctx context.Context, q *echo) (*echo, error) {
		<-lags
		lag := time.Duration(random.Int64N(int64(maxEchoDelay)))
		lags <- lag
		sleep(ctx, lag)
		return q, ctx.Err()
	})
}

// echoClient calls other processes over the pool of its own process and looks at whose answer comes.
type echoClient struct {
	sim    *simulation
	index  int
	random *rand.Rand
}

// run goes on until ctx ends.
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
	ctx, cancel := context.WithTimeout(ctx, echoTimeout/10+time.Duration(c.random.Int64N(int64(echoTimeout))))
	defer cancel()
	q := &echo{Token: token, Body: strings.Repeat(token[len(token)-1:], c.random.IntN(maxEchoBytes))}
	a, err := rpc.Call[echo, echo](ctx, from.pool, to.machine.host.addr, echoCall, q)
	if err == nil && *a != *q {
		c.sim.checker.reportViolation(from.machine.name, "call %s of %s got the answer of call %s", token, to.machine.name, a.Token)
	}
	c.sim.checker.callCompleted(err == nil)
}
