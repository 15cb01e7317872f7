package fleetlab

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Rules are the figures by which a run is judged.
type Rules struct {
	Stride      int           // tokens to an event
	Contact     time.Duration // calm for so long is in touch
	Drain       time.Duration
	Converge    time.Duration
	RevertSlack time.Duration
	LossSlack   time.Duration
	Grace       time.Duration
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	Slack       time.Duration // that sockets and a busy machine add to each of these times
}

// Violation is a broken rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, v.At.Seconds(), v.Text)
}

// judge holds what Check finds out.
type judge struct {
	*Seen
	rules  Rules
	tries  map[string]*Try
	runs   map[string][]*run // by attempt
	seals  map[string]*run
	broken []Violation
}

// run is one run of a request by a server.
type run struct {
	modelserver.Record               // of its start
	pieces             int           // events made
	ended              time.Duration // 0: not seen
	whole              bool
	crashed            bool // its server broke it off
}

// Check judges what was seen. The lists have to be in the order of time.
func Check(s *Seen, rules Rules) []Violation {
	j := &judge{Seen: s, rules: rules, tries: map[string]*Try{}, runs: map[string][]*run{}, seals: map[string]*run{}}
	for _, t := range s.Tries {
		j.tries[t.ID] = t
	}
	j.readRecords()
	for _, t := range s.Tries {
		j.answer(t)
		j.effects(t)
		j.lost(t)
	}
	j.drains()
	j.budget()
	j.changes()
	j.inForce()
	j.denied()
	for _, e := range s.Ends {
		j.add("FAULT", 0, "%s", e)
	}
	slices.SortStableFunc(j.broken, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.broken
}

func (j *judge) add(rule string, at time.Duration, format string, args ...any) {
	j.broken = append(j.broken, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// inTouch tells whether an agent was calm, and the core stable, for long enough before a time.
func (j *judge) inTouch(agent string, at time.Duration) bool {
	for _, t := range j.Troubles {
		near := func(x time.Duration) bool { return x <= at && x+j.rules.Contact > at }
		own := t.Agent == agent && t.From <= at && (t.Open || t.To+j.rules.Contact > at)
		core := t.Core && (near(t.From) || !t.Open && near(t.To))
		if own || core {
			return false
		}
	}
	return true
}

// readRecords pairs what servers say, and judges UNASKED and ROUTE.
func (j *judge) readRecords() {
	for _, r := range j.Records {
		switch r.Kind {
		case modelserver.Started:
			x := &run{Record: r, pieces: r.First - 1}
			j.runs[r.Attempt] = append(j.runs[r.Attempt], x)
			j.seals[r.Seal] = x
			t := j.tries[r.Attempt]
			if t == nil {
				j.add("UNASKED", r.At, "%s ran %q, which no client sent", r.Instance, r.Attempt)
				continue
			}
			if t.Method != r.Method || t.Target != r.Target || t.Host != r.Host || t.Prompt.Body != r.Body {
				j.add("UNASKED", r.At, "%s ran %s as %s %s%s (body %x), sent as %s %s%s (body %x)", r.Instance, r.Attempt,
					r.Method, r.Host, r.Target, r.Body, t.Method, t.Host, t.Target, t.Prompt.Body)
			}
			if !slices.ContainsFunc(j.Changes, func(c *Change) bool { return slices.Contains(c.Doc.services(r.Host, r.Target), r.Service) }) {
				j.add("ROUTE", r.At, "%s of %s ran %s for %s%s, which no configuration allows", r.Instance, r.Service, r.Attempt, r.Host, r.Target)
			}
		case modelserver.Ended:
			if x := j.seals[r.Seal]; x != nil {
				x.ended, x.pieces, x.whole = r.At, r.Pieces, r.Whole
			}
		case modelserver.Unrunnable:
			if j.tries[r.Attempt] == nil {
				j.add("UNASKED", r.At, "%s got a request (%s %s) with the id %q, which no client sent", r.Instance, r.Method, r.Target, r.Attempt)
			}
		case modelserver.Crashed:
			for _, x := range j.seals {
				if x.Instance == r.Instance && (x.ended == 0 || x.ended >= r.At) && !x.whole {
					x.crashed = true
				}
			}
		}
	}
}

// serverBroke tells whether a server broke off a run of the try itself.
func (j *judge) serverBroke(t *Try) bool {
	return slices.ContainsFunc(j.runs[t.ID], func(x *run) bool {
		return x.crashed || x.ended > 0 && !x.whole && x.ended >= t.Deadline
	})
}

// answer judges MIXED and ORDER.
func (j *judge) answer(t *Try) {
	if t.Surplus {
		j.add("MIXED", t.End, "%s: bytes after the answer", t.ID)
	}
	if t.Garbage != "" && !j.serverBroke(t) {
		j.add("MIXED", t.End, "%s: no answer in the protocol: %s", t.ID, t.Garbage)
	}
	if t.Echo != "" && t.Echo != t.ID {
		j.add("MIXED", t.End, "%s: the answer belongs to %s", t.ID, t.Echo)
	}
	if t.Status/100 != 2 {
		return
	}
	of := j.seals[t.Seal]
	switch {
	case t.Seal == "":
		j.add("MIXED", t.End, "%s: status %d without a seal", t.ID, t.Status)
		return
	case of == nil:
		j.add("MIXED", t.End, "%s: the seal %s is no server's", t.ID, t.Seal)
		return
	case of.Attempt != t.ID:
		j.add("MIXED", t.End, "%s: the seal %s is of %s", t.ID, t.Seal, of.Attempt)
		return
	case t.Encoded:
		j.add("MIXED", t.End, "%s: an encoding that no server made", t.ID)
	}
	next, seal := t.After+1, ""
	for _, e := range t.Events {
		if e.N != next {
			j.add("ORDER", e.Came, "%s: event %d where %d is due", t.ID, e.N, next)
			return
		}
		if e.Text != t.Prompt.Text(e.N) {
			j.add("MIXED", e.Came, "%s: event %d says what no server made", t.ID, e.N)
			return
		}
		if e.Seal != seal {
			x := j.seals[e.Seal]
			switch {
			case x == nil || x.Attempt != t.ID:
				j.add("MIXED", e.Came, "%s: event %d is of another request's run %s", t.ID, e.N, e.Seal)
				return
			case seal == "" && e.Seal != t.Seal:
				j.add("MIXED", e.Came, "%s: its head is of %s, its first event of %s", t.ID, t.Seal, e.Seal)
			case seal != "" && (!t.Resumable || x.First != e.N):
				j.add("ORDER", e.Came, "%s: event %d of run %s joined to those of %s", t.ID, e.N, e.Seal, seal)
				return
			}
			seal = e.Seal
		}
		if last := t.Prompt.Pieces(j.rules.Stride); e.Last != (e.N == last) {
			j.add("ORDER", e.Came, "%s: event %d of %d marked as last: %v", t.ID, e.N, last, e.Last)
		}
		next++
	}
	if t.Complete && (len(t.Events) == 0 || !t.Events[len(t.Events)-1].Last) {
		j.add("ORDER", t.End, "%s: ends as complete after event %d of %d", t.ID, next-1, t.Prompt.Pieces(j.rules.Stride))
	}
}

// effects judges TWICE and REFUSED.
func (j *judge) effects(t *Try) {
	runs := j.runs[t.ID]
	if t.Idempotent {
		return
	}
	if len(runs) > 1 {
		j.add("TWICE", runs[1].At, "%s ran by %s and by %s", t.ID, runs[0].Instance, runs[1].Instance)
	}
	switch t.Status {
	case 503, 429, 408, 421:
		if len(runs) > 0 {
			j.add("REFUSED", t.End, "%s: answered %d, but %s ran it", t.ID, t.Status, runs[0].Instance)
		}
	}
}

// lost judges what was cut around an ordered end.
func (j *judge) lost(t *Try) {
	if t.Sent == 0 || t.Complete || t.Broken != Closed || t.End >= t.Deadline || t.Timeout > 0 && t.End >= t.Sent+t.Timeout {
		return
	}
	for _, x := range j.Troubles {
		if !x.Ordered || x.Agent != t.Agent || t.End < x.From || t.End > x.From+j.rules.Grace+time.Second {
			continue
		}
		if slices.ContainsFunc(j.Troubles, func(o Trouble) bool {
			return !o.Ordered && !o.Start && (o.Agent == t.Agent || o.Core) && o.From <= t.End && (o.Open || o.To+j.rules.Contact > t.Began)
		}) || j.serverBroke(t) {
			return
		}
		// Still at work in the second half of the grace: it was too long.
		work := slices.ContainsFunc(j.runs[t.ID], func(r *run) bool { return r.ended == 0 || r.ended >= x.From+j.rules.Grace/2 })
		if work && t.End >= x.From+j.rules.Grace/2 {
			return
		}
		passed := slices.ContainsFunc(j.Records, func(r modelserver.Record) bool { return r.Kind == modelserver.Arrived && r.Attempt == t.ID })
		if passed || t.End > t.Sent+j.rules.LossSlack+j.rules.Slack {
			j.add("LOST", t.End, "%s: cut %v after the SIGTERM of %s, with %d events", t.ID, t.End-x.From, t.Agent, len(t.Events))
			return
		}
	}
}

// drains judges DRAIN.
func (j *judge) drains() {
	told, away := map[string]modelserver.Record{}, map[[2]string]bool{}
	for _, r := range j.Records {
		if r.Kind == modelserver.TurnedAway && r.Status == 421 {
			away[[2]string{r.Instance, r.Attempt}] = true
		}
	}
	for _, r := range j.Records {
		switch r.Kind {
		case modelserver.Draining, modelserver.Gone:
			if _, ok := told[r.Instance]; !ok && j.inTouch(ipOf(r.Agent), r.At) {
				told[r.Instance] = r
			}
		case modelserver.Arrived:
			at, ok := told[r.Instance]
			if !ok || r.At <= at.At+j.rules.Drain+j.rules.Slack || away[[2]string{r.Instance, r.Attempt}] {
				continue
			}
			if t := j.tries[r.Attempt]; t != nil && j.inTouch(t.Agent, r.At) {
				j.add("DRAIN", r.At, "%s by %s reached %s %v after %s acknowledged that it leaves", r.Attempt, t.Agent, r.Instance, r.At-at.At, at.Agent)
			}
		}
	}
}

func ipOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// budget judges BUDGET, for each service.
func (j *judge) budget() {
	seen := map[string]bool{}
	again, asked := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range j.Records {
		if r.Kind != modelserver.Arrived {
			continue
		}
		if seen[r.Attempt] {
			again[r.Service] = append(again[r.Service], r.At)
		}
		seen[r.Attempt] = true
	}
	for _, t := range j.Tries {
		of := map[string]bool{}
		for _, c := range j.Changes {
			for _, s := range c.Doc.services(t.Host, t.Target) {
				of[s] = true
			}
		}
		for s := range of {
			asked[s] = append(asked[s], t.Began)
		}
	}
	in := func(at []time.Duration, from, to time.Duration) int {
		a, _ := slices.BinarySearch(at, from)
		b, _ := slices.BinarySearch(at, to)
		return b - a
	}
	w := j.rules.RetryWindow
	for service, at := range again {
		for _, end := range at {
			from, to := end-w, end+1
			n := in(at, from, to)
			requests := max(in(asked[service], from, to), in(asked[service], from-w, to-w), in(asked[service], from-w/2, to-w/2))
			if float64(n) > j.rules.RetryRatio*float64(requests)+j.rules.RetrySlack {
				j.add("BUDGET", end, "%s: %d repeats within %v of %d requests", service, n, w, requests)
				break
			}
		}
	}
}

// changes judges what was acknowledged, and what was read back.
func (j *judge) changes() {
	var newest *Change
	for i, c := range j.Changes {
		if c.Acked == 0 {
			continue
		}
		if !c.Valid {
			j.add("CONFIG", c.Acked, "an invalid configuration (%d) was acknowledged", c.Doc.Revision)
		}
		for _, o := range j.Changes[:i] {
			if o.Acked > 0 && o.Base == c.Base && o.Doc.Revision != c.Doc.Revision {
				j.add("CONFIG", c.Acked, "%d and %d were both acknowledged on top of %d", o.Doc.Revision, c.Doc.Revision, c.Base)
			}
		}
		if newest == nil || c.Doc.Revision > newest.Doc.Revision {
			newest = c
		}
	}
	if newest == nil || j.ReadBack == nil && j.ReadErr == nil {
		return
	}
	if j.ReadErr != nil {
		j.add("CONFIG", newest.Acked, "%d was acknowledged, and cannot be read back: %v", newest.Doc.Revision, j.ReadErr)
		return
	}
	rev, err := revisionOf(j.ReadBack)
	if err != nil {
		j.add("CONFIG", newest.Acked, "%v", err)
		return
	}
	if rev < newest.Doc.Revision {
		j.add("CONFIG", newest.Acked, "%d was acknowledged, %d is read back", newest.Doc.Revision, rev)
		return
	}
	var why error
	for _, c := range j.Changes {
		if c.Doc.Revision != rev {
			continue
		}
		if c.refused() {
			why = fmt.Errorf("it was refused")
		} else if why = c.Doc.sameAs(j.ReadBack); why == nil {
			return
		}
	}
	j.add("CONFIG", newest.Acked, "%d is read back, which is not what was sent: %v", rev, why)
}

// handled is what a request's handling tells of the configuration that was in force.
type handled struct {
	try     *Try
	at      time.Duration
	service string // that ran it; "": 404
}

func (h *handled) by(d *Doc) bool {
	if h.service == "" {
		return d.route(h.try.Host, h.try.Target) == nil
	}
	return slices.Contains(d.services(h.try.Host, h.try.Target), h.service)
}

func (h *handled) String() string {
	if h.service == "" {
		return "answered 404"
	}
	return "run by " + h.service
}

// inForce judges which configuration agents act by: not older than what was acknowledged
// long enough ago, and never back within a life.
func (j *judge) inForce() {
	var all []handled
	for _, t := range j.Tries {
		for _, x := range j.runs[t.ID] {
			all = append(all, handled{t, x.At, x.Service})
		}
		if t.Status == 404 && t.Seal == "" && len(j.runs[t.ID]) == 0 {
			all = append(all, handled{t, t.End, ""})
		}
	}
	slices.SortStableFunc(all, func(a, b handled) int { return cmp.Compare(a.at, b.at) })
	type floor struct {
		revision int
		at       time.Duration
	}
	floors := map[string][]floor{} // by agent
	for i := range all {
		h := &all[i]
		agent := h.try.Agent
		var lowest, newest *Change // by which it may have been handled
		wrong := false             // a refused configuration handles it so
		acked := 0                 // long enough ago
		for _, c := range j.Changes {
			if c.Acked > 0 && c.Acked+j.rules.Converge+j.rules.Slack < h.try.Began {
				acked = max(acked, c.Doc.Revision)
			}
			switch {
			case c.Sent > h.at || !h.by(c.Doc):
			case c.refused():
				wrong = true
			default:
				if lowest == nil || c.Doc.Revision < lowest.Doc.Revision {
					lowest = c
				}
				if newest == nil || c.Doc.Revision > newest.Doc.Revision {
					newest = c
				}
			}
		}
		if newest == nil {
			if wrong {
				j.add("CONFIG", h.at, "%s by %s: %v, as only a refused configuration has it", h.try.ID, agent, h)
			}
			continue // else none was there yet, or ROUTE tells
		}
		if newest.Doc.Revision < acked && j.inTouch(agent, h.at) {
			j.add("CONFIG", h.at, "%s by %s: %v, as %d has it, sent after %d was in force for long enough", h.try.ID, agent, h, newest.Doc.Revision, acked)
		}
		life := j.lifeOf(agent, h.at)
		for _, f := range floors[agent] {
			if f.at >= life && f.at+j.rules.RevertSlack+j.rules.Slack < h.try.Began && newest.Doc.Revision < f.revision && j.inTouch(agent, h.at) {
				j.add("CONFIG", h.at, "%s by %s: %v, as %d has it, after it acted by %d", h.try.ID, agent, h, newest.Doc.Revision, f.revision)
				break
			}
		}
		if fs := floors[agent]; h.service != "" && (len(fs) == 0 || fs[len(fs)-1].revision < lowest.Doc.Revision || fs[len(fs)-1].at < life) {
			floors[agent] = append(fs, floor{lowest.Doc.Revision, h.at})
		}
	}
}

// lifeOf is when the life of an agent's process began that it is in at a time.
func (j *judge) lifeOf(agent string, at time.Duration) (from time.Duration) {
	for _, t := range j.Troubles {
		if t.Start && t.Agent == agent && t.From <= at {
			from = max(from, t.From)
		}
	}
	return from
}

// denied judges own 3xx and 4xx on requests that every configuration in force allows.
func (j *judge) denied() {
	var of []*Try
	for _, t := range j.Tries {
		if t.Status < 300 || t.Status >= 500 || t.Status == 408 || t.Status == 421 || t.Status == 429 || t.Seal != "" || !j.inTouch(t.Agent, t.End) {
			continue
		}
		if slices.ContainsFunc(j.Records, func(r modelserver.Record) bool { return r.Kind == modelserver.Unrunnable && r.Attempt == t.ID }) {
			continue // the server's own
		}
		allowed, any := true, false
		for _, c := range j.Changes {
			if !c.refused() && c.Sent <= t.End {
				any = true
				allowed = allowed && c.Doc.route(t.Host, t.Target) != nil
			}
		}
		if any && allowed {
			of = append(of, t)
		}
	}
	if len(of) > 5+len(j.Tries)/500 {
		j.add("DENIED", of[0].End, "%d proper requests of %d, the first with %d: %s", len(of), len(j.Tries), of[0].Status, of[0].ID)
	}
}
