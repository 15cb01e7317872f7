// Package ejection ejects hosts by vote: the agents of a site (its electorate) agree, by what
// each saw itself, that a report server is to get nothing from any of them but trials, for a
// time that lapses by itself. There is no leader: each voter tells all others what it holds
// of which host, and each counts for itself.
//
// # What is guaranteed
//
// A host is ejected at a member only while that member holds live grants for the host's
// incarnation from a strict majority of one roll. A voter grants only on evidence of its own,
// no older than Age and newer than its last grant for the host. It renews a grant while the last
// that it saw was bad, no longer ago than four times Longest, and anybody has newer evidence:
// without that a host that stays bad would cost each voter a request for each lease.
//
// The weight that a site has ejected of a zone's servers never passes Cap, whatever is lost,
// delayed, repeated, paused or restarted. Of n voters each keeps the weight that it has
// promised at or under Cap*q/n of the zone, where q = n/2+1 (rounded down) is the majority.
// Let E be all that anyone holds ejected at a moment, its weight W(E). Each host of E has q
// live grants or more, so the promised weights of all voters add up to q*W(E) at the least,
// and to n*Cap*q/n at the most: W(E) <= Cap. The price is reach: voters that all agree eject
// no more than Cap*q/n, just over half of it.
//
// For that a grant must be dead at every reader before its voter takes back the promise. The
// voter counts the lease from after it answered, and lengthens it by the drift that clocks
// may have; a reader counts it from a moment before it was sent, known by the echo of the
// reader's own stamp (see Letter), and not at all without an echo. Both use the monotonic
// clock, which goes on while a process is paused; no time of day is compared and no bound on
// the network is assumed. A promise stands until it lapses: a voter that changes its mind
// says so, and readers drop the grant, but the weight stays counted.
//
// A voter that starts again does not know what it promised, and abstains until all of that
// has lapsed (Longest, and the drift). One with a disk keeps there until when promises of its
// may stand at the most, and makes none beyond what is on it (Covers, Covered): its next life
// abstains for no longer. That is one write for many promises, none of which waits for more.
//
// Under a majority of liars no host is removed; with f liars of n and f < n/3 a host that all
// honest voters see bad gets their n-f >= q grants. A liar is taken to speak for itself
// alone: that nobody speaks in another's name is the network's to see to.
//
// # What is not guaranteed
//
// The cap is one of weights as they were listed when they were granted: what leaves the list
// makes the rest of a zone smaller. The monotonic clock stands still while a whole machine is
// suspended, unlike a process: a reader that was counts a grant for so much longer.
//
// That a bad host is ejected: a part of a site without a majority ejects nothing, and one
// whose voters have promised all they may waits. An agent's own demotion of a server does not
// depend on any of this.
package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

const (
	// drift is how far the rates of two clocks may be apart.
	drift = 0.01
	// mostLease bounds a lease, and so how long a voter without memory stays silent.
	mostLease = 10 * time.Minute
	// panicMet is how many hosts an observer must have met for a majority of them to count as
	// its own fault.
	panicMet = 4
	// beats is how many members get the state each second without a change, each of them once
	// at the most.
	beats = 10
	// renewTimes is how many times the longest lease a voter's own evidence is good for
	// renewals, as long as anybody's newer one bears it out.
	renewTimes = 4
	// trialRounds is how many rounds of trials there are in a lease.
	trialRounds = 2
	// owedAfter is how long a motion waits for the members' own evidence before the first of
	// them owes it an attempt, owedEach how much later the next does.
	owedAfter, owedEach = 100 * time.Millisecond, 40 * time.Millisecond
)

// again are the times after a change at which the state is sent once more, as letters get lost.
var again = [...]time.Duration{200 * time.Millisecond, time.Second}

// steps are the parts of its share that a host gets one after the other when it returns.
var steps = [...]float64{0.1, 0.3, 1}

// Roll is a site's electorate.
type Roll struct {
	Number  uint64
	Members []string
}

// Quorum is a strict majority.
func (r *Roll) Quorum() int { return len(r.Members)/2 + 1 }

