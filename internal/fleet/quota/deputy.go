package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// Each member of the core gives half of its share to one agent beside the core, its deputy, so that
// requests are admitted also while the whole core is lost, by all machines at once or one after the
// other. A deputy holds its half for a term that counts from its question; the member gives that half
// to nobody else, and does not use it itself, before the term is certainly over.

const (
	// deputyTerm is for how long a deputy holds its part after it last asked, and deputyMargin how much
	// longer the member counts on it: their clocks may run at slightly different rates.
	deputyTerm   = 4500 * time.Millisecond
	deputyMargin = 500 * time.Millisecond
	// deputyRenewal is the time between two questions of a deputy, candidateInterval that of an agent
	// that was told that there is one, and soonInterval that of one that was told to ask again soon. Up
	// to the same again is added at random to the last two.
	deputyRenewal     = 700 * time.Millisecond
	candidateInterval = 4 * time.Second
	soonInterval      = 400 * time.Millisecond
	// candidateTick is how often it is looked whether a question is due.
	candidateTick = 200 * time.Millisecond
	// deputizeTimeout bounds a question.
	deputizeTimeout = 300 * time.Millisecond
)

// deputizeRequest asks a member of the core to be its deputy, or to stay it.
type deputizeRequest struct {
	Addr string `msgpack:"a"` // of the agent that asks
	// Renewal: it is the deputy of the member, and its term is not over.
	Renewal bool `msgpack:"r,omitempty"`
}

// deputizeResponse answers it.
type deputizeResponse struct {
	Divisor int `msgpack:"d"` // the deputy has one of so many equal shares; 0: it is none
	// Soon: there is no deputy yet that is known, but one may be appointed soon.
	Soon bool `msgpack:"s,omitempty"`
}

// deputy is the deputy of a member of the core.
type deputy struct {
	addr  string        // "": none is known
	until time.Duration // when its term is over
}

// appointment is this process's own term as a deputy.
type appointment struct {
	until     time.Duration
	divisor   int
	by        string // address of the member
	nextAsk   time.Duration
	published bool
}

// divisor returns of how many equal shares this process has one, and whether it admits requests by it.
func (b *Broker) divisor() (int, bool) {
	if b.options.Core.IsMember() {
		members := len(b.options.Core.MemberAddrs())
		if members == 0 || !b.options.Core.Confirmed() {
			return 0, false
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.now() < b.deputy.until {
			return 2 * members, true
		}
		return members, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.appointed.divisor, b.now() < b.appointed.until
}

// handleDeputize appoints the agent that asks, or prolongs its term, if there is no other deputy. The
// appointment is on disk before it is answered: after a restart this member waits for the deputy, or
// until its term is certainly over.
func (b *Broker) handleDeputize(_ context.Context, request *deputizeRequest) (*deputizeResponse, error) {
	if !b.options.Core.IsMember() || request.Addr == "" {
		return &deputizeResponse{}, nil
	}
	if !b.options.Core.Confirmed() {
		return &deputizeResponse{Soon: true}, nil
	}
	members := len(b.options.Core.MemberAddrs())
	if refusal := b.reserveDeputy(request); refusal != nil {
		return refusal, nil
	}
	recorded := b.recordDeputy(request.Addr)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.appointing == request.Addr {
		b.appointing = ""
	}
	if !recorded {
		return &deputizeResponse{Soon: true}, nil
	}
	now := b.now()
	b.deputy = deputy{addr: request.Addr, until: now + deputyTerm + deputyMargin}
	b.ledger.SetDivisor(now, 2*members)
	return &deputizeResponse{Divisor: b.ledger.Divisor()}, nil
}

// reserveDeputy reserves the place of the deputy for the agent that asks. It returns the answer if
// another agent has the place.
func (b *Broker) reserveDeputy(request *deputizeRequest) (refusal *deputizeResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	earlier := b.deputy.addr == "" && request.Renewal // appointed by an earlier process on this machine
	if b.now() < b.deputy.until && b.deputy.addr != request.Addr && !earlier {
		return &deputizeResponse{Soon: b.deputy.addr == ""}
	}
	if b.appointing != "" && b.appointing != request.Addr {
		return &deputizeResponse{Soon: true}
	}
	b.appointing = request.Addr
	return nil
}

// recordDeputy has the newest record on disk name the agent that is being appointed, and reports
// whether it does. A process without a disk has nothing to record.
func (b *Broker) recordDeputy(addr string) bool {
	b.mu.Lock()
	recorded := b.options.SaveRecord == nil || b.recordedDeputy == addr
	b.mu.Unlock()
	if recorded {
		return true
	}
	_, err := b.writeRecord()
	return err == nil
}

// Run asks to be a deputy while this process is no member of the core, and records what a member has to
// know after a restart, until ctx ends. It returns nil.
func (b *Broker) Run(ctx context.Context) error {
	if b.options.SaveRecord != nil {
		var recorder sync.WaitGroup
		recorder.Go(func() { b.runRecorder(ctx) })
		defer recorder.Wait()
	}
	ticker := time.NewTicker(candidateTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if b.questionDue() {
			b.askToBeDeputy(ctx)
		}
		b.publishAppointment()
	}
}

// questionDue reports whether it is time to ask.
func (b *Broker) questionDue() bool {
	if b.options.Core.IsMember() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now() >= b.appointed.nextAsk
}

// askToBeDeputy asks the member of the core that this agent prefers.
func (b *Broker) askToBeDeputy(ctx context.Context) {
	members := b.options.Core.MemberAddrs()
	if len(members) == 0 {
		return
	}
	begun := b.now()
	ctx, cancel := context.WithTimeout(ctx, deputizeTimeout)
	defer cancel()
	request := &deputizeRequest{Addr: b.options.SelfAddr, Renewal: b.isDeputyOf(members[0], begun)}
	response, err := rpc.Call[deputizeRequest, deputizeResponse](ctx, b.options.Pool, members[0], callDeputize, request)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil: // the term that it may have goes on
		b.appointed.nextAsk = begun + deputyRenewal
	case response.Divisor > 0:
		b.ledger.SetDivisor(begun, response.Divisor)
		if begun >= b.appointed.until {
			b.ledger.Restart(begun)
		}
		b.appointed.until, b.appointed.divisor, b.appointed.by = begun+deputyTerm, response.Divisor, members[0]
		b.appointed.nextAsk = begun + deputyRenewal
	case response.Soon:
		b.appointed.nextAsk = begun + soonInterval + rand.N(soonInterval)
	default:
		b.appointed.nextAsk = begun + candidateInterval + rand.N(candidateInterval)
	}
}

// isDeputyOf reports whether this process's term at a member is not over.
func (b *Broker) isDeputyOf(member string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.appointed.by == member && now < b.appointed.until
}

// publishAppointment publishes a change of whether this process is a deputy.
func (b *Broker) publishAppointment() {
	_, admits := b.divisor()
	deputy := admits && !b.options.Core.IsMember()
	b.mu.Lock()
	changed := deputy != b.appointed.published
	b.appointed.published = deputy
	b.mu.Unlock()
	if changed {
		b.options.Core.PublishDeputy(deputy)
	}
}
