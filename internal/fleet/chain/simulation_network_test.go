package chain_test

import (
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// message is a message in flight.
type message struct {
	toAddr      string
	toID        string   // ID of the disk that it is meant for; empty in a reply
	from        *machine // the sender
	incarnation int      // incarnation of the sender or, in a reply, of the machine that it is meant for
	body        any      // one of the types below
}

type (
	prepareMessage struct{ proposal *view.Proposal }
	acceptMessage  struct{ proposal *view.Proposal }
	promiseMessage struct {
		proposal *view.Proposal
		voter    string
		response view.Response
	}
	acceptedMessage promiseMessage
	viewMessage     struct{ view view.View }
	pushMessage     struct{ push chain.Push }
	ackMessage      struct{ push chain.Push }
	confirmRequest  struct{ confirmation *confirmation }
	confirmResponse struct {
		confirmation       *confirmation
		voter              string
		view, acceptedView uint64
	}
)

func (s *simulation) send(from *machine, to view.Peer, body any) {
	s.inFlight = append(s.inFlight, message{
		toAddr: to.Addr, toID: to.ID, from: from, incarnation: from.incarnation, body: body,
	})
}

// reply answers a message. Only the incarnation that sent the message handles the answer.
func (s *simulation) reply(from *machine, to message, body any) {
	s.inFlight = append(s.inFlight, message{toAddr: to.from.addr, from: from, incarnation: to.incarnation, body: body})
}

// deliverAny delivers or loses a random message in flight. A duplicated message stays in flight.
func (s *simulation) deliverAny() {
	if len(s.inFlight) == 0 {
		return
	}
	i, j := s.random.IntN(len(s.inFlight)), s.random.IntN(len(s.inFlight))
	if !s.recovering {
		switch s.profile.reordering {
		case olderFirst:
			i = min(i, j)
		case newerFirst:
			i = max(i, j)
		}
	}
	msg := s.inFlight[i]
	duplicated := !s.recovering && s.random.IntN(s.profile.lossOneIn) == 0
	if !duplicated {
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
	lost := !s.recovering && (s.random.IntN(s.profile.lossOneIn) == 0 || msg.from.outboundCut)
	if !lost {
		s.deliver(msg)
	}
}

func (s *simulation) machineAt(addr string) *machine {
	for _, m := range s.machines {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

// deliver makes a machine handle a message, if that reaches it.
func (s *simulation) deliver(msg message) {
	m := s.machineAt(msg.toAddr)
	if !m.up || m.suspended || m.inboundCut && msg.from != m {
		return
	}
	switch body := msg.body.(type) {
	case prepareMessage, acceptMessage:
		s.handleProposal(m, msg)
	case promiseMessage:
		if msg.incarnation == m.incarnation && m.proposal == body.proposal {
			s.handlePromise(m, body)
		}
	case acceptedMessage:
		if msg.incarnation == m.incarnation && m.proposal == body.proposal {
			s.handleAcceptance(m, body)
		}
	case viewMessage:
		s.learnView(m, body.view)
	case pushMessage:
		if msg.toID == m.id {
			s.handlePush(m, body.push)
		}
	case ackMessage:
		s.handleAck(m, body.push)
	case confirmRequest:
		response := confirmResponse{confirmation: body.confirmation, voter: m.id, view: m.view.Number}
		if m.acceptor.Accepted != nil && m.acceptor.Instance == m.view.Number+1 {
			response.acceptedView = m.acceptor.Instance
		}
		s.reply(m, msg, response)
	case confirmResponse:
		if msg.incarnation == m.incarnation {
			s.handleConfirmation(body)
		}
	}
}

// deliverAll delivers all messages in flight except those that the scenario delays.
func (s *simulation) deliverAll() {
	for i := 0; i < len(s.inFlight); {
		msg := s.inFlight[i]
		if s.isDelayed != nil && s.isDelayed(msg) {
			i++
			continue
		}
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
		s.deliver(msg)
		i = 0
	}
}
