package balancer

import "time"

// maxNoticePrefixes bounds the number of prefixes in a notice.
const maxNoticePrefixes = 64

// PrefillNotice describes a request that one agent forwarded, for the other agents. The loads that
// servers report are already old on arrival, so other agents would not know of a long prompt that
// delays their requests.
type PrefillNotice struct {
	Instance string // instance ID of the server
	// Prefixes are the prompt's shared prefixes, with the IDs of inference.AppendPrefixes.
	Prefixes       []Segment
	PromptTokens   int
	UncachedTokens int // tokens of the prompt that the server has to prefill
}

// PrefillNotice returns the attempt's notice and how long its prefill keeps the server busy: the
// longer that is, the more important the notice.
func (a *Attempt) PrefillNotice() (PrefillNotice, time.Duration) {
	notice := PrefillNotice{
		Instance:       a.server.instance.ID,
		PromptTokens:   a.promptTokens,
		UncachedTokens: a.sequence.UncachedTokens(),
	}
	if n := len(a.prefixes); n > 1 {
		notice.Prefixes = a.prefixes[:n-1]
	}
	return notice, a.sequence.PrefillTime()
}

// ObserveRemotePrefill records another agent's notice; age is the time since that agent forwarded
// the request. Notices that exceed the bounds or name an unknown instance are ignored.
func (p *Picker) ObserveRemotePrefill(now, age time.Duration, notice *PrefillNotice) {
	s := p.servers[notice.Instance]
	if s == nil || notice.PromptTokens < 0 || len(notice.Prefixes) > maxNoticePrefixes {
		return
	}
	s.inference.BeginRemote(now, age, notice.Prefixes, notice.PromptTokens, notice.UncachedTokens)
}
