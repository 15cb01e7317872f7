// Package outlier keeps what one agent saw of each report server of late, as a base for
// votes: what happened to attempts of its own, never what others tell.
//
// It is pure: times are given, as time since some start on the monotonic clock. It holds at
// most the hosts that it was told are listed. An attempt counts for the incarnation that it
// was sent to only: a process that started again is another host.
package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Host names one process of a report server.
type Host struct {
	ID string
	// Incarnation is when it started by the list, in Unix ms: a label, never compared to a
	// clock. 0 is long ago.
	Incarnation int64
}

// Kind is how an attempt ended.
type Kind uint8

// The kinds. Full, that a host says it has no room or was given too little time, is neither
// good nor bad: what is crowded is not sick.
const (
	Good Kind = iota
	Failed
	Silent // no answer in a time in which others answer
	Slow   // an answer, late
	Full
)

// String names the kind as logs and metrics have it.
func (k Kind) String() string { return [...]string{"good", "failed", "silent", "slow", "full"}[k] }

// bad tells whether the kind speaks against its host.
func (k Kind) bad() bool { return k == Failed || k == Silent || k == Slow }

const (
	// buckets is into how many parts the window is cut: a record's age is known to a part.
	buckets = 10
	// slowTimes and slowLeast are how many times the usual an answer must take to be slow, and
	// the least part of its aim: an answer that is well in its aim is none, however quick the
	// others are.
	slowTimes, slowLeast = 3.0, 0.5
	// silentTimes is how many times the usual, or a whole aim, an attempt must have waited to
	// tell of silence: clients that come near their end leave less.
	silentTimes = 4.0
	// slowFor is how long all answers must have been slow: longer than hosts stand still.
	slowFor = time.Second
	// usualWeight is the weight of one answer in what is usual.
	usualWeight = 0.02
)

// Record is what was seen of a host in the window.
type Record struct {
	Attempts int
	Bad      int
	Kind     Kind          // of the last bad one
	LastBad  time.Duration // when the last bad one ended, and
	BadSent  time.Duration // when it had been sent
	BadFrom  time.Duration // when the first bad one since the last good one was sent
	Probed   time.Duration // when the last probe that was answered was sent
	LastGood time.Duration // when the last good one was sent; before all others: never
}

// Log is the evidence of one agent. It is not safe for concurrent use.
type Log struct {
	window time.Duration
	hosts  map[string]*trail
	utils  map[string]*util // by zone
	usual  map[int]float64  // by class: part of its aim that an answer takes
}

type trail struct {
	host     Host
	weight   float64
	zone     string
	from     [buckets]time.Duration // start of the part that a bucket counts
	attempts [buckets]int
	bad      [buckets]int
	last     Kind
	lastBad  time.Duration
	badSent  time.Duration
	badFrom  time.Duration
	probed   time.Duration
	lastGood time.Duration
}

// util is how busy a zone's hosts said that they are: a running mean of the last probes.
type util struct {
	mean  float64
	count int
	at    time.Duration
}

// utilMost is how many probes tell how busy a zone is.
const utilMost = 8

func (l *Log) heard(zone string, x float64, at time.Duration) {
	u := l.utils[zone]
	if u == nil || at-u.at > l.window {
		u = &util{}
		l.utils[zone] = u
	}
	u.count = min(u.count+1, utilMost)
	u.mean += (x - u.mean) / float64(u.count)
	u.at = at
}

// never is a time before all others.
const never = time.Duration(-1 << 62)

// New returns an empty log that remembers attempts for so long.
func New(window time.Duration) *Log {
	return &Log{window: window, hosts: map[string]*trail{}, utils: map[string]*util{}, usual: map[int]float64{}}
}

// Listed says which hosts there are, with weight and zone; others are forgotten. A host in
// a new incarnation starts with no record.
func (l *Log) Listed(hosts []Listed) {
	named := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		named[h.ID] = true
		t := l.hosts[h.ID]
		if t == nil || t.host != h.Host {
			t = &trail{host: h.Host, lastBad: never, badSent: never, probed: never, lastGood: never}
			l.hosts[h.ID] = t
		}
		t.weight, t.zone = h.Weight, h.Zone
	}
	for id := range l.hosts {
		if !named[id] {
			delete(l.hosts, id)
		}
	}
}

// Listed is a host as the list has it.
type Listed struct {
	Host
	Zone   string
	Weight float64
}

// Sight is one attempt of the agent's own that ended.
type Sight struct {
	Host  Host
	Class int
	Kind  Kind
	// OfAim is how long a good answer took, as a part of its class's aim; it may make it Slow.
	OfAim float64
	// Sent is when it was sent, At when it ended.
	Sent, At time.Duration
	// Probe is no request. That it is answered says only that the process runs; that nothing
	// comes is silence as any.
	Probe bool
	// Util is how busy the host says that it is, of probes that tell; negative: not told.
	Util float64
}