// Config is what a voter is told.
type Config struct {
	Self string
	Boot uint64 // names this life of the process; never that of another
	Roll Roll
	// Cap is the part of a zone's weight that may be ejected at once, at most a half.
	Cap float64
	// Lease is how long the first ejection of a host lasts. Each further one within Remember
	// lasts twice as long as the one before, up to Longest.
	Lease, Longest, Remember time.Duration
	// Age is how old evidence may be to vote by.
	Age time.Duration
	// Step is how long a returning host gets each part of its share.
	Step time.Duration
	// Trial is the time between two trials of an ejected host.
	Trial time.Duration
	// Promised is for how long after its start promises of earlier lives may stand; negative:
	// it is not known.
	Promised time.Duration
	// Covers is that the caller keeps on disk until when promises may stand: see Covered.
	Covers bool
}

// Defaults are the times and the cap where nothing else is said.
func Defaults() Config {
	return Config{Cap: 0.4, Lease: 8 * time.Second, Longest: time.Minute, Remember: 2 * time.Minute,
		Age: 10 * time.Second, Step: time.Second, Trial: time.Second, Promised: -1}
}

// Validate tells what makes no sense, by key.
func (c *Config) Validate() error {
	switch {
	case !(c.Cap > 0) || c.Cap > 0.5:
		return fmt.Errorf("cap: must be above 0 and at most 0.5, is %v", c.Cap)
	case c.Lease < 100*time.Millisecond || c.Lease > c.Longest:
		return fmt.Errorf("lease: must be 100ms to longest (%v), is %v", c.Longest, c.Lease)
	case c.Longest > mostLease/2:
		return fmt.Errorf("longest: must be at most %v, is %v", mostLease/2, c.Longest)
	case c.Age < 100*time.Millisecond || c.Age > c.Longest:
		return fmt.Errorf("age: must be 100ms to longest (%v), is %v", c.Longest, c.Age)
	case c.Remember < 0 || c.Step <= 0 || c.Trial <= 0:
		return fmt.Errorf("remember, step and trial: must be above 0, are %v, %v and %v", c.Remember, c.Step, c.Trial)
	case len(c.Roll.Members) == 0:
		return fmt.Errorf("electorate: nobody is in it")
	}
	for i, m := range c.Roll.Members {
		if m == "" || len(m) > maxName || slices.Contains(c.Roll.Members[:i], m) {
			return fmt.Errorf("electorate: %q is no name, or named twice", m)
		}
	}
	return nil
}

// Standing is what the agent is to do with a host. One that is not named gets its whole share.
type Standing struct {
	Host outlier.Host
	// Part of its share; 0 is ejected. It holds until Until, and is 1 after it.
	Part  float64
	Until time.Duration
	// Try asks for one attempt of a request that may be repeated, Probe for a probe.
	Try, Probe bool
}

// Note is a step of the vote, for traces and logs.
type Note struct {
	At       time.Duration
	Kind     string // "grant", "renew", "over_cap", "deny", "suspect", "eject", "hold", "return"
	Host     outlier.Host
	Why      Why
	Roll     uint64
	Attempts int
	Bad      int
	Granters []string      // eject, hold and return: whose grants
	Until    time.Duration // grant, eject and hold
}

// Out is what the core asks of its caller.
type Out struct {
	// Letters are for members by name.
	Letters map[string]*Letter
	// Table is the whole of the standings, if Changed.
	Table   []Standing
	Changed bool
	Notes   []Note
	// Cover, if not 0, asks for it to be on disk that promises may stand until then, and for
	// Covered once it is.
	Cover time.Duration
}

// Core is one member's vote: a state machine without I/O, not safe for concurrent use.
type Core struct {
	cfg       Config
	log       *outlier.Log
	now       time.Duration
	born      time.Duration
	started   bool
	covered   time.Duration // until when promises may stand by what is on disk
	voter     bool
	changedAt time.Duration
	sentAgain int // of again
	beatAt    time.Duration
	beatNext  int // of the roll
	peers     map[string]*peer
	mine      map[outlier.Host]*own
	standing  map[outlier.Host]*standing
	table     []Standing
	out       *Out
}

