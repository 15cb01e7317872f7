package chain_test

import (
	"strconv"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// client submits one update after the other. It retries each update until it knows the outcome.
type client struct {
	revision int64         // the newest revision that it knows
	update   *chain.Update // the update without a known outcome; nil if there is none
	minSeq   uint64        // newestSeq at the creation of the update
}

// updateOutcome records the answers that clients got for an update.
type updateOutcome struct{ committed, rejected bool }

// confirmation is a round in which a machine asks the voters whether its view is still the newest. A read
// and a rejection need the confirmation of a quorum before they are answered.
type confirmation struct {
	view        view.View
	confirmedBy map[string]bool // IDs of voters; nil once the round has ended
	value       chain.Value     // the value that the answer is based on

	isRead bool
	minSeq uint64 // a read must return a value with at least this Seq

	// Set only for a rejected update.
	client *client
	update *chain.Update
}

// parseRevision is the Transition of the tests: the body of an update is the revision that it leads to.
func parseRevision(_ []byte, update *chain.Update) ([]byte, int64, error) {
	revision, err := strconv.ParseInt(string(update.Body), 10, 64)
	return update.Body, revision, err
}

// submitAny makes a random client submit its update, or a new one if it has none, to a machine. The
// machine handles the update only if it is running.
func (s *simulation) submitAny(m *machine, running bool) {
	c := s.clients[s.random.IntN(len(s.clients))]
	if c.update == nil {
		s.lastID++
		c.minSeq = s.newestSeq
		c.update = &chain.Update{IfMatch: c.revision, Body: []byte(strconv.Itoa(s.lastID*10 + s.random.IntN(9)))}
	}
	if running {
		s.submit(m, c)
	}
}

// submit makes a machine handle the update of a client.
func (s *simulation) submit(m *machine, c *client) {
	replica := s.replica(m)
	if m.view.Number == 0 || !replica.IsHead() || m.activatedView != m.view.Number || m.pendingClient != nil {
		return
	}
	update := c.update
	next, result, final := chain.Apply(&m.record.Value, update, parseRevision)
	if final {
		s.answerFinal(m, c, result)
		return
	}
	next.Recent = next.Recent[max(0, len(next.Recent)-s.profile.historyLength):]
	if !s.persist(m, func() { m.record = chain.Record{View: m.view.Number, Value: *next} }) {
		return
	}
	m.pendingClient, m.pendingUpdate, m.pendingSeq = c, update, next.Seq
	if s.defect == acknowledgeEarly {
		s.confirmUpdate(c, update, next.Seq)
	}
	s.forward(m, chain.Push{View: m.view, Value: *next})
}

// answerFinal answers an update that leads to no new value. A rejection needs the confirmation of a quorum.
func (s *simulation) answerFinal(m *machine, c *client, result chain.Result) {
	switch {
	case result.Outcome == chain.OutcomeCommitted:
		s.confirmUpdate(c, c.update, 0)
	case result.Outcome == chain.OutcomeUnknown && s.defect != rejectForgottenUpdates:
		// The client abandons the update and reads the current revision.
		s.finishRequest(c, c.update, m.record.Value.Revision)
	case s.defect == rejectWithoutQuorum:
		s.rejectUpdate(c, c.update, m.record.Value)
	default:
		s.startConfirmation(m, &confirmation{
			view: m.view, confirmedBy: map[string]bool{}, value: m.record.Value, client: c, update: c.update,
		})
	}
}

// read makes a machine handle a read.
func (s *simulation) read(m *machine) {
	replica := s.replica(m)
	if m.view.Number == 0 {
		return
	}
	value, ok := replica.CommittedValue()
	if s.defect == answerFromStaleTail && m.view.Tail().ID == m.id {
		ok = true
	}
	if !ok {
		return
	}
	c := &confirmation{view: m.view, confirmedBy: map[string]bool{}, value: value, isRead: true, minSeq: s.newestSeq}
	if s.defect == readWithoutQuorum {
		s.finishConfirmation(c)
		return
	}
	s.startConfirmation(m, c)
}

func (s *simulation) startConfirmation(m *machine, c *confirmation) {
	m.confirmations = append(m.confirmations, c)
	for _, voter := range c.view.Voters {
		s.send(m, voter, confirmRequest{c})
	}
}

func (s *simulation) handleConfirmation(response confirmResponse) {
	c := response.confirmation
	if _, voter := c.view.Voter(response.voter); !voter || c.confirmedBy == nil {
		return
	}
	if response.view > c.view.Number || response.acceptedView > c.view.Number {
		c.confirmedBy = nil
		return
	}
	c.confirmedBy[response.voter] = true
	if len(c.confirmedBy) < c.view.Quorum() {
		return
	}
	c.confirmedBy = nil
	s.finishConfirmation(c)
}

func (s *simulation) finishConfirmation(c *confirmation) {
	if !c.isRead {
		s.rejectUpdate(c.client, c.update, c.value)
		return
	}
	if c.value.Seq < c.minSeq {
		s.fail("a read returns value %d, but value %d was acknowledged before", c.value.Seq, c.minSeq)
	}
	s.recordCommit(c.value)
	s.newestSeq = max(s.newestSeq, c.value.Seq)
	s.reads++
}

// recordCommit records a committed value, and fails if another value was committed with the same Seq.
func (s *simulation) recordCommit(value chain.Value) {
	if value.Seq == 0 {
		return
	}
	if earlier, known := s.committed[value.Seq]; known && earlier.Checksum() != value.Checksum() {
		s.fail("two different values with Seq %d are committed", value.Seq)
	}
	s.committed[value.Seq] = value
}

// confirmUpdate answers a client that its update is committed.
func (s *simulation) confirmUpdate(c *client, update *chain.Update, seq uint64) {
	outcome := s.outcomeOf(update)
	if outcome.rejected {
		s.fail("an update is committed after it was rejected")
	}
	outcome.committed = true
	s.newestSeq = max(s.newestSeq, seq)
	s.finishRequest(c, update, 0)
}

// rejectUpdate answers a client that its update conflicts with a value.
func (s *simulation) rejectUpdate(c *client, update *chain.Update, current chain.Value) {
	if c.update == update && current.Seq < c.minSeq {
		s.fail("a rejection is based on value %d, but value %d was acknowledged before the update",
			current.Seq, c.minSeq)
	}
	outcome := s.outcomeOf(update)
	if outcome.committed {
		s.fail("an update is rejected after it was committed")
	}
	outcome.rejected = true
	s.finishRequest(c, update, current.Revision)
}

// finishRequest ends a client's request. The client then knows the given revision or, if that is 0, the
// one that its own update led to.
func (s *simulation) finishRequest(c *client, update *chain.Update, revision int64) {
	if c.update != update {
		return
	}
	if ownRevision, err := strconv.ParseInt(string(update.Body), 10, 64); revision == 0 && err == nil {
		revision = ownRevision
	}
	c.revision, c.update = revision, nil
}

func (s *simulation) outcomeOf(update *chain.Update) *updateOutcome {
	digest := update.Digest()
	if s.outcomes[digest] == nil {
		s.outcomes[digest] = &updateOutcome{}
	}
	return s.outcomes[digest]
}

// checkHistory checks that the committed values contain each update that was acknowledged and no update
// that was rejected. It also returns the first violation of the run.
func (s *simulation) checkHistory() error {
	applied := map[chain.Digest]bool{}
	for _, value := range s.committed {
		for _, update := range value.Recent {
			applied[update.Digest] = true
		}
	}
	for digest, outcome := range s.outcomes {
		if outcome.committed && !applied[digest] {
			return errors.New("an acknowledged update is lost")
		}
		if outcome.rejected && applied[digest] {
			return errors.New("a rejected update is applied")
		}
	}
	return s.err
}
