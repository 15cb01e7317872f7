package ejection

import (
	"fmt"
	"hash/fnv"
	"maps"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is a fault that a test injects, to show that the model checker finds it.
type defect string

const (
	none             defect = ""
	forgetPromise    defect = "a promise is forgotten when the vote changes"
	noQuarantine     defect = "a restarted voter votes without quarantine"
	wrongLeaseStart  defect = "a lease is counted from when the message was received"
	uncappedPromises defect = "each voter may promise the whole zone"
	expiredStandings defect = "a standing does not expire"
	unsyncedPromise  defect = "a promise is made before its expiry is on disk"
)

// voteModel is the state of three voters on three hosts, two of which are unhealthy. A step is a tick of a
// voter, the delivery of a message, the passing of a second, a completed write, a crash or a recovery. Of
// the messages from one voter to another only the newest is in transit. A message that no step delivers is
// lost, and a voter that no step ticks is paused.
type voteModel struct {
	defect         defect
	now            time.Duration
	voters         [3]*modelVoter
	inTransit      [3][3]*VoteMessage       // by sender and recipient
	lastSent       [3][3]string             // summary of the last message, by sender and recipient
	promised       map[string]time.Duration // expiry of the promises, by voter and host
	secondsPassed  int
	crashes        int
	maxSeconds     int           // limit of secondsPassed
	maxCrashes     int           // limit of crashes; only the first voter crashes
	hasDisk        bool          // whether the first voter persists its promises
	persistedUntil time.Duration // time until which promises may stand, as stored on that disk
	writingUntil   time.Duration // the same time in the write that is in progress; 0 if there is none
	mayRecover     bool          // whether the first voter may see the first host recover
}

type modelVoter struct {
	voter        *Voter
	evidence     *outlier.Log
	tickDue      bool // a message was delivered or time passed since its last tick
	standings    []Standing
	attemptTimes []time.Duration // times of its attempts at the unhealthy hosts
	recoveredAt  time.Duration   // when the first host recovered for this voter; 0 if it did not
}

var modelHosts = []outlier.ListedHost{
	{Host: outlier.Host{ID: "x"}, Zone: "z", Weight: 1},
	{Host: outlier.Host{ID: "y"}, Zone: "z", Weight: 1},
	{Host: outlier.Host{ID: "w"}, Zone: "z", Weight: 1}}

func (s *voteModel) config(i int, incarnation uint64) Config {
	c := Config{Self: fmt.Sprint("v", i), Incarnation: incarnation, Electorate: Electorate{Number: 1,
		Members: []string{"v0", "v1", "v2"}}, MaxEjectedFraction: 0.5, Lease: 2 * time.Second,
		MaxLease: 2 * time.Second, MaxEvidenceAge: 2 * time.Second, EscalationWindow: 0, SlowStartStep: time.Second,
		TrialInterval: time.Second, EarlierPromisesFor: -1}
	if s.defect == uncappedPromises {
		c.MaxEjectedFraction = 0.5 * 3 / 2 * 2
	}
	return c
}

func newVoteModel(injected defect) *voteModel {
	s := &voteModel{defect: injected, promised: map[string]time.Duration{}, now: 10 * time.Second}
	for i := range s.voters {
		s.start(i, uint64(1+i))
		s.voters[i].voter.started, s.voters[i].voter.startedAt = true, 0 // its quarantine ended long ago
		s.attempt(i)
	}
	return s
}

// start replaces a voter by a new run without state.
func (s *voteModel) start(i int, incarnation uint64) {
	cfg := s.config(i, incarnation)
	evidence := outlier.New(cfg.MaxEvidenceAge)
	evidence.SetHosts(modelHosts)
	voter := &Voter{config: cfg, evidence: evidence, isMember: true, peers: map[string]*peer{},
		own: map[outlier.Host]*ownVote{}, ejections: map[outlier.Host]*ejection{}}
	for _, m := range cfg.Electorate.Members {
		if m != cfg.Self {
			voter.peers[m] = &peer{votes: map[outlier.Host]peerVote{}}
		}
	}
	if s.hasDisk && i == 0 {
		voter.config.PersistsPromises, voter.config.EarlierPromisesFor = true, max(s.persistedUntil-s.now, 0)
		s.writingUntil = 0 // a write in progress is lost
	}
	if s.defect == noQuarantine {
		voter.started, voter.startedAt = true, s.now-time.Hour
	}
	s.voters[i] = &modelVoter{voter: voter, evidence: evidence, tickDue: true}
}

// failingHosts are the indices of the hosts at which each voter makes attempts that fail: the first voter at
// both unhealthy hosts, each other voter at one. So the first voter and one other are a majority for the
// ejection of either host.
var failingHosts = [3][]int{{0, 1}, {0}, {1}}

// attempt records an attempt of a voter at each of its failing hosts now.
func (s *voteModel) attempt(i int) { s.attemptAt(i, s.now) }

func (s *voteModel) attemptAt(i int, at time.Duration) {
	v := s.voters[i]
	v.attemptTimes = append(v.attemptTimes, at)
	for _, h := range failingHosts[i] {
		kind := outlier.Failure
		if v.recoveredAt > 0 && at >= v.recoveredAt && h == 0 {
			kind = outlier.Success
		}
		v.evidence.Observe(outlier.Observation{Host: modelHosts[h].Host, Outcome: kind, LatencyRatio: 0.1, Sent: at,
			Ended: at})
	}
}

func (s *voteModel) tick(i int) {
	v := s.voters[i]
	v.tickDue = false
	if s.defect == forgetPromise {
		for _, m := range v.voter.own {
			if m.vote != Grant || m.grantExpiry <= s.now {
				m.promisedUntil = 0
			}
		}
	}
	out := v.voter.Tick(s.now)
	for to, message := range out.Messages {
		j := int(to[1] - '0')
		// Repeated messages are dropped: their loss makes no difference.
		if summary := summarize(message); s.lastSent[i][j] != summary {
			s.lastSent[i][j] = summary
			s.inTransit[i][j] = message
		}
	}
	if out.PersistPromisesUntil > 0 && s.writingUntil == 0 && i == 0 {
		s.writingUntil = out.PersistPromisesUntil
		if s.defect == unsyncedPromise {
			v.voter.PromisesPersisted(out.PersistPromisesUntil)
			v.tickDue = true
		}
	}
	if out.StandingsChanged {
		v.standings = out.Standings
	}
	for _, event := range out.Trace {
		if event.Kind == "grant" || event.Kind == "renew" {
			key := v.voter.config.Self + event.Host.ID
			s.promised[key] = max(s.promised[key], event.Until)
		}
	}
}

func (s *voteModel) deliver(i, j int, message *VoteMessage) {
	received := *message
	if s.defect == wrongLeaseStart && received.EchoIncarnation != 0 {
		received.Echo, received.EchoAge = s.now, 0
	}
	v := s.voters[j]
	_ = v.voter.Receive(s.now, &received) // Receive rejects stale messages
	v.tickDue = true
}

// check returns an error if the voters together, paused or not, hold more than the cap ejected, or if one
// holds a host ejected without unexpired promises from a majority.
func (s *voteModel) check() error {
	ejected := map[string]bool{}
	for _, v := range s.voters {
		for _, st := range v.standings {
			if st.Share > 0 || st.Until <= s.now && s.defect != expiredStandings {
				continue
			}
			ejected[st.Host.ID] = true
			promises := 0
			for k := range 3 {
				if s.promised[fmt.Sprint("v", k)+st.Host.ID] > s.now {
					promises++
				}
			}
			if promises < 2 {
				return fmt.Errorf("%s holds %s ejected with promises of %d of 3 voters", v.voter.config.Self,
					st.Host.ID, promises)
			}
		}
	}
	if float64(len(ejected))/3 > 0.5 {
		return fmt.Errorf("%d of 3 hosts are ejected, the cap is 0.5", len(ejected))
	}
	return nil
}

// summarize returns the content of a message without its times, except for the expiry of grants.
func summarize(message *VoteMessage) string {
	text := fmt.Sprint(message.Incarnation)
	for _, e := range message.Entries {
		text += fmt.Sprint(" ", e.Host.ID, e.Vote)
		if e.Vote == Grant {
			text += fmt.Sprint(message.Sent + e.ValidFor)
		}
	}
	return text
}

// hash returns a hash of everything that can affect the rest of a run.
func (s *voteModel) hash() uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, s.now, s.secondsPassed, s.crashes, s.promised, s.persistedUntil, s.writingUntil,
		s.voters[0].voter.persistedUntil)
	for i, v := range s.voters {
		c := v.voter
		fmt.Fprint(f, v.tickDue, v.standings, v.recoveredAt, c.startedAt, c.config.Incarnation, s.lastSent[i])
		for _, h := range modelHosts {
			if m := c.own[h.Host]; m != nil {
				fmt.Fprint(f, *m)
			}
			if t := c.ejections[h.Host]; t != nil {
				fmt.Fprint(f, *t)
			}
			r, _ := v.evidence.Record(h.Host, s.now)
			fmt.Fprint(f, r)
		}
		for _, name := range []string{"v0", "v1", "v2"} {
			if p := c.peers[name]; p != nil {
				fmt.Fprint(f, p.incarnation, p.newestSent)
				for _, h := range modelHosts {
					fmt.Fprint(f, p.votes[h.Host])
				}
			}
		}
		for j := range s.inTransit[i] {
			if message := s.inTransit[i][j]; message != nil {
				fmt.Fprint(f, i, j, *message)
			}
		}
	}
	return f.Sum64()
}