// peer is what is known of another member.
type peer struct {
	boot    uint64
	stamp   time.Duration // the newest Sent of that life, and
	stampAt time.Duration // when it came
	votes   map[outlier.Host]vote
}

type vote struct {
	answer Answer
	until  time.Duration
	why    Why
	seen   time.Duration // when its newest evidence against the host came, or later
}

// own is this member's answer on a host.
type own struct {
	answer   Answer
	why      Why
	until    time.Duration // of a grant, for others
	promised time.Duration // until when it counts against the bound; 0: never
	weight   float64       // of the zone, when granted
	zone     string
	granted  time.Duration // when last; evidence before it is used up
	grants   int           // of late: each lasts longer than the one before
	record   outlier.Record
	owedAt   time.Duration // when a motion without own evidence was first met; 0: none
	tried    bool          // the attempt or probe owed to it was asked for
	probed   bool          // and the probe was answered
}

// standing is how a host stands by the count.
type standing struct {
	ejected bool
	since   time.Duration // ejected, or returned
	until   time.Duration
	lease   time.Duration // the last known
	round   int64         // of trials
	tried   time.Duration // when it began
}

// New returns a member that has seen nothing. The log is the caller's to feed, between calls.
func New(cfg Config, log *outlier.Log) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("ballot: %w", err)
	}
	c := &Core{cfg: cfg, log: log, peers: map[string]*peer{}, mine: map[outlier.Host]*own{}, standing: map[outlier.Host]*standing{}}
	for _, m := range cfg.Roll.Members {
		if m == cfg.Self {
			c.voter = true
		} else {
			c.peers[m] = &peer{votes: map[outlier.Host]vote{}}
		}
	}
	return c, nil
}

// Receive takes a letter. One that is stale, of another roll or of no member is dropped with
// the reason as its error.
func (c *Core) Receive(now time.Duration, l *Letter) error {
	c.begin(now)
	p := c.peers[l.From]
	switch err := l.Check(); {
	case err != nil:
		return err
	case p == nil:
		return fmt.Errorf("letter: from: %s is not in the roll", l.From)
	case l.Roll != c.cfg.Roll.Number:
		return fmt.Errorf("letter: roll: %s votes by roll %d, this is %d", l.From, l.Roll, c.cfg.Roll.Number)
	case l.Boot == p.boot && l.Sent < p.stamp:
		return fmt.Errorf("letter: sent: an older one of %s", l.From)
	}
	if l.Boot != p.boot {
		// Another life. What the one before said holds until this one's word can be dated.
		p.boot = l.Boot
	}
	p.stamp, p.stampAt = l.Sent, now
	if l.EchoBoot != c.cfg.Boot || l.Echo > now {
		return nil // it can't be dated; ours will bring an echo
	}
	sent := min(l.Echo+time.Duration(float64(l.Kept)*(1-drift)), now)
	votes := make(map[outlier.Host]vote, len(l.Entries))
	for _, e := range l.Entries {
		votes[e.Host] = vote{e.Answer, sent + e.Left, e.Why, sent - e.Seen}
	}
	p.votes = votes
	return nil
}

// begin sets the clock; the first call is the start of the quarantine.
func (c *Core) begin(now time.Duration) {
	if !c.started {
		c.started, c.born, c.beatAt, c.changedAt = true, now, now, now
	}
	c.now = max(c.now, now)
}

// quarantined tells whether an earlier life may have granted what still stands.
func (c *Core) quarantined() bool {
	if c.cfg.Promised >= 0 {
		return c.now-c.born < c.cfg.Promised
	}
	return c.now-c.born < c.cfg.Whole()
}

// Whole is how long a promise stands at the most.
func (c *Config) Whole() time.Duration { return time.Duration(float64(c.Longest) * (1 + 2*drift)) }

// Covered takes that it is on disk, synced, that promises may stand until a time.
func (c *Core) Covered(until time.Duration) { c.covered = max(c.covered, until) }