// Saw takes an attempt and returns the kind that it counts as.
func (l *Log) Saw(s Sight) Kind {
	t := l.hosts[s.Host.ID]
	if s.Probe && s.Kind == Good {
		if t != nil && t.host == s.Host {
			t.probed = max(t.probed, s.Sent)
			if s.Util >= 0 {
				l.heard(t.zone, s.Util, s.At)
			}
		}
		return s.Kind
	}
	usual, known := l.usual[s.Class]
	if s.Kind == Silent && !s.Probe && s.OfAim < 1 && (!known || s.OfAim < silentTimes*usual) {
		return Full
	}
	if s.Kind == Good {
		if known && s.OfAim > slowLeast && s.OfAim > slowTimes*usual {
			s.Kind = Slow
		}
		if !known {
			usual = s.OfAim
		}
		// Slow ones move it too, or a fleet that is slow as a whole would never be usual.
		l.usual[s.Class] = usual + usualWeight*(s.OfAim-usual)
	}
	if t == nil || t.host != s.Host || s.Kind == Full {
		return s.Kind
	}
	part := l.window / buckets
	i := int(s.At/part) % buckets
	if from := s.At - s.At%part; t.from[i] != from {
		t.from[i], t.attempts[i], t.bad[i] = from, 0, 0
	}
	t.attempts[i]++
	if s.Kind.bad() {
		t.bad[i]++
		if t.lastBad <= t.lastGood {
			t.badFrom = s.Sent
		}
		t.last, t.lastBad, t.badSent = s.Kind, max(t.lastBad, s.At), max(t.badSent, s.Sent)
	} else {
		// A good answer tells of the time it was sent at: what was sent before a failure says
		// nothing of what came after.
		t.lastGood = max(t.lastGood, s.Sent)
	}
	return s.Kind
}

// Of is the record of a host; false if that incarnation is not listed.
func (l *Log) Of(h Host, now time.Duration) (Record, bool) {
	t := l.hosts[h.ID]
	if t == nil || t.host != h {
		return Record{}, false
	}
	return t.record(now, l.window), true
}

func (t *trail) record(now, window time.Duration) Record {
	r := Record{Kind: t.last, LastBad: t.lastBad, BadSent: t.badSent, BadFrom: t.badFrom, Probed: t.probed, LastGood: t.lastGood}
	for i := range buckets {
		if t.from[i]+window/buckets > now-window {
			r.Attempts += t.attempts[i]
			r.Bad += t.bad[i]
		}
	}
	return r
}

// Incarnation is the listed incarnation of a host; false if it is not listed.
func (l *Log) Incarnation(id string) (Host, bool) {
	t := l.hosts[id]
	if t == nil {
		return Host{}, false
	}
	return t.host, true
}

// Weight is the part of its zone's listed weight that a host has, and its zone.
func (l *Log) Weight(h Host) (part float64, zone string) {
	t := l.hosts[h.ID]
	if t == nil || t.host != h {
		return 0, ""
	}
	all := 0.0
	for _, o := range l.hosts {
		if o.zone == t.zone {
			all += o.weight
		}
	}
	if all <= 0 {
		return 0, t.zone
	}
	return t.weight / all, t.zone
}

// Zone is what was met of a zone's hosts within the window.
type Zone struct {
	Name     string
	Weight   float64 // of its hosts, as listed
	Met, Bad int     // hosts met, and of them those whose record speaks against them
	Hurt     int     // those that failed any attempt
	Attempts int
	Failed   int     // of them the bad ones
	Util     float64 // how busy its hosts say that they are, mean of the last
	Probes   int     // so many
}

// Zones are all that have a host listed, by name.
func (l *Log) Zones(now time.Duration) (out []Zone) {
	for _, t := range l.hosts {
		i, ok := slices.BinarySearchFunc(out, t.zone, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !ok {
			out = slices.Insert(out, i, Zone{Name: t.zone})
		}
		out[i].Weight += t.weight
		if u := l.utils[t.zone]; u != nil && now-u.at <= l.window {
			out[i].Util, out[i].Probes = u.mean, u.count
		}
		if r := t.record(now, l.window); r.Attempts > 0 {
			out[i].Met++
			out[i].Attempts += r.Attempts
			out[i].Failed += r.Bad
			if r.Bad > 0 {
				out[i].Hurt++
			}
			if r.Against(now, l.window) {
				out[i].Bad++
			}
		}
	}
	return out
}

// BadPart is the part of the hosts met within the window whose record speaks against them,
// by count, and how many were met. An observer to whom much looks bad is likely at fault
// itself.
func (l *Log) BadPart(now time.Duration) (part float64, met int) {
	bad := 0
	for _, t := range l.hosts {
		r := t.record(now, l.window)
		if r.Attempts == 0 {
			continue
		}
		met++
		if r.Against(now, l.window) {
			bad++
		}
	}
	if met == 0 {
		return 0, 0
	}
	return float64(bad) / float64(met), met
}

// Against tells whether a record speaks against its host: the last that was seen of it, no
// longer ago than age, was bad. For one agent that is little, as connections break on any host;
// that a majority has it so at a time is not chance, and waiting for a second failure of each
// would cost as many requests again. A host that stands still for a moment is slow to many at
// once, though: slowness counts once it lasted, and costs no request to wait for.
func (r Record) Against(now, age time.Duration) bool {
	lasted := r.Kind != Slow || r.LastBad-r.BadFrom >= slowFor
	return r.Bad > 0 && lasted && r.LastBad > r.LastGood && now-r.LastBad <= age
}

// For tells whether it speaks for its host: the last that was seen, no longer ago than age,
// was good.
func (r Record) For(now, age time.Duration) bool {
	return r.LastGood > r.LastBad && now-r.LastGood <= age
}

// Suspects are the hosts whose records speak against them, in the order of their names.
func (l *Log) Suspects(now, age time.Duration) (out []Host) {
	for _, t := range l.hosts {
		if t.record(now, l.window).Against(now, age) {
			out = append(out, t.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