// Steps, Do, Clone and Hash implement interleave.State.

func (s *voteModel) Steps() int { return len(s.steps()) }

func (s *voteModel) Do(i int) error {
	s.steps()[i]()
	return s.check()
}

func (s *voteModel) Hash() uint64 { return s.hash() }

func (s *voteModel) steps() (steps []func()) {
	for i, v := range s.voters {
		if v.tickDue {
			steps = append(steps, func() { s.tick(i) })
		}
		for j := range s.inTransit[i] {
			if message := s.inTransit[i][j]; message != nil {
				steps = append(steps, func() {
					s.inTransit[i][j] = nil
					s.deliver(i, j, message)
					s.tick(j)
				})
			}
		}
	}
	if s.writingUntil > 0 {
		steps = append(steps, func() {
			s.persistedUntil, s.writingUntil = s.writingUntil, 0
			s.voters[0].voter.PromisesPersisted(s.persistedUntil)
			s.voters[0].tickDue = true
		})
	}
	if s.crashes < s.maxCrashes {
		steps = append(steps, func() {
			s.crashes++
			s.start(0, uint64(10+s.crashes))
			s.attempt(0)
		})
	}
	if s.mayRecover && s.voters[0].recoveredAt == 0 {
		steps = append(steps, func() {
			s.voters[0].recoveredAt = s.now + 1 // later than its last failure
			s.attemptAt(0, s.now+1)
			s.voters[0].tickDue = true
		})
	}
	if s.secondsPassed < s.maxSeconds {
		steps = append(steps, func() {
			s.secondsPassed++
			s.now += time.Second
			for i := range s.voters {
				s.voters[i].tickDue = true
				s.attempt(i)
			}
		})
	}
	return steps
}

