package rollout

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// slot is for how long requests are compared with each other only: load and mix change.
	slot = 10 * time.Second
	// memory is the time in which what was compared fades, and z how many deviations a difference
	// has to lie beyond what is borne: it is looked at thousands of times. zOne is that of one
	// kind, size or group among hundreds.
	memory, z, zOne = 30 * time.Minute, 4.0, 5.0
	// maxCells bounds what one report and one slot hold, maxFamilies what is compared by itself.
	maxCells, maxFamilies = 2048, 1024
	// sizes and classes are the classes of prompts by their length and of groups by their hash.
	sizes, classes = 8, 8
)

// Sample is one attempt that ended, as its agent saw it.
type Sample struct {
	Group   Group
	Prompt  int // tokens
	Server  string
	First   time.Duration // to the first token; 0: none came
	Aim     time.Duration // in which it had to come
	Pause   time.Duration // the longest between two events
	GapAim  time.Duration // 0: none is asked for
	Events  int
	Cold    bool // the server had to read shared parts that others keep: its first token tells nothing
	Failed  bool // it may have run and has no whole answer, but for the client's own leaving
	Refused bool // the server turned it away unrun
}

// Cell is what is compared with its like only: attempts of one kind, length and class of groups at
// servers of one side.
type Cell struct {
	Route string `msgpack:"r"`
	Size  uint8  `msgpack:"s"`
	Class uint8  `msgpack:"c"`
	New   bool   `msgpack:"n"`
}

// Counts are sums over attempts. Times and events count as logarithms: of ratios.
type Counts struct {
	N        int     `msgpack:"n"` // attempts
	Refused  int     `msgpack:"r"`
	Failed   int     `msgpack:"f"`
	Late     int     `msgpack:"l"`
	Paused   int     `msgpack:"p"`
	Answered int     `msgpack:"a"` // with a first token
	Warm     int     `msgpack:"m"` // of them, from kept parts
	First    float64 `msgpack:"t"` // ms
	FirstSq  float64 `msgpack:"u"`
	Whole    int     `msgpack:"w"` // answered, and not failed
	Length   float64 `msgpack:"e"` // events
	LengthSq float64 `msgpack:"g"`
}

func (c *Counts) add(s *Sample) {
	c.N++
	if s.Refused {
		c.Refused++
		return
	}
	if s.Failed {
		c.Failed++
	}
	if s.First <= 0 {
		return
	}
	c.Answered++
	if s.GapAim > 0 && s.Pause > s.GapAim {
		c.Paused++
	}
	x := math.Log(math.Max(s.First.Seconds()*1e3, 0.1))
	if !s.Cold {
		c.Warm, c.First, c.FirstSq = c.Warm+1, c.First+x, c.FirstSq+x*x
		if s.Aim > 0 && s.First > s.Aim {
			c.Late++
		}
	}
	if !s.Failed && s.Events > 0 {
		x = math.Log(float64(s.Events))
		c.Whole, c.Length, c.LengthSq = c.Whole+1, c.Length+x, c.LengthSq+x*x
	}
}

func (c *Counts) merge(o *Counts) {
	c.N, c.Refused, c.Failed, c.Late, c.Paused = c.N+o.N, c.Refused+o.Refused, c.Failed+o.Failed, c.Late+o.Late, c.Paused+o.Paused
	c.Answered, c.Warm, c.First, c.FirstSq = c.Answered+o.Answered, c.Warm+o.Warm, c.First+o.First, c.FirstSq+o.FirstSq
	c.Whole, c.Length, c.LengthSq = c.Whole+o.Whole, c.Length+o.Length, c.LengthSq+o.LengthSq
}

// sane refuses what no agent can have counted: one bad report must not decide for all.
func (c *Counts) sane() bool {
	most := 20 * float64(c.N)
	return c.N >= 0 && c.N < 1e7 && c.Refused >= 0 && c.Failed >= 0 && c.Late >= 0 && c.Paused >= 0 && c.Whole >= 0 &&
		c.Refused <= c.N && c.Failed <= c.N && c.Answered <= c.N && c.Warm >= 0 && c.Warm <= c.Answered && c.Late <= c.Warm &&
		c.Paused <= c.Answered && c.Whole <= c.Answered && math.Abs(c.First) <= most && c.FirstSq >= 0 && c.FirstSq <= 20*most &&
		math.Abs(c.Length) <= most && c.LengthSq >= 0 && c.LengthSq <= 20*most
}

// Meter is an agent's part: what it saw of both sides. It is not safe for concurrent use.
type Meter struct {
	cells map[Cell]*Counts
	own   map[string]*Counts
}

// NewMeter returns one that saw nothing.
func NewMeter() *Meter { return &Meter{cells: map[Cell]*Counts{}, own: map[string]*Counts{}} }

