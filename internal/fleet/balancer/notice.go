package balancer

import "time"

// maxNoticePrefixes bounds the prefixes of a notice.
const maxNoticePrefixes = 64

// PrefillNotice is what one agent publishes to others of a request that it forwarded: reported
// loads are old, and a long prompt delays the requests of other agents that do not know of it.
type PrefillNotice struct {
	Instance string
	// Prefixes are the prompt's shared prefixes, by the IDs of inference.AppendPrefixes.
	Prefixes       []Segment
	PromptTokens   int
	UncachedTokens int // of the prompt, that the server has to prefill
}

// PrefillNotice returns what to publish of the attempt, and how long it keeps the server busy with
// prefill: the longer, the more the notice matters.
func (a *Attempt) PrefillNotice() (PrefillNotice, time.Duration) {
	notice := PrefillNotice{Instance: a.server.instance.ID, PromptTokens: a.promptTokens, UncachedTokens: a.sequence.UncachedTokens()}
	if n := len(a.prefixes); n > 1 {
		notice.Prefixes = a.prefixes[:n-1]
	}
	return notice, a.sequence.PrefillTime()
}

// ObserveRemotePrefill takes a notice of another agent, of a request that it forwarded age ago.
// Notices out of bounds and of unknown instances are ignored.
func (p *Picker) ObserveRemotePrefill(now, age time.Duration, notice *PrefillNotice) {
	s := p.servers[notice.Instance]
	if s == nil || notice.PromptTokens < 0 || len(notice.Prefixes) > maxNoticePrefixes {
		return
	}
	s.inference.BeginRemote(now, age, notice.Prefixes, notice.PromptTokens, notice.UncachedTokens)
}
