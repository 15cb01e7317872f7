package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// Each member of the core lends half of its share to one agent outside the core, its deputy. So requests
// are still admitted while the whole core is lost, whether all its machines fail at once or one after the
// other. A deputy holds its half for a term that starts when it sends its call. The member neither uses
// that half nor gives it to another agent until the term has certainly ended.

const (
	// deputyTerm is the time for which a deputy holds its half after its last call. deputyMargin is how much
	// longer the member reserves that half, since the two clocks may run at slightly different rates.
	deputyTerm   = 4500 * time.Millisecond
	deputyMargin = 500 * time.Millisecond
	// deputyRenewInterval is the time between two calls of a deputy. deputizeRetryInterval is the time until the
	// next call of an agent that got the answer that there is a deputy, and soonRetryInterval that of an agent that
	// was asked to try again soon. A random time of up to the same length is added to the last two.
	deputyRenewInterval   = 700 * time.Millisecond
	deputizeRetryInterval = 4 * time.Second
	soonRetryInterval     = 400 * time.Millisecond
	// deputizeCheckInterval is the interval at which an agent checks whether a call is due.
	deputizeCheckInterval = 200 * time.Millisecond
	// deputizeTimeout bounds one call.
	deputizeTimeout = 300 * time.Millisecond
)

// deputizeRequest asks a member of the core to make the caller its deputy, or to extend the caller's term.
type deputizeRequest struct {
	Addr string `msgpack:"a"` // address of the caller
	// Renewal is set if the caller is the deputy of the member and its term has not ended.
	Renewal bool `msgpack:"r,omitempty"`
}

// deputizeResponse is the response to a deputizeRequest.
type deputizeResponse struct {
	// Divisor is the number of equal shares that each quota is divided into, of which the deputy has one; 0 if
	// the caller is not the deputy.
	Divisor int `msgpack:"d"`
	// Soon is set if the caller should try again soon: no deputy is known at present, and one may be appointed.
	Soon bool `msgpack:"s,omitempty"`
}

// deputy is the deputy of a member of the core. Its zero value means that there is none.
type deputy struct {
	addr    string        // empty if it is unknown
	termEnd time.Duration // end of its term including the margin
}

// appointment is this process's own term as a deputy.
type appointment struct {
	termEnd   time.Duration // end of the term; 0 if there was none
	divisor   int           // number of equal shares that each quota is divided into
	member    string        // address of the member of the core
	nextCall  time.Duration // time of the next call
	published bool          // whether this process is published as a deputy
}

// divisor returns the number of equal shares that each quota is divided into, of which this process has one, and
// whether the process admits requests from it.
func (b *Broker) divisor() (int, bool) {
	if b.options.Core.IsMember() {
		members := len(b.options.Core.MemberAddrs())
		if members == 0 || !b.options.Core.Confirmed() {
			return 0, false
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.now() < b.deputy.termEnd {
			return 2 * members, true
		}
		return members, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.appointment.divisor, b.now() < b.appointment.termEnd
}

// handleDeputize appoints the caller, or extends its term, if there is no other deputy. The appointment is on
// disk before it is answered: so after a restart this member appoints no other agent before the term has
// certainly ended.
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
	if b.appointee == request.Addr {
		b.appointee = ""
	}
	if !recorded {
		return &deputizeResponse{Soon: true}, nil
	}
	now := b.now()
	b.deputy = deputy{addr: request.Addr, termEnd: now + deputyTerm + deputyMargin}
	b.ledger.SetDivisor(now, 2*members)
	return &deputizeResponse{Divisor: b.ledger.Divisor()}, nil
}

// reserveDeputy reserves the position of the deputy for the caller. If another agent has it, reserveDeputy returns
// the response to the caller.
func (b *Broker) reserveDeputy(request *deputizeRequest) (refusal *deputizeResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byEarlierProcess := b.deputy.addr == "" && request.Renewal // appointed by an earlier process on this machine
	if b.now() < b.deputy.termEnd && b.deputy.addr != request.Addr && !byEarlierProcess {
		return &deputizeResponse{Soon: b.deputy.addr == ""}
	}
	if b.appointee != "" && b.appointee != request.Addr {
		return &deputizeResponse{Soon: true}
	}
	b.appointee = request.Addr
	return nil
}

// recordDeputy makes sure that the newest record on disk names the agent that is being appointed, and reports
// whether it does. Without a disk there is nothing to record.
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

// Run asks to be a deputy while this process is not a member of the core, and writes the records that a member
// needs after a restart, until ctx ends. It returns nil.
func (b *Broker) Run(ctx context.Context) error {
	if b.options.SaveRecord != nil {
		var recorder sync.WaitGroup
		recorder.Go(func() { b.runRecorder(ctx) })
		defer recorder.Wait()
	}
	ticker := time.NewTicker(deputizeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if b.deputizeDue() {
			b.askToBeDeputy(ctx)
		}
		b.publishAppointment()
	}
}

// deputizeDue reports whether a call to become or stay a deputy is due.
func (b *Broker) deputizeDue() bool {
	if b.options.Core.IsMember() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now() >= b.appointment.nextCall
}

// askToBeDeputy calls the member of the core that this agent prefers.
func (b *Broker) askToBeDeputy(ctx context.Context) {
	members := b.options.Core.MemberAddrs()
	if len(members) == 0 {
		return
	}
	calledAt := b.now()
	ctx, cancel := context.WithTimeout(ctx, deputizeTimeout)
	defer cancel()
	request := &deputizeRequest{Addr: b.options.SelfAddr, Renewal: b.isDeputyOf(members[0], calledAt)}
	response, err := rpc.Call[deputizeRequest, deputizeResponse](ctx, b.options.Pool, members[0], callDeputize, request)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil: // a current term continues
		b.appointment.nextCall = calledAt + deputyRenewInterval
	case response.Divisor > 0:
		b.ledger.SetDivisor(calledAt, response.Divisor)
		if calledAt >= b.appointment.termEnd {
			b.ledger.Restart(calledAt)
		}
		b.appointment.termEnd, b.appointment.divisor, b.appointment.member =
			calledAt+deputyTerm, response.Divisor, members[0]
		b.appointment.nextCall = calledAt + deputyRenewInterval
	case response.Soon:
		b.appointment.nextCall = calledAt + soonRetryInterval + rand.N(soonRetryInterval)
	default:
		b.appointment.nextCall = calledAt + deputizeRetryInterval + rand.N(deputizeRetryInterval)
	}
}

// isDeputyOf reports whether this process is the deputy of a member, and its term has not ended.
func (b *Broker) isDeputyOf(member string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.appointment.member == member && now < b.appointment.termEnd
}

// publishAppointment publishes whether this process is a deputy, if that has changed.
func (b *Broker) publishAppointment() {
	_, admits := b.divisor()
	deputy := admits && !b.options.Core.IsMember()
	b.mu.Lock()
	changed := deputy != b.appointment.published
	b.appointment.published = deputy
	b.mu.Unlock()
	if changed {
		b.options.Core.PublishDeputy(deputy)
	}
}
