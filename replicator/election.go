package replicator

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// preVote asks whether an election could be won, without raising the term. A
// member that was cut off can't unseat a leader this way.
func (r *Replicator) preVote() {
	r.role = PreCandidate
	r.leader = 0
	r.owed = false
	r.campaign()
}

// elect stands for election in the given term.
func (r *Replicator) elect(term modeler.Term) {
	r.setTerm(term)
	r.transfer = nil
	r.vote = r.cfg.Self
	r.role = Candidate
	r.leader = 0
	r.resetDeadline()
	r.campaign()
}

func (r *Replicator) campaign() {
	r.round = uint64(r.now)
	r.grants = append(r.grants[:0], r.cfg.Self)
	if r.elected() {
		r.win()
		return
	}
	r.ask()
}

// ask sends the request to the voters that haven't granted it.
func (r *Replicator) ask() {
	r.askedAt = r.now
	m := modeler.PeerMessage{
		Kind:      modeler.Vote,
		Term:      r.term,
		LastIndex: r.log.last,
		LastTerm:  r.log.lastTerm(),
		Round:     r.round,
	}
	if r.role == PreCandidate {
		m.Kind = modeler.PreVote
		m.Term = r.term + 1
	} else {
		m.Transfer = r.allowed == r.term
	}
	m.FormerLeader = r.led > 0 && r.led+1 == m.Term
	for _, member := range r.current().Members {
		if member.Learner || slices.Contains(r.grants, member.ID) {
			continue
		}
		m.To = member.ID
		r.send(m)
	}
}

func (r *Replicator) elected() bool {
	voters, granted := 0, 0
	for _, member := range r.current().Members {
		if member.Learner {
			continue
		}
		voters++
		if slices.Contains(r.grants, member.ID) {
			granted++
		}
	}
	return granted > voters/2
}

func (r *Replicator) win() {
	if r.role == PreCandidate {
		r.elect(r.term + 1)
		return
	}
	r.lead()
}

// bound reports whether the member must not answer the candidate. A leader
// answers nobody: check-quorum ends its leadership when it is cut off. Others
// answer nobody for ElectionMin after they have answered a leader, which
// makes the leader's lease safe. The leader that was answered is exempt,
// since it has given up its lease by standing for election.
func (r *Replicator) bound(candidate modeler.MemberID) bool {
	if r.role == Leader {
		return true
	}
	return r.now.Sub(r.heardAt) < r.cfg.ElectionMin && candidate != r.heardFrom
}

// upToDate reports whether the candidate's log holds all that this log holds.
func (r *Replicator) upToDate(m modeler.PeerMessage) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.LastIndex >= r.log.last
}

// A member's own membership may be older than the candidate's, so a learner
// answers too: only the candidate knows whom it counts.
func (r *Replicator) onPreVote(m modeler.PeerMessage) {
	if r.bound(m.From) && !r.released(m) {
		return
	}
	answer := modeler.PeerMessage{
		Kind: modeler.PreVoteAnswer, To: m.From, Term: r.term, Round: m.Round,
		LastIndex: r.log.last, LastTerm: r.log.lastTerm(),
	}
	if m.Term > r.term && r.upToDate(m) {
		answer.Term = m.Term
		answer.Granted = true
	}
	r.send(answer)
}

func (r *Replicator) onVote(m modeler.PeerMessage) {
	if r.bound(m.From) && !r.released(m) {
		return
	}
	if m.Term > r.term {
		r.follow(m.Term, 0)
	}
	answer := modeler.PeerMessage{Kind: modeler.VoteAnswer, To: m.From, Term: r.term, Round: m.Round}
	if m.Term == r.term && (r.vote == 0 || r.vote == m.From) && r.upToDate(m) {
		answer.Granted = true
		r.unsaved = r.unsaved || r.vote != m.From
		r.vote = m.From
		r.role = Follower
		r.resetDeadline()
	}
	r.send(answer)
}

func (r *Replicator) onVoteAnswer(m modeler.PeerMessage) {
	// A late answer must not raise the term of a member that follows or leads.
	if r.role != PreCandidate && r.role != Candidate || !r.voter(m.From) {
		return
	}
	switch {
	case !m.Granted:
		switch {
		case m.Term > r.term:
			r.outrun(m.Term)
		case r.role == PreCandidate && r.led == r.term && m.Kind == modeler.PreVoteAnswer && r.behind(m):
			r.cede(m.From)
		}
		return
	case m.Round != r.round:
		return
	case m.Kind == modeler.PreVoteAnswer && (r.role != PreCandidate || m.Term != r.term+1):
		return
	case m.Kind == modeler.VoteAnswer && (r.role != Candidate || m.Term != r.term):
		return
	}
	if !slices.Contains(r.grants, m.From) {
		r.grants = append(r.grants, m.From)
	}
	if r.elected() {
		r.win()
	}
}

// behind reports whether the answering member's log holds entries of the same
// or a later term that this one lacks.
func (r *Replicator) behind(m modeler.PeerMessage) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.LastIndex > r.log.last
}

// cede tells a member to stand in place of the former leader, which has lost
// entries that it had not synced and so can't be elected.
func (r *Replicator) cede(to modeler.MemberID) {
	r.follow(r.term, 0)
	r.resetDeadline()
	r.send(modeler.PeerMessage{Kind: modeler.TransferLeadership, To: to, Term: r.term})
}

// outrun handles an answer from a member in a higher term. That member can't
// follow a lower one, but it must not unseat a leader that has a quorum: such
// a leader is elected again above that term. The followers grant it at once,
// since they are bound to itself.
func (r *Replicator) outrun(term modeler.Term) {
	switch {
	case r.transfer != nil && r.transfer.ceded:
		// The higher term is that of the member that takes over.
		r.follow(term, 0)
	case r.role == Leader && r.now.Sub(r.quorumContact()) < r.cfg.ElectionMin:
		r.peers = nil
		r.elect(term + 1)
	case r.role == PreCandidate:
		r.setTerm(term)
		r.campaign()
	default:
		r.follow(term, 0)
	}
}