// Ended takes an attempt that ended at a server of one side; own: the server is on its way in.
func (m *Meter) Ended(s *Sample, isNew, own bool) {
	c := Cell{Route: s.Group.Route, Size: sizeOf(s.Prompt), Class: uint8(s.Group.bucket() % classes), New: isNew}
	if m.cells[c] == nil {
		if len(m.cells) >= maxCells {
			return
		}
		m.cells[c] = &Counts{}
	}
	m.cells[c].add(s)
	if !own {
		return
	}
	if m.own[s.Server] == nil {
		if len(m.own) >= maxMoving {
			return
		}
		m.own[s.Server] = &Counts{}
	}
	m.own[s.Server].add(s)
}

// sizeOf is a prompt's class: to 256 tokens, and for each doubling.
func sizeOf(tokens int) uint8 { return uint8(min(max(bits.Len(uint(max(tokens, 0)))-8, 0), sizes-1)) }

// Seen is what a report tells of both sides.
type Seen struct {
	Cells []SeenCell         `msgpack:"c,omitempty"`
	Own   map[string]*Counts `msgpack:"o,omitempty"` // by server on its way in
}

// SeenCell is the counts of a cell.
type SeenCell struct {
	Cell
	Counts `msgpack:"Counts,noinline"` // its keys are also some of Cell's
}

// Take hands out what is new since it was taken last.
func (m *Meter) Take() Seen {
	var s Seen
	for cell, c := range m.cells {
		s.Cells = append(s.Cells, SeenCell{cell, *c})
	}
	if len(m.own) > 0 {
		s.Own = m.own
	}
	m.cells, m.own = map[Cell]*Counts{}, map[string]*Counts{}
	return s
}

// Ruling is what the judge holds of the new revision.
type Ruling uint8

// The rulings. Open: too few requests were compared.
const (
	Open Ruling = iota
	Fine
	Worse
)

// Verdict is a ruling and what it rests on.
type Verdict struct {
	Ruling Ruling  `json:"ruling"`
	Why    string  `json:"why,omitempty"`
	Old    float64 `json:"old"` // requests compared, faded
	New    float64 `json:"new"`
	Slower float64 `json:"slower"` // ratio of times to the first token
}

// Judge compares the new revision with the old one: by strata of one kind, length, class of groups
// and slot of time, put together as Mantel and Haenszel do. It is not safe for concurrent use.
type Judge struct {
	ends  time.Duration // of the slot
	cells map[Cell]*Counts
	sums  map[family]*sums
}

// family is a set of strata that is judged by itself; the zero value is all of them.
type family struct {
	route string
	size  int // 1 + the class; 0: all
	class int
}

const (
	failed = iota
	refused
	late
	paused
	slower
	longer
	measures
)

var measureNames = [measures]string{"fail", "are turned away", "are late", "pause too long", "slower", "length"}

// sums is what strata came to. For each measure the weights of the strata, the weighted differences
// and their variance.
type sums struct {
	old, new  float64
	weight    [measures]float64
	diff, dev [measures]float64
}

// NewJudge returns one that has compared nothing.
func NewJudge() *Judge { return &Judge{cells: map[Cell]*Counts{}, sums: map[family]*sums{}} }

// Add takes what an agent saw.
func (j *Judge) Add(cells []SeenCell) {
	for i := range cells[:min(len(cells), maxCells)] {
		c := &cells[i]
		if !c.sane() || c.Size >= sizes || c.Class >= classes || len(c.Route) > maxName {
			continue
		}
		if j.cells[c.Cell] == nil {
			if len(j.cells) >= 2*maxCells {
				continue
			}
			j.cells[c.Cell] = &Counts{}
		}
		j.cells[c.Cell].merge(&c.Counts)
	}
}

// Tick ends the slot when it is over.
func (j *Judge) Tick(now time.Duration) {
	if j.ends == 0 {
		j.ends = now + slot
	}
	if now < j.ends {
		return
	}
	fade := math.Exp(-float64(now-j.ends+slot) / float64(memory))
	j.ends = now + slot
	for f, s := range j.sums {
		s.old, s.new = s.old*fade, s.new*fade
		for i := range measures {
			s.weight[i], s.diff[i], s.dev[i] = s.weight[i]*fade, s.diff[i]*fade, s.dev[i]*fade*fade
		}
		if s.old+s.new < 0.5 {
			delete(j.sums, f)
		}
	}
	// In one order, so that sums come out alike whoever adds them up.
	var order []Cell
	for cell := range j.cells {
		if cell.New {
			order = append(order, cell)
		}
	}
	slices.SortFunc(order, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Class, b.Class))
	})
	for _, cell := range order {
		was := cell
		was.New = false
		o, n := j.cells[was], j.cells[cell]
		if o == nil {
			continue
		}
		size, class := int(cell.Size)+1, int(cell.Class)+1
		for _, f := range []family{{}, {route: cell.Route}, {route: cell.Route, size: size}, {route: cell.Route, class: class}} {
			s := j.sums[f]
			if s == nil {
				if len(j.sums) >= maxFamilies {
					continue
				}
				s = &sums{}
				j.sums[f] = s
			}
			s.compare(o, n)
		}
	}
	clear(j.cells)
}

