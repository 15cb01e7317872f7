package view

import "slices"

// next returns a copy of the view with the next number.
func (v View) next() View {
	next := v.Clone()
	next.Number++
	return next
}

// RemoveMember returns the next view without a member of the chain, which stays a voter.
func (v View) RemoveMember(id string) View {
	next := v.next()
	next.Chain = slices.DeleteFunc(next.Chain, func(member Member) bool { return member.ID == id })
	return next
}

// AppendMember returns the next view with a voter at the tail of the chain.
func (v View) AppendMember(id string) View {
	next := v.next()
	if voter, found := v.Voter(id); found && v.Position(id) < 0 {
		next.Chain = append(next.Chain, Member{Peer: voter, JoinedIn: next.Number})
	}
	return next
}

// AddVoter returns the next view with one more voter.
func (v View) AddVoter(peer Peer) View {
	next := v.next()
	next.insertVoter(peer)
	return next
}

// ReplaceVoter returns the next view with a peer in place of a voter. The voter must not be a member
// of the chain.
func (v View) ReplaceVoter(id string, peer Peer) View {
	next := v.RemoveVoter(id)
	next.insertVoter(peer)
	return next
}

// RemoveVoter returns the next view without a voter. The voter must not be a member of the chain.
func (v View) RemoveVoter(id string) View {
	next := v.next()
	next.Voters = slices.DeleteFunc(next.Voters, func(voter Peer) bool { return voter.ID == id })
	return next
}

// insertVoter adds a voter and keeps the voters sorted by ID. It may only be called on a view that is
// still being built.
func (v *View) insertVoter(peer Peer) {
	v.Voters = append(v.Voters, peer)
	slices.SortFunc(v.Voters, comparePeers)
}
