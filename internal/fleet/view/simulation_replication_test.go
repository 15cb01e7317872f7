package view

import "time"

// transferDelay is the additional time that a direct transfer takes compared with a push along the chain.
const transferDelay = 150 * time.Millisecond

// pushValues makes each head activate its view, or commit one more update if it has done that.
func (s *simulation) pushValues() {
	for _, m := range s.machines {
		if !m.up || m.view.Position(m.peer.ID) != 0 {
			continue
		}
		if m.activatedView == m.view.Number {
			m.valueSeq, m.valueView = m.valueSeq+1, m.view.Number
		}
		if s.replicate(m) {
			m.activatedView = m.view.Number
			if s.ackedSeq > m.valueSeq {
				s.fail("%s commits update %d after %d", m.peer.ID, m.valueSeq, s.ackedSeq)
			}
			s.ackedSeq = m.valueSeq
		}
	}
}

// replicate sends a head's value along the chain. It reports whether all members have received it.
func (s *simulation) replicate(head *machine) bool {
	v, predecessor := head.view, head
	for _, member := range v.Chain[1:] {
		m := s.machineByID(member.ID)
		if m == nil || !s.reaches(predecessor, m) || s.random.IntN(50) == 0 {
			return false
		}
		s.learnView(m, v)
		if m.view.Number != v.Number || !m.isComplete(v) && s.now-m.viewLearnedAt < s.transferTime {
			return false
		}
		m.valueView, m.valueSeq = v.Number, max(m.valueSeq, head.valueSeq)
		predecessor = m
	}
	return true
}

// transferValues makes the first healthy complete member of the newest view transfer its value directly
// to the members that are joining.
func (s *simulation) transferValues() {
	v := s.newest
	from := s.firstComplete(v)
	if from == nil {
		return
	}
	for _, member := range v.Chain {
		to := s.machineByID(member.ID)
		if to != nil && s.reaches(from, to) && to.view.Number == v.Number && !to.isComplete(v) &&
			s.now-to.viewLearnedAt >= s.transferTime+transferDelay {
			to.valueView, to.valueSeq = v.Number, from.valueSeq
		}
	}
}

// firstComplete returns the first healthy complete member of a view, or nil.
func (s *simulation) firstComplete(v View) *machine {
	for _, member := range v.Chain {
		m := s.machineByID(member.ID)
		if m != nil && m.up && !m.partitioned && m.view.Number == v.Number && m.isComplete(v) {
			return m
		}
	}
	return nil
}
