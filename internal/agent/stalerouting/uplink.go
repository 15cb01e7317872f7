package stalerouting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Sense is by what something outside the site was heard.
type Sense uint8

// The senses.
const (
	List   Sense = iota // discovery answered a call
	Pong                // an agent of another site answered a ping: both ways are open
	Answer              // a server of another zone served a request
)

// Config is what a member is told of its site and of what counts as silence.
type Config struct {
	Self string
	Site []string // the roll: all members, this one included
	// Quiet is for how long nothing from outside must have been heard.
	Quiet time.Duration
	// Beat is the time between two words to each member, and between two pings.
	Beat time.Duration
	// Step is how long what lies outside gets each part of its share when the uplink is back.
	Step time.Duration
	// Hold is how long a site stays dark after the last majority for it, where nobody hears
	// anything from outside: the others may have died.
	Hold time.Duration
	// Dark is that an earlier life, not long ago, knew the uplink to be lost: all that is
	// known until something is heard.
	Dark bool
	// Seed is of what is drawn.
	Seed uint64
}

// Defaults are the times where nothing else is said.
func Defaults() Config {
	return Config{Quiet: 2 * time.Second, Beat: 500 * time.Millisecond, Step: time.Second, Hold: 10 * time.Minute}
}

// Validate tells what makes no sense, by key.
func (c *Config) Validate() error {
	switch {
	case c.Beat < 50*time.Millisecond || c.Beat > 10*time.Second:
		return fmt.Errorf("beat: must be 50ms to 10s, is %v", c.Beat)
	case c.Quiet < 3*c.Beat || c.Quiet > 10*time.Minute:
		return fmt.Errorf("quiet: must be three beats (%v) to 10m, is %v", 3*c.Beat, c.Quiet)
	case c.Step <= 0 || c.Step > 10*time.Minute:
		return fmt.Errorf("step: must be above 0 and at most 10m, is %v", c.Step)
	case c.Hold < c.Quiet || c.Hold > time.Hour:
		return fmt.Errorf("hold: must be quiet (%v) to 1h, is %v", c.Quiet, c.Hold)
	case !slices.Contains(c.Site, c.Self):
		return fmt.Errorf("site: %q, this agent, is not in it", c.Self)
	}
	return nil
}

// pings is how many agents of other sites are asked at each beat, few how many members get a
// word while there is nothing to say; linkMost is what a word may have taken on its way, added
// to its age; quietBeats is how many beats a word holds.
const (
	pings, few = 2, 2
	linkMost   = 250 * time.Millisecond
	quietBeats = 4
)

// Version is that of words and of sets that travel. Another is turned away.
const Version = 1

// Word is what a member tells the others of its site, whole: the newest makes all before it
// stale, so any may be lost, repeated or come late.
type Word struct {
	Version int
	From    string
	Boot    uint64 // names the life of the sender's process
	Seq     uint64 // one more with each word of that life
	Dark    bool   // the sender hears nothing from outside
	Digest  uint64 // of its Set
}

// Check tells what is wrong with a word of another process, by field.
func (w *Word) Check() error {
	switch {
	case w.Version != Version:
		return fmt.Errorf("word: version: %d, %d is spoken", w.Version, Version)
	case w.From == "" || len(w.From) > maxName:
		return fmt.Errorf("word: from: a name of %d bytes", len(w.From))
	}
	return nil
}

// Phase is how a site stands to what lies outside.
type Phase uint8

// The phases.
const (
	Light     Phase = iota
	Dark            // the uplink is lost: nothing is sent out of the site
	Returning       // it is back, and what lies outside gets its share by steps
)

// String names the phase as logs and traces have it.
func (p Phase) String() string { return [...]string{"light", "dark", "returning"}[p] }

// parts of its share that what lies outside gets, one after the other, when the uplink is back.
var parts = [...]float64{0.1, 0.3, 1}

// Out is what the core asks of its caller.
type Out struct {
	// Word is for each member named in To.
	Word Word
	To   []string
	// Pings are agents of other sites to be asked for a pong.
	Pings []string
	// Ask asks discovery for the whole list.
	Ask bool
	// Sync names a member whose set differs while discovery can't be heard.
	Sync string
	// Phase and Share hold until Until; Changed tells of another than at the last tick. A share
	// of 0 is that nothing is sent out of the site.
	Phase   Phase
	Share   float64
	Until   time.Duration
	Changed bool
	// Agreed is how many members say that they hear nothing from outside.
	Agreed int
}