// Tick decides anew, with all that has come and was seen, and returns what is to be done. It
// is to be called every few tens of milliseconds.
func (c *Core) Tick(now time.Duration) *Out {
	c.begin(now)
	c.out = &Out{Letters: map[string]*Letter{}}
	before := c.answers()
	part, met := c.log.UnhealthyFraction(c.now)
	inPanic := met >= panicMet && part > 0.5
	for _, h := range c.hosts() {
		c.answer(h, inPanic)
	}
	for _, h := range c.candidates() {
		c.grant(h)
	}
	c.forget()
	for _, h := range c.hosts() {
		c.count(h)
	}
	if !slices.Equal(before, c.answers()) {
		c.changedAt, c.sentAgain = c.now, 0
		c.letters(c.cfg.Roll.Members)
	} else {
		c.repeat()
	}
	table := c.standings()
	if !slices.Equal(table, c.table) {
		c.table, c.out.Table, c.out.Changed = table, table, true
	}
	return c.out
}

// hosts are those that anyone has something to say of, in the order of their names.
func (c *Core) hosts() []outlier.Host {
	set := map[outlier.Host]bool{}
	for _, h := range c.log.Suspects(c.now, c.cfg.Age) {
		set[h] = true
	}
	for h := range c.mine {
		set[h] = true
	}
	for h := range c.standing {
		set[h] = true
	}
	for _, p := range c.peers {
		for h, v := range p.votes {
			if v.until > c.now && v.answer >= Suspect {
				set[h] = true
			}
		}
	}
	out := make([]outlier.Host, 0, len(set))
	for h := range set {
		out = append(out, h)
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b outlier.Host) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// favour counts the members that want a host ejected, and those that deny it, by what each
// said last.
func (c *Core) favour(h outlier.Host) (in, against int) {
	each := func(a Answer) {
		switch a {
		case Suspect, Grant:
			in++
		case Deny:
			against++
		}
	}
	if m := c.mine[h]; m != nil && c.voter {
		each(m.answer)
	}
	for _, p := range c.peers {
		if v, ok := p.votes[h]; ok && v.until > c.now {
			each(v.answer)
		}
	}
	return in, against
}

// granters are the members whose grants for a host are live, and when so many have lapsed
// that no majority is left.
func (c *Core) granters(h outlier.Host) (names []string, until time.Duration) {
	var ends []time.Duration
	for _, name := range c.cfg.Roll.Members {
		end, live := time.Duration(0), false
		if p := c.peers[name]; p != nil {
			v, ok := p.votes[h]
			end, live = v.until, ok && v.answer == Grant
		} else if m := c.mine[h]; m != nil {
			end, live = m.until, m.answer == Grant
		}
		if live && end > c.now {
			names, ends = append(names, name), append(ends, end)
		}
	}
	if q := c.cfg.Roll.Quorum(); len(ends) >= q {
		slices.Sort(ends)
		until = ends[len(ends)-q]
	}
	return names, until
}

// answer is this member's own answer on a host by what it saw; a grant comes later.
func (c *Core) answer(h outlier.Host, inPanic bool) {
	r, listed := c.log.Record(h, c.now)
	m := c.mine[h]
	if m == nil {
		if !listed {
			return
		}
		m = &own{granted: -1}
		c.mine[h] = m
	}
	m.record = r
	was := m.answer
	live := m.answer == Grant && m.until > c.now
	switch {
	case !c.voter:
		m.answer, m.why = Abstain, NotInRoll
	case c.quarantined():
		m.answer, m.why = Abstain, Quarantine
	case inPanic:
		m.answer, m.why = Abstain, InPanic
	case !listed:
		m.answer, m.why = Abstain, NoEvidence
	case r.Healthy(c.now, c.cfg.Age) && (m.granted < 0 || r.LastSuccessSent > m.granted):
		m.answer, m.why = Deny, BySuccess
	case live: // as promised; a renewal is grant's
	case r.Unhealthy(c.now, c.cfg.Age) && (m.granted < 0 || r.LastFailureSent > m.granted):
		if m.answer != Suspect { // or it says OverCap, for which nothing has changed
			m.why = whyOf(r.LastFailure)
		}
		m.answer = Suspect
	default:
		m.answer, m.why = Abstain, NoEvidence
	}
	if m.answer != was && m.answer != Abstain {
		c.note(m.answer.String(), h, m)
	}
	if r.LastProbeSent > r.LastFailureAt && m.tried && m.owedAt > 0 && r.LastProbeSent > m.owedAt && !m.probed {
		m.tried, m.probed = false, true // that it runs is no evidence: it is to be tried, once
	}
	if r.Attempts > 0 && (r.Healthy(c.now, c.cfg.Age) || r.Unhealthy(c.now, c.cfg.Age)) {
		m.owedAt, m.tried, m.probed = 0, false, false
	}
}

func whyOf(k outlier.Outcome) Why {
	switch k {
	case outlier.NoAnswer:
		return BySilence
	case outlier.Slow:
		return BySlowness
	}
	return ByFailures
}

// candidates are the hosts that this member may grant or renew now, the most wanted first, so
// that voters whose bounds are near spend them on the same hosts.
func (c *Core) candidates() []outlier.Host {
	var out []outlier.Host
	wanted := map[outlier.Host]int{}
	for h, m := range c.mine {
		// A renewal needs evidence of its own that is not too old, and of anyone that is newer
		// than the grant: one trial that fails keeps a host out, where each member would have
		// to try it otherwise.
		r := m.record
		sick := r.LastFailureAt > r.LastSuccessSent && c.now-r.LastFailureAt <= renewTimes*c.cfg.Longest
		renew := m.answer == Grant && m.until > c.now && m.until-c.now < (m.until-m.granted)/2 && sick && c.newest(h) > m.granted
		if m.answer != Suspect && !renew {
			continue
		}
		if in, _ := c.favour(h); in >= c.cfg.Roll.Quorum() {
			wanted[h] = in
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b outlier.Host) int {
		return cmp.Or(cmp.Compare(wanted[b], wanted[a]), cmp.Compare(hash(a, 0, ""), hash(b, 0, "")), compare(a, b))
	})
	return out
}

// newest is when the newest evidence of anyone against a host was met.
func (c *Core) newest(h outlier.Host) time.Duration {
	at := time.Duration(-1)
	if m := c.mine[h]; m != nil {
		at = m.record.LastFailureSent
	}
	for _, p := range c.peers {
		if v, ok := p.votes[h]; ok && v.answer >= Suspect && v.until > c.now {
			at = max(at, v.seen)
		}
	}
	return at
}

// lease is how long this member's next grant for a host lasts.
func (c *Core) lease(m *own) time.Duration {
	return min(c.cfg.Lease<<min(m.grants, 16), c.cfg.Longest)
}

// grant promises, if the bound allows.
func (c *Core) grant(h outlier.Host) {
	m := c.mine[h]
	weight, zone := c.log.Weight(h)
	q, n := float64(c.cfg.Roll.Quorum()), float64(len(c.cfg.Roll.Members))
	sum := weight
	for o, p := range c.mine {
		if o != h && p.zone == zone && p.promised > c.now {
			sum += p.weight
		}
	}
	if weight <= 0 || sum > c.cfg.Cap*q/n+1e-9 {
		if m.answer == Suspect && m.why != OverCap {
			m.why = OverCap
			c.note("over_cap", h, m)
		}
		return
	}
	if c.cfg.Covers && c.now+c.cfg.Whole() > c.covered {
		c.out.Cover = c.now + 2*c.cfg.Whole() // so that the next promises need not wait
		if c.now+time.Duration(float64(c.lease(m))*(1+2*drift)) > c.covered {
			return
		}
	}
	lease, kind := c.lease(m), "grant"
	if m.answer == Grant {
		kind = "renew"
	}
	m.grants++
	m.answer, m.why = Grant, whyOf(m.record.LastFailure)
	m.granted, m.until = c.now, c.now+lease
	// Weights move with the list; a promise is counted at the most that it was.
	if m.promised <= c.now || m.zone != zone {
		m.weight = 0
	}
	m.weight, m.zone = max(m.weight, weight), zone
	m.promised = c.now + time.Duration(float64(lease)*(1+2*drift))
	c.note(kind, h, m)
}

// count sets a host's standing by the live grants.
func (c *Core) count(h outlier.Host) {
	names, until := c.granters(h)
	ejected := len(names) >= c.cfg.Roll.Quorum()
	s := c.standing[h]
	if s == nil {
		if !ejected {
			return
		}
		s = &standing{}
		c.standing[h] = s
	}
	if ejected && s.ejected && until > s.until {
		c.out.Notes = append(c.out.Notes, Note{At: c.now, Kind: "hold", Host: h, Roll: c.cfg.Roll.Number, Granters: names, Until: until})
	}
	if ejected && until > s.until {
		s.lease = until - c.now
	}
	s.until = until
	switch {
	case ejected && !s.ejected:
		s.ejected, s.since, s.tried = true, c.now, c.now
		c.out.Notes = append(c.out.Notes, Note{At: c.now, Kind: "eject", Host: h, Roll: c.cfg.Roll.Number, Granters: names, Until: until})
	case !ejected && s.ejected:
		s.ejected, s.since = false, c.now
		c.out.Notes = append(c.out.Notes, Note{At: c.now, Kind: "return", Host: h, Roll: c.cfg.Roll.Number, Granters: names})
	case !ejected && c.now-s.since < c.returning():
		// No step is earned while the last that was seen here was bad.
		if m := c.mine[h]; m != nil && m.answer == Suspect {
			s.since = c.now
		}
	}
}

// forget drops what nobody has anything to say of any more.
func (c *Core) forget() {
	for h, m := range c.mine {
		_, listed := c.log.Incarnation(h.ID)
		in, _ := c.favour(h)
		if m.answer > Deny || m.promised > c.now || in > 0 && listed {
			continue
		}
		if !listed || c.now-m.promised > c.cfg.Remember || m.grants == 0 {
			delete(c.mine, h)
		}
	}
	for h, s := range c.standing {
		if !s.ejected && c.now-s.since > c.returning() {
			delete(c.standing, h)
		}
	}
	for _, p := range c.peers {
		for h, v := range p.votes {
			if v.until <= c.now {
				delete(p.votes, h)
			}
		}
	}
}

// returning is how long a host takes to get its whole share back.
func (c *Core) returning() time.Duration { return time.Duration(len(steps)-1) * c.cfg.Step }

// standings is the table for the agent.
func (c *Core) standings() (out []Standing) {
	for _, h := range c.hosts() {
		if s := c.standing[h]; s != nil && s.ejected {
			out = append(out, c.asking(Standing{Host: h, Until: s.until}, c.trial(h, s)))
			continue
		} else if s != nil && c.now-s.since < c.returning() {
			out = append(out, Standing{Host: h, Part: steps[(c.now-s.since)/c.cfg.Step], Until: s.since + c.returning()})
			continue
		}
		if c.owes(h) {
			out = append(out, c.asking(Standing{Host: h, Part: 1}, true))
		}
	}
	return out
}

// asking asks for an attempt, or for a probe where the host is said to be silent: nobody's
// request is lost to find that out. One that answers probes again is tried.
func (c *Core) asking(s Standing, ask bool) Standing {
	if !ask {
		return s
	}
	silent := false
	for _, p := range c.peers {
		v, ok := p.votes[s.Host]
		silent = silent || ok && v.answer >= Suspect && v.why == BySilence && v.until > c.now
	}
	m := c.mine[s.Host]
	if m != nil && m.answer >= Suspect {
		silent = m.record.LastFailure == outlier.NoAnswer
	}
	s.Probe = silent && (m == nil || m.record.LastProbeSent <= m.record.LastFailureAt || c.now-m.record.LastProbeSent > c.cfg.Age)
	s.Try = !s.Probe
	return s
}

// trial tells whether this member is to try an ejected host now: one is drawn for each round,
// another for the next, trialRounds in a lease. Once a third of the members deny, a majority
// is to try it in two rounds; fewer may be liars.
func (c *Core) trial(h outlier.Host, s *standing) bool {
	each, few := max(c.cfg.Trial, s.lease/trialRounds), 1
	if _, against := c.favour(h); 3*against >= len(c.cfg.Roll.Members) {
		each, few = c.cfg.Trial, (c.cfg.Roll.Quorum()+1)/2
	}
	if c.now-s.tried < each {
		return false
	}
	s.round, s.tried = s.round+1, c.now
	return c.rank(h, s.round) < few
}

// owes tells whether this member is to attempt a host that another moved and that it has not
// met of late: one after the other, until enough have voted or somebody denies.
func (c *Core) owes(h outlier.Host) bool {
	m := c.mine[h]
	if m == nil || m.tried || m.answer != Abstain || m.why != NoEvidence {
		return false
	}
	in, against := c.favour(h)
	if in == 0 || in >= c.cfg.Roll.Quorum() || against >= 2*in {
		m.owedAt = 0
		return false
	}
	if m.owedAt == 0 {
		m.owedAt = c.now
	}
	if c.now-m.owedAt < owedAfter+time.Duration(c.rank(h, -1))*owedEach {
		return false
	}
	m.tried = true
	return true
}

// rank is this member's place among all for a host and a round, the same at all.
func (c *Core) rank(h outlier.Host, round int64) (place int) {
	mine := hash(h, round, c.cfg.Self)
	for _, name := range c.cfg.Roll.Members {
		if hash(h, round, name) < mine {
			place++
		}
	}
	return place
}

func hash(h outlier.Host, round int64, name string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d\x00%s", h.ID, h.Incarnation, round, name))
}

// said is an answer as others are told it, without what changes with the clock.
type said struct {
	host   outlier.Host
	answer Answer
	why    Why
	until  time.Duration
}

// answers is what others are to know, in the order of names: what only this member cares for
// is not.
func (c *Core) answers() (out []said) {
	for h, m := range c.mine {
		if in, _ := c.favour(h); in == 0 {
			continue
		}
		s := said{h, m.answer, m.why, 0}
		if m.answer == Grant {
			s.until = m.until
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b said) int {
		return cmp.Or(cmp.Compare(b.answer, a.answer), compare(a.host, b.host))
	})
	return out[:min(len(out), maxEntries)]
}

// letters writes to members.
func (c *Core) letters(to []string) {
	var entries []Entry
	for _, s := range c.answers() {
		m := c.mine[s.host]
		e := Entry{Host: s.host, Answer: m.answer, Why: m.why, Attempts: m.record.Attempts, Bad: m.record.Failures, Left: c.cfg.Age}
		switch m.answer {
		case Grant:
			e.Left = max(m.until-c.now, 0)
		case Suspect:
			e.Left = max(c.cfg.Age-(c.now-m.record.LastFailureAt), 0)
		case Deny:
			e.Left = max(c.cfg.Age-(c.now-m.record.LastSuccessSent), 0)
		}
		e.Seen = min(max(c.now-m.record.LastFailureSent, 0), mostLease)
		entries = append(entries, e)
	}
	for _, name := range to {
		p := c.peers[name]
		if p == nil {
			continue
		}
		l := &Letter{Version: Version, From: c.cfg.Self, Boot: c.cfg.Boot, Roll: c.cfg.Roll.Number, Sent: c.now, Entries: entries}
		if p.boot != 0 {
			l.EchoBoot, l.Echo, l.Kept = p.boot, p.stamp, c.now-p.stampAt
		}
		c.out.Letters[name] = l
	}
}

// repeat sends the state once more: some times after a change to all, and in turn to one.
func (c *Core) repeat() {
	if c.sentAgain < len(again) && c.now-c.changedAt >= again[c.sentAgain] {
		c.sentAgain++
		c.letters(c.cfg.Roll.Members)
		return
	}
	n := len(c.cfg.Roll.Members)
	if every := time.Second / time.Duration(min(beats, n)); c.now-c.beatAt >= every {
		c.beatAt = c.now // and not later by one: after a pause no burst is owed
		c.letters(c.cfg.Roll.Members[c.beatNext : c.beatNext+1])
		c.beatNext = (c.beatNext + 1) % n
	}
}

func (c *Core) note(kind string, h outlier.Host, m *own) {
	n := Note{At: c.now, Kind: kind, Host: h, Why: m.why, Roll: c.cfg.Roll.Number, Attempts: m.record.Attempts, Bad: m.record.Failures}
	if m.answer == Grant {
		n.Until = m.until
	}
	c.out.Notes = append(c.out.Notes, n)
}
