package balancer

import (
	"net/http"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The ends.
const (
	Succeeded     Outcome = iota // answered, whole
	ClientError                  // a 4xx of the server about the request: says nothing of the server
	Rejected                     // turned away, full: demotes nobody
	Misdirected                  // 421: the list is old
	ConnectFailed                // refused, or no connection came
	Reset
	Timeout
	BadResponse // the answer was cut or spoilt
	ServerError // a 5xx that ran
	Cancelled   // the client left: no verdict
)

// Attempt is one send of a request. Its methods are given the same clock as the Picker's and
// are as little safe for concurrent use.
type Attempt struct {
	picker         *Picker
	server         *server
	sequence       *inference.Sequence
	prefixes       []Segment
	sentAt         time.Duration // sent
	estimate       time.Duration // estimated
	promptTokens   int
	instanceSeq    uint64 // of the instance, as listed when it was placed
	status         int
	priorityClass  int
	targetAt       time.Duration
	responded      bool
	firstEventSeen bool
	ended          bool
}

// Sent tells that the request left for the server.
func (a *Attempt) Sent(now time.Duration) {
	a.sentAt = now
	a.sequence.Sent(now)
}

// Headers takes the head of the answer, with the load that it tells, if any.
func (a *Attempt) Headers(now time.Duration, status int, load *Load) {
	a.recordResponse(now)
	a.status = status
	if load != nil && !a.ended {
		a.server.inference.ObserveLoad(now, *load)
		waits := 0.0
		if load.Waiting > 0 {
			waits = 1
		}
		a.server.service.queueingRatio += queueingSmoothing * (waits - a.server.service.queueingRatio)
	}
}

// Events takes n events of the answer.
func (a *Attempt) Events(now time.Duration, n int) {
	a.recordResponse(now)
	a.recordFirstEvent(now)
	a.sequence.Events(now, n)
}

// recordFirstEvent notes the first event, or that there was none up to now.
func (a *Attempt) recordFirstEvent(now time.Duration) {
	if !a.firstEventSeen {
		a.server.service.lateness[a.priorityClass].recordObserved(now, now > a.targetAt)
	}
	a.firstEventSeen = true
}

func (a *Attempt) recordResponse(now time.Duration) {
	a.responded = true
	a.server.lastResponseAt = max(a.server.lastResponseAt, now)
}

// End takes the end of the attempt, once; further calls do nothing.
func (a *Attempt) End(now time.Duration, end Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	s, p := a.server, a.picker
	s.inFlight--
	s.service.inFlight--
	if i := slices.Index(s.attempts, a); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
	if end == Succeeded && !a.firstEventSeen {
		a.sequence.Events(now, 1)
	}
	a.sequence.End(now, end != Rejected && end != Misdirected && end != ConnectFailed && end != ClientError)
	if end == Misdirected {
		p.removeMisdirected(s.instance.ID, a.instanceSeq)
	}
	if !s.listed {
		return
	}
	switch end {
	case Succeeded:
		a.recordResponse(now)
		p.updateFailureRate(now, s, 0)
		s.RecordSuccess(millis(a.sentAt), millis(now))
	case ClientError:
		a.recordResponse(now)
	case Rejected:
		a.recordResponse(now)
		s.fullUntil = now + duration(millis(fullBackoff)*(0.5+p.rng.Float64()))
	case ConnectFailed:
		// One that says no is there; one that lets the connect run out is not.
		p.markUnhealthy(now, s, now-a.sentAt >= connectTimeoutThreshold)
		p.allowChecks(now, s.service)
	case Reset, BadResponse, ServerError:
		s.lastResponseAt = max(s.lastResponseAt, now)
		if a.status != http.StatusGatewayTimeout { // it ran out of the client's time
			p.markUnhealthy(now, s, false)
		}
	case Timeout:
		// One that was given less time than answers take, or that answered others meanwhile, is
		// not to blame.
		if !a.responded && s.lastResponseAt < a.sentAt && now-a.sentAt >= max(2*a.estimate, minUnresponsiveTime) {
			p.markUnhealthy(now, s, true)
		}
	}
}

// removeMisdirected takes an instance out that is not at its address, unless it was named anew since.
func (p *Picker) removeMisdirected(id string, seq uint64) {
	s := p.servers[id]
	if s == nil || s.instance.Seq > seq {
		return
	}
	if len(p.misdirected) < maxMisdirected {
		p.misdirected[id] = seq
	}
	p.removeServer(s)
}

// maxMisdirected bounds the instances that are kept out of the list by their own word.
const maxMisdirected = 4096

// PrefillNotice is what one agent tells others of a request that it sent: loads that servers tell are
// old, and long prompts hold up whoever comes after them unaware.
type PrefillNotice struct {
	Instance                     string
	Prefixes                     []Segment // of the prompt's shared parts, as the sender hashes them
	PromptTokens, UncachedTokens int       // tokens, and those of them that are to be read
}

// PrefillNotice is what others may be told of the attempt, and how long it keeps the server reading:
// the longer, the more it tells.
func (a *Attempt) PrefillNotice() (PrefillNotice, time.Duration) {
	n := PrefillNotice{Instance: a.server.instance.ID, PromptTokens: a.promptTokens, UncachedTokens: a.sequence.UncachedTokens()}
	if len(a.prefixes) > 1 {
		n.Prefixes = a.prefixes[:len(a.prefixes)-1]
	}
	return n, a.sequence.PrefillTime()
}

// ObserveRemotePrefill takes a notice of another agent, of a request that was sent so long ago.
func (p *Picker) ObserveRemotePrefill(now, age time.Duration, n *PrefillNotice) {
	if s := p.servers[n.Instance]; s != nil && n.PromptTokens >= 0 && len(n.Prefixes) <= maxNoticePrefixes {
		s.inference.BeginRemote(now, age, n.Prefixes, n.PromptTokens, n.UncachedTokens)
	}
}

// maxNoticePrefixes bounds the parts of a notice.
const maxNoticePrefixes = 64