// Uplink is one member's part in finding out that the uplink is lost: a state machine without
// I/O, not safe for concurrent use.
type Uplink struct {
	cfg      Config
	rng      *rand.Rand
	boot     uint64
	now      time.Duration
	started  bool
	heard    time.Duration // when anything outside was last heard
	ever     bool          // in this life
	list     bool          // discovery has been heard in this life
	since    time.Duration // when something was first heard again, without a gap of Quiet
	outside  []string      // agents of other sites that are there
	words    map[string]word
	seq      uint64
	tickAt   time.Duration
	beatAt   time.Duration
	said     bool // of the last word: that nothing is heard
	askAt    time.Duration
	phase    Phase
	at       time.Duration // when the phase began
	agreedAt time.Duration // when a majority last heard nothing
	share    float64
}

type word struct {
	Word
	at time.Duration // when it was said, at the latest by the stated bound of links
}

// NewUplink returns a member that has heard nothing yet. Boot names this life.
func NewUplink(cfg Config, boot uint64) (*Uplink, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("decisions: %w", err)
	}
	return &Uplink{cfg: cfg, boot: boot, rng: rand.New(rand.NewPCG(cfg.Seed, boot)), words: map[string]word{}, share: 1}, nil
}

// begin sets the clock.
func (u *Uplink) begin(now time.Duration) {
	if !u.started {
		// The first beat is at once, the first call to discovery a part of Quiet later.
		u.started, u.heard, u.tickAt, u.beatAt, u.askAt = true, now, now, now-u.cfg.Beat, now
	}
	u.now = max(u.now, now)
}

// Heard takes that something outside was heard.
func (u *Uplink) Heard(now time.Duration, by Sense) {
	u.begin(now)
	if !u.ever || u.now-u.heard > u.cfg.Quiet {
		u.since = u.now
	}
	u.heard, u.ever, u.list = u.now, true, u.list || by == List
}

// Members says which agents of other sites are there, by name.
func (u *Uplink) Members(now time.Duration, outside []string) {
	u.begin(now)
	u.outside = slices.Clone(outside)
	slices.Sort(u.outside)
}

// Receive takes a word of a member. One that is stale or of no member is dropped with the
// reason as its error.
func (u *Uplink) Receive(now time.Duration, w Word) error {
	u.begin(now)
	if err := w.Check(); err != nil {
		return err
	}
	was, ok := u.words[w.From]
	switch {
	case w.From == u.cfg.Self || !slices.Contains(u.cfg.Site, w.From):
		return fmt.Errorf("word: from: %s is no other member", w.From)
	case ok && was.Boot == w.Boot && was.Seq >= w.Seq:
		return fmt.Errorf("word: seq: an older one of %s", w.From)
	}
	u.words[w.From] = word{w, u.now - linkMost}
	return nil
}

// quiet tells whether this member hears nothing from outside: for Quiet, or, at the start of a
// life whose earlier one knew the uplink to be lost, as long as it has heard nothing.
func (u *Uplink) quiet() bool {
	return u.now-u.heard >= u.cfg.Quiet || u.cfg.Dark && !u.ever
}

// light tells whether it does hear something, in this life.
func (u *Uplink) light() bool { return u.ever && u.now-u.heard < u.cfg.Quiet }

// fresh tells whether a word still holds.
func (u *Uplink) fresh(w word) bool { return u.now-w.at <= quietBeats*u.cfg.Beat }

// agreed counts the members that hear nothing.
func (u *Uplink) agreed() (n int) {
	if u.quiet() {
		n++
	}
	for _, w := range u.words {
		if w.Dark && u.fresh(w) {
			n++
		}
	}
	return n
}

// refuted tells whether a majority hears something from outside.
func (u *Uplink) refuted() bool {
	n := 0
	if u.light() {
		n++
	}
	for _, w := range u.words {
		if !w.Dark && u.fresh(w) {
			n++
		}
	}
	return 2*n > len(u.cfg.Site)
}

