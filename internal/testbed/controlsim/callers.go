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
	// echoEvery is the pause between two calls of one caller, echoWait bounds a call, echoSize its body.
	echoEvery, echoWait, echoSize = 40 * time.Millisecond, 300 * time.Millisecond, 32 << 10
	// echoLag bounds how long the called process takes.
	echoLag = 40 * time.Millisecond
)

// echo is a question and, by the same token, its answer.
type echo struct {
	Token string `msgpack:"t"`
	Body  string `msgpack:"b"`
}

// declareEcho has a process answer with what it was asked, after a little time.
func declareEcho(t *rpc.Mux, random *rand.Rand) {
	lags := make(chan time.Duration, 1)
	lags <- 0
	rpc.HandleUnary(t, echoCall, func(ctx context.Context, q *echo) (*echo, error) {
		<-lags
		lag := time.Duration(random.Int64N(int64(echoLag)))
		lags <- lag
		pause(ctx, lag)
		return q, ctx.Err()
	})
}

// caller calls other processes over the pool of its own process and looks at whose answer comes.
type caller struct {
	run    *run
	index  int
	random *rand.Rand
}

// work goes on until ctx ends.
func (c *caller) work(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		from, to := c.run.pick(c.random, nil), c.run.pick(c.random, nil)
		if from != nil && to != nil && from != to {
			c.ask(ctx, from, to, fmt.Sprintf("%d.%d", c.index, n))
		}
		pause(ctx, echoEvery)
	}
}

func (c *caller) ask(ctx context.Context, from, to *process, token string) {
	ctx, cancel := context.WithTimeout(ctx, echoWait/10+time.Duration(c.random.Int64N(int64(echoWait))))
	defer cancel()
	q := &echo{Token: token, Body: strings.Repeat(token[len(token)-1:], c.random.IntN(echoSize))}
	a, err := rpc.Call[echo, echo](ctx, from.pool, to.machine.host.addr, echoCall, q)
	if err == nil && *a != *q {
		c.run.referee.violate(from.machine.name, "call %s of %s got the answer of call %s", token, to.machine.name, a.Token)
	}
	c.run.referee.called(err == nil)
}