func (s *voteModel) Clone() *voteModel {
	n := *s
	n.promised = maps.Clone(s.promised)
	for i, v := range s.voters {
		w := *v
		w.evidence = outlier.New(v.voter.config.MaxEvidenceAge)
		w.evidence.SetHosts(modelHosts)
		w.attemptTimes = nil
		voter := *v.voter
		voter.evidence, voter.actions = w.evidence, nil
		voter.peers, voter.own, voter.ejections = map[string]*peer{}, map[outlier.Host]*ownVote{},
			map[outlier.Host]*ejection{}
		for k, p := range v.voter.peers {
			q := *p
			q.votes = maps.Clone(p.votes)
			voter.peers[k] = &q
		}
		for k, m := range v.voter.own {
			o := *m
			voter.own[k] = &o
		}
		for k, t := range v.voter.ejections {
			o := *t
			voter.ejections[k] = &o
		}
		w.voter = &voter
		n.voters[i] = &w
		for _, at := range v.attemptTimes {
			n.attemptAt(i, at)
		}
	}
	return &n
}

// newConnectedModel returns voters that have exchanged messages, so that each has an echo of the others:
// votes without an echo are not counted.
func newConnectedModel(injected defect, seconds, crashes int, recovers, disk bool) *voteModel {
	s := newVoteModel(injected)
	s.maxSeconds, s.maxCrashes, s.mayRecover, s.hasDisk = seconds, crashes, recovers, disk
	s.voters[0].voter.config.PersistsPromises = disk
	for range 2 {
		for i := range 3 {
			c := s.voters[i].voter
			c.actions = &Actions{Messages: map[string]*VoteMessage{}}
			c.advanceClock(s.now)
			c.queueMessages([]string{"v0", "v1", "v2"})
			for to, message := range c.actions.Messages {
				s.deliver(i, int(to[1]-'0'), message)
			}
		}
	}
	return s
}

