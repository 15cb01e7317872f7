package balancer

import (
	"net/http"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

// End is how an attempt ended.
type End uint8

// The ends.
const (
	Served        End = iota // answered, whole
	ClientError              // a 4xx of the server about the request: says nothing of the server
	NotRun                   // turned away, full: demotes nobody
	WrongInstance            // 421: the list is old
	ConnectFailed            // refused, or no connection came
	Reset
	Timeout
	Broken      // the answer was cut or spoilt
	ServerError // a 5xx that ran
	Cancelled   // the client left: no verdict
)

// Attempt is one send of a request. Its methods are given the same clock as the Picker's and
// are as little safe for concurrent use.
type Attempt struct {
	p        *Picker
	s        *server
	run      *inference.Run
	chain    []Part
	at       time.Duration // sent
	first    time.Duration // estimated
	prompt   int
	seq      uint64 // of the instance, as listed when it was placed
	status   int
	urgency  int
	aimAt    time.Duration
	heard    bool
	streamed bool
	ended    bool
}

// Sent tells that the request left for the server.
func (a *Attempt) Sent(now time.Duration) {
	a.at = now
	a.run.Sent(now)
}

// Head takes the head of the answer, with the load that it tells, if any.
func (a *Attempt) Head(now time.Duration, status int, load *Load) {
	a.hear(now)
	a.status = status
	if load != nil && !a.ended {
		a.s.engine.Heard(now, *load)
		waits := 0.0
		if load.Waiting > 0 {
			waits = 1
		}
		a.s.service.waits += waitsSmooth * (waits - a.s.service.waits)
	}
}

// Event takes n events of the answer.
func (a *Attempt) Event(now time.Duration, n int) {
	a.hear(now)
	a.begin(now)
	a.run.Events(now, n)
}

// begin notes the first event, or that there was none up to now.
func (a *Attempt) begin(now time.Duration) {
	if !a.streamed {
		a.s.service.late[a.urgency].met(now, now > a.aimAt)
	}
	a.streamed = true
}

func (a *Attempt) hear(now time.Duration) {
	a.heard = true
	a.s.heard = max(a.s.heard, now)
}

// End takes the end of the attempt, once; further calls do nothing.
func (a *Attempt) End(now time.Duration, end End) {
	if a.ended {
		return
	}
	a.ended = true
	s, p := a.s, a.p
	s.inflight--
	s.service.inflight--
	if i := slices.Index(s.out, a); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	if end == Served && !a.streamed {
		a.run.Events(now, 1)
	}
	a.run.End(now, end != NotRun && end != WrongInstance && end != ConnectFailed && end != ClientError)
	if end == WrongInstance {
		p.disown(s.inst.ID, a.seq)
	}
	if !s.listed {
		return
	}
	switch end {
	case Served:
		a.hear(now)
		p.fails(now, s, 0)
		s.Served(millis(a.at), millis(now))
	case ClientError:
		a.hear(now)
	case NotRun:
		a.hear(now)
		s.fullTo = now + duration(millis(fullFor)*(0.5+p.rng.Float64()))
	case ConnectFailed:
		// One that says no is there; one that lets the connect run out is not.
		p.demote(now, s, now-a.at >= connectSilent)
		p.refresh(now, s.service)
	case Reset, Broken, ServerError:
		s.heard = max(s.heard, now)
		if a.status != http.StatusGatewayTimeout { // it ran out of the client's time
			p.demote(now, s, false)
		}
	case Timeout:
		// One that was given less time than answers take, or that answered others meanwhile, is
		// not to blame.
		if !a.heard && s.heard < a.at && now-a.at >= max(2*a.first, silentLeast) {
			p.demote(now, s, true)
		}
	}
}

// disown takes an instance out that is not at its address, unless it was named anew since.
func (p *Picker) disown(id string, seq uint64) {
	s := p.byID[id]
	if s == nil || s.inst.Seq > seq {
		return
	}
	if len(p.wrong) < maxWrong {
		p.wrong[id] = seq
	}
	p.unlist(s)
}

// maxWrong bounds the instances that are kept out of the list by their own word.
const maxWrong = 4096

// Notice is what one agent tells others of a request that it sent: loads that servers tell are
// old, and long prompts hold up whoever comes after them unaware.
type Notice struct {
	Instance         string
	Chain            []Part // of the prompt's shared parts, as the sender hashes them
	Prompt, Uncached int    // tokens, and those of them that are to be read
}

// Notice is what others may be told of the attempt, and how long it keeps the server reading:
// the longer, the more it tells.
func (a *Attempt) Notice() (Notice, time.Duration) {
	n := Notice{Instance: a.s.inst.ID, Prompt: a.prompt, Uncached: a.run.Uncached()}
	if len(a.chain) > 1 {
		n.Chain = a.chain[:len(a.chain)-1]
	}
	return n, a.run.Work()
}

// Heard takes a notice of another agent, of a request that was sent so long ago.
func (p *Picker) Heard(now, age time.Duration, n *Notice) {
	if s := p.byID[n.Instance]; s != nil && n.Prompt >= 0 && len(n.Chain) <= maxNoticeParts {
		s.engine.Foreign(now, age, n.Chain, n.Prompt, n.Uncached)
	}
}

// maxNoticeParts bounds the parts of a notice.
const maxNoticeParts = 64