// compare adds one stratum.
func (s *sums) compare(o, n *Counts) {
	s.old, s.new = s.old+float64(o.N), s.new+float64(n.N)
	part := func(m, xo, no, xn, nn int) {
		if no == 0 || nn == 0 {
			return
		}
		a, b := float64(nn), float64(no)
		all, hit := a+b, float64(xo+xn)
		s.weight[m] += a * b / all
		s.diff[m] += (float64(xn)*b - float64(xo)*a) / all
		if all > 1 {
			s.dev[m] += a * b * hit * (all - hit) / (all * all * (all - 1))
		}
	}
	part(failed, o.Failed, o.N-o.Refused, n.Failed, n.N-n.Refused)
	part(refused, o.Refused, o.N, n.Refused, n.N)
	part(late, o.Late, o.Warm, n.Late, n.Warm)
	part(paused, o.Paused, o.Answered, n.Paused, n.Answered)
	mean := func(m, no int, so, qo float64, nn int, sn, qn float64) {
		if no == 0 || nn == 0 || no+nn < 3 {
			return
		}
		a, b := float64(nn), float64(no)
		w := a * b / (a + b)
		spread := math.Max(qo-so*so/b, 0) + math.Max(qn-sn*sn/a, 0)
		s.weight[m] += w
		s.diff[m] += w * (sn/a - so/b)
		// Strata of a few requests know little of their spread: it is taken to be no less than a
		// tenth either way.
		s.dev[m] += w * math.Max(spread/(a+b-2), 0.01)
	}
	mean(slower, o.Warm, o.First, o.FirstSq, n.Warm, n.First, n.FirstSq)
	mean(longer, o.Whole, o.Length, o.LengthSq, n.Whole, n.Length, n.LengthSq)
}

// worse is the measure in which the new side is surely worse than is borne, -1 if there is none.
func (s *sums) worse(spec *JudgeSpec, z float64) (measure int, diff float64) {
	borne := [measures]float64{spec.FailBy, spec.RefuseBy, spec.LateBy, spec.PauseBy, math.Log(spec.SlowerBy), math.Log(math.Max(spec.LengthBy, 1))}
	for m := range measures {
		if s.weight[m] <= 0 || m == longer && spec.LengthBy == 0 {
			continue
		}
		d, dev := s.diff[m]/s.weight[m], math.Sqrt(s.dev[m])/s.weight[m]
		if m == longer {
			d = math.Abs(d)
		}
		chance := z * dev
		if m < slower { // as Bernstein bounds it: few of a few may be chance
			chance += z * z / (3 * s.weight[m])
		}
		if d-chance > borne[m] {
			return m, d
		}
	}
	return -1, 0
}

// Verdict is what holds by now.
func (j *Judge) Verdict(spec *JudgeSpec) Verdict {
	all := j.sums[family{}]
	if all == nil {
		return Verdict{Slower: 1, Why: fmt.Sprintf("0 of %d requests were compared", spec.Samples)}
	}
	v := Verdict{Ruling: Fine, Old: all.old, New: all.new, Slower: 1}
	if all.weight[slower] > 0 {
		v.Slower = math.Exp(all.diff[slower] / all.weight[slower])
	}
	if n := math.Min(all.old, all.new); n < float64(spec.Samples) {
		v.Ruling, v.Why = Open, fmt.Sprintf("%.0f of %d requests were compared", n, spec.Samples)
		// What fails at once need not be sent as many requests as what is fine.
		if n < float64(min(spec.Samples, 30)) {
			return v
		}
	}
	var names []family
	for f := range j.sums {
		names = append(names, f)
	}
	slices.SortFunc(names, func(a, b family) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.size, b.size), cmp.Compare(a.class, b.class))
	})
	for _, f := range names {
		s, limit := j.sums[f], zOne
		if f == (family{}) {
			limit = z
		}
		if math.Min(s.old, s.new) < 30 {
			continue
		}
		if m, d := s.worse(spec, limit); m >= 0 {
			v.Ruling, v.Why = Worse, fmt.Sprintf("%s: %s", f, describe(m, d))
			return v
		}
	}
	return v
}

func (f family) String() string {
	switch {
	case f == family{}:
		return "all requests"
	case f.size > 0:
		return fmt.Sprintf("route %s, prompts up to %d tokens", f.route, 1<<(f.size+7)-1)
	case f.class > 0:
		return fmt.Sprintf("route %s, groups of class %d", f.route, f.class-1)
	}
	return "route " + f.route
}

func describe(m int, d float64) string {
	switch m {
	case slower:
		return fmt.Sprintf("first tokens take %.2f times as long", math.Exp(d))
	case longer:
		return fmt.Sprintf("streams differ in length by a factor of %.2f", math.Exp(d))
	}
	return fmt.Sprintf("%.1f in 100 more %s", 100*d, measureNames[m])
}