// Two ejections that together would exceed the cap are voted on, also with a crash or a changed vote. In all
// interleavings of ticks and of delivered, late and lost messages the cap holds, and no host is ejected
// without a majority.
func TestAllOrdersKeepTheCap(t *testing.T) {
	for _, c := range []struct {
		name      string
		seconds   int
		crashes   int
		recovers  bool
		maxStates int
		exhausted bool
		disk      bool
	}{
		{"two ejections", 0, 0, false, 1e6, true, false},
		{"and a voter that restarts without its state", 0, 1, false, 1e6, true, false},
		{"and a voter that restarts with its disk", 0, 1, false, 1e6, true, true},
		{"and a voter that changes its vote", 0, 0, true, 1e6, true, false},
		{"and leases that expire, with a limited search", 3, 0, false, 5000, false, false},
	} {
		res := interleave.Search(newConnectedModel(none, c.seconds, c.crashes, c.recovers, c.disk), c.maxStates)
		if res.Err != nil || res.Exhausted != c.exhausted {
			t.Errorf("%s: %s", c.name, res)
		}
		t.Logf("%s: %s", c.name, res)
	}
}

// The model checker finds each injected defect, and replaying the trace fails in the same way.
func TestDefectsAreFound(t *testing.T) {
	for _, c := range []struct {
		defect           defect
		seconds, crashes int
		recovers         bool
		trace            string
		disk             bool
	}{
		{uncappedPromises, 0, 0, false, "0 0 0 0 3", false},
		{noQuarantine, 0, 1, false, "1 1 0 2 4 3 1 2", false},
		{forgetPromise, 0, 0, true, "1 1 0 0 4 0 4", false},
		{expiredStandings, 2, 0, false, "0 0 1 4 6", false},
		{wrongLeaseStart, 2, 0, false, "0 0 4 3 5", false},
		{unsyncedPromise, 0, 1, false, "1 1 0 0 2 5 3 1 2 0", true},
	} {
		start := func(injected defect) *voteModel {
			return newConnectedModel(injected, c.seconds, c.crashes, c.recovers, c.disk)
		}
		res := interleave.Search(start(c.defect), 100_000)
		if res.Err == nil || res.Trace != c.trace {
			t.Errorf("%s: %s, want an error with trace %s", c.defect, res, c.trace)
			continue
		}
		if err := interleave.Walk(start(c.defect), res.Trace); err == nil || err.Error() != res.Err.Error() {
			t.Errorf("%s: replaying the trace returns %v, want %v", c.defect, err, res.Err)
		}
	}
}