// move decides the phase. A majority is needed to go dark; to stay so it is enough that no
// majority speaks against it, as the members that agreed may have died since.
func (u *Uplink) move(agreed int) {
	majority := 2*agreed > len(u.cfg.Site)
	if majority {
		u.agreedAt = u.now
	}
	enter := func(p Phase) { u.phase, u.at = p, u.now }
	switch {
	case u.phase != Dark && majority && !u.light():
		enter(Dark)
	case u.phase == Dark && (u.refuted() || u.now-u.agreedAt > u.cfg.Hold || u.light() && u.now-u.since >= 2*u.cfg.Quiet):
		enter(Returning)
		// Discovery is asked at once, with jitter: all of the site come back at this moment.
		u.list, u.askAt = false, u.now-u.askEvery()+time.Duration(u.rng.Int64N(int64(u.cfg.Beat)))
	case u.phase == Returning && u.now-u.at >= time.Duration(len(parts)-1)*u.cfg.Step:
		enter(Light)
	}
}

// askEvery is the time between two calls to discovery: seldom while the site is dark, as a
// pong tells of the uplink's return.
func (u *Uplink) askEvery() time.Duration {
	if u.phase == Dark {
		return 2 * u.cfg.Quiet
	}
	return u.cfg.Quiet / 2
}

// Tick decides anew and returns what is to be done; digest is that of the member's Set. It is
// to be called a few times in each beat.
func (u *Uplink) Tick(now time.Duration, digest uint64) *Out {
	u.begin(now)
	// Who did not listen has heard no silence: what a pause of the process was long is not counted.
	if gap := u.now - u.tickAt; gap > u.cfg.Beat {
		u.heard = min(u.heard+gap, u.now)
	}
	u.tickAt = u.now
	out := &Out{Agreed: u.agreed()}
	was, share := u.phase, u.share
	u.move(out.Agreed)
	switch u.phase {
	case Light:
		u.share = 1
	case Dark:
		u.share = 0
	case Returning:
		u.share = parts[min(int((u.now-u.at)/u.cfg.Step), len(parts)-1)]
	}
	out.Phase, out.Share, out.Until = u.phase, u.share, u.now+quietBeats*u.cfg.Beat
	out.Changed = u.phase != was || u.share != share
	// Silence is made sure of before it is believed: a list that does not change says nothing
	// by itself.
	asking := u.now-u.heard >= u.cfg.Quiet/2 || u.phase == Dark || u.phase == Returning && !u.list
	if asking && u.now-u.askAt >= u.askEvery() {
		out.Ask, u.askAt = true, u.now
	}
	dark := u.quiet()
	if u.now-u.beatAt >= u.cfg.Beat || dark != u.said {
		u.beat(out, digest, dark)
	}
	return out
}

// beat says this member's word, to all while it hears nothing or has just heard something
// again and to a few otherwise, and asks whether anybody outside is there.
func (u *Uplink) beat(out *Out, digest uint64, dark bool) {
	most := few
	if dark || dark != u.said {
		most = len(u.cfg.Site)
	}
	u.seq++
	u.beatAt, u.said = u.now, dark
	out.Word = Word{Version: Version, From: u.cfg.Self, Boot: u.boot, Seq: u.seq, Dark: dark, Digest: digest}
	for _, i := range u.rng.Perm(len(u.cfg.Site)) {
		if m := u.cfg.Site[i]; m != u.cfg.Self && len(out.To) < most {
			out.To = append(out.To, m)
		}
	}
	for _, i := range u.rng.Perm(len(u.outside))[:min(pings, len(u.outside))] {
		out.Pings = append(out.Pings, u.outside[i])
	}
	if !u.Deaf() {
		return
	}
	// One neighbour at a time, drawn of those whose set differs.
	var differ []string
	for _, m := range u.cfg.Site {
		if w, ok := u.words[m]; ok && w.Digest != digest && u.fresh(w) {
			differ = append(differ, m)
		}
	}
	if len(differ) > 0 {
		out.Sync = differ[u.rng.IntN(len(differ))]
	}
}

// Deaf tells whether discovery can't be asked now, so that what neighbours were told is all
// there is: the site is dark, or this life has not heard discovery yet.
func (u *Uplink) Deaf() bool { return u.phase == Dark || !u.list }
