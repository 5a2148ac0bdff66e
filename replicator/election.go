package replicator

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// LostElection describes an election, or a round of pre-votes before one, that a
// member has started and that was not decided at its next election deadline.
type LostElection struct {
	// Count is the number of elections that the member has lost since it started;
	// the other fields describe the newest one.
	Count uint64
	Role  Role
	Term  modeler.Term
	// Needed is the number of voters that must grant the election.
	Needed int
	// GrantedBy, RefusedBy and Silent hold each voter once. A silent voter is
	// down or out of reach, or follows a leader.
	GrantedBy []modeler.Member
	RefusedBy []modeler.Member
	Silent    []modeler.Member
}

// recordLostElection notes how the voters have answered the round of pre-votes
// or votes that ends.
func (r *Replicator) recordLostElection() {
	lost := LostElection{Count: r.lostElection.Count + 1, Role: r.role, Term: r.term}
	if r.role == PreCandidate {
		lost.Term++
	}
	voters := 0
	for _, member := range r.currentMembership().Members {
		if member.Learner {
			continue
		}
		voters++
		switch {
		case slices.Contains(r.grantedBy, member.ID):
			lost.GrantedBy = append(lost.GrantedBy, member)
		case slices.Contains(r.refusedBy, member.ID):
			lost.RefusedBy = append(lost.RefusedBy, member)
		default:
			lost.Silent = append(lost.Silent, member)
		}
	}
	lost.Needed = voters/2 + 1
	r.lostElection = lost
}

// startPreVote asks the voters whether this member could win an election,
// without raising its term. A member that was cut off from the others thus
// can't unseat a leader when it returns.
func (r *Replicator) startPreVote() {
	r.role = PreCandidate
	r.leader = 0
	r.answerDeferred = false
	r.campaign()
}

// startElection makes the member a candidate in the given term.
func (r *Replicator) startElection(term modeler.Term) {
	r.setTerm(term)
	r.transfer = nil
	r.vote = r.cfg.Self
	r.role = Candidate
	r.leader = 0
	r.resetElectionDeadline()
	r.campaign()
}

// campaign starts a new round of pre-votes or votes, according to the role.
func (r *Replicator) campaign() {
	r.voteRound = uint64(r.now)
	r.grantedBy = append(r.grantedBy[:0], r.cfg.Self)
	r.refusedBy = r.refusedBy[:0]
	if r.hasVoteQuorum() {
		r.onVoteQuorum()
		return
	}
	r.requestVotes()
}

// requestVotes sends the pre-vote or vote request to the voters that have not
// granted it yet.
func (r *Replicator) requestVotes() {
	r.votesRequestedAt = r.now
	m := modeler.PeerMessage{
		Kind:      modeler.Vote,
		Term:      r.term,
		LastIndex: r.log.last,
		LastTerm:  r.log.lastTerm(),
		Round:     r.voteRound,
	}
	if r.role == PreCandidate {
		m.Kind = modeler.PreVote
		m.Term = r.term + 1
	} else {
		m.Transfer = r.transferTerm == r.term
	}
	m.FormerLeader = r.lastLedTerm > 0 && r.lastLedTerm+1 == m.Term
	for _, member := range r.currentMembership().Members {
		if member.Learner || slices.Contains(r.grantedBy, member.ID) {
			continue
		}
		m.To = member.ID
		r.send(m)
	}
}

// hasVoteQuorum reports whether a majority of the voters has granted the
// current round of pre-votes or votes.
func (r *Replicator) hasVoteQuorum() bool {
	voters, granted := 0, 0
	for _, member := range r.currentMembership().Members {
		if member.Learner {
			continue
		}
		voters++
		if slices.Contains(r.grantedBy, member.ID) {
			granted++
		}
	}
	return granted > voters/2
}

// onVoteQuorum makes a pre-candidate a candidate and a candidate the leader.
func (r *Replicator) onVoteQuorum() {
	if r.role == PreCandidate {
		r.startElection(r.term + 1)
		return
	}
	r.becomeLeader()
}

// ignoresCandidate reports whether the member must leave the candidate's
// request unanswered. A leader answers no candidate: check-quorum ends its
// leadership when it is cut off. Other members answer none for ElectionMin
// after they have answered a leader, which makes the leader's lease safe. The
// leader that was answered is exempt, since it has given up its lease by
// standing for election.
func (r *Replicator) ignoresCandidate(candidate modeler.MemberID) bool {
	if r.role == Leader {
		return true
	}
	return r.now.Sub(r.answeredLeaderAt) < r.cfg.ElectionMin && candidate != r.answeredLeader
}

// isUpToDate reports whether the candidate's log is at least as up to date as
// this member's: its last entry has a later term, or the same term and no
// lower index.
func (r *Replicator) isUpToDate(m modeler.PeerMessage) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.LastIndex >= r.log.last
}

// onPreVote answers a pre-vote request. A learner answers too, because its
// membership may be older than that of the candidate, which counts only the
// answers of voters.
func (r *Replicator) onPreVote(m modeler.PeerMessage) {
	if r.ignoresCandidate(m.From) && !r.isExemptCandidate(m) {
		return
	}
	answer := modeler.PeerMessage{
		Kind: modeler.PreVoteAnswer, To: m.From, Term: r.term, Round: m.Round,
		LastIndex: r.log.last, LastTerm: r.log.lastTerm(),
	}
	if m.Term > r.term && r.isUpToDate(m) {
		answer.Term = m.Term
		answer.Granted = true
	}
	r.send(answer)
}

func (r *Replicator) onVote(m modeler.PeerMessage) {
	if r.ignoresCandidate(m.From) && !r.isExemptCandidate(m) {
		return
	}
	if m.Term > r.term {
		r.becomeFollower(m.Term, 0)
	}
	answer := modeler.PeerMessage{Kind: modeler.VoteAnswer, To: m.From, Term: r.term, Round: m.Round}
	if m.Term == r.term && (r.vote == 0 || r.vote == m.From) && r.isUpToDate(m) {
		answer.Granted = true
		r.hardStateChanged = r.hardStateChanged || r.vote != m.From
		r.vote = m.From
		r.role = Follower
		r.resetElectionDeadline()
	}
	r.send(answer)
}

func (r *Replicator) onVoteAnswer(m modeler.PeerMessage) {
	// A late answer must not raise the term of a follower or leader.
	if r.role != PreCandidate && r.role != Candidate || !r.isVoter(m.From) {
		return
	}
	switch {
	case !m.Granted:
		if m.Round == r.voteRound && !slices.Contains(r.refusedBy, m.From) {
			r.refusedBy = append(r.refusedBy, m.From)
		}
		switch {
		case m.Term > r.term:
			r.onHigherTerm(m.Term)
		case r.role == PreCandidate && r.lastLedTerm == r.term && m.Kind == modeler.PreVoteAnswer && r.lagsBehind(m):
			r.yieldElectionTo(m.From)
		}
		return
	case m.Round != r.voteRound:
		return
	case m.Kind == modeler.PreVoteAnswer && (r.role != PreCandidate || m.Term != r.term+1):
		return
	case m.Kind == modeler.VoteAnswer && (r.role != Candidate || m.Term != r.term):
		return
	}
	if !slices.Contains(r.grantedBy, m.From) {
		r.grantedBy = append(r.grantedBy, m.From)
	}
	if r.hasVoteQuorum() {
		r.onVoteQuorum()
	}
}

// lagsBehind reports whether the log of the answering member is more up to
// date than this member's: its last entry has a later term, or the same term
// and a higher index.
func (r *Replicator) lagsBehind(m modeler.PeerMessage) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.LastIndex > r.log.last
}

// yieldElectionTo makes this former leader a follower and tells another member
// to stand for election in its place. The former leader can't be elected,
// since it has lost entries that it had not synced.
func (r *Replicator) yieldElectionTo(to modeler.MemberID) {
	r.becomeFollower(r.term, 0)
	r.resetElectionDeadline()
	r.send(modeler.PeerMessage{Kind: modeler.TransferLeadership, To: to, Term: r.term})
}

// onHigherTerm handles an answer from a member in a higher term. That member
// can't follow a leader of a lower term, but it must not unseat a leader that
// has a quorum: such a leader stands for election again in the term after the
// higher one. Its followers grant that at once, since they refuse votes to
// every member but the leader that they have answered.
func (r *Replicator) onHigherTerm(term modeler.Term) {
	switch {
	case r.transfer != nil && r.transfer.leaseGivenUp:
		// The member that takes over the leadership leads in the higher term.
		r.becomeFollower(term, 0)
	case r.role == Leader && r.now.Sub(r.quorumContact()) < r.cfg.ElectionMin:
		r.peers = nil
		r.startElection(term + 1)
	case r.role == PreCandidate:
		r.setTerm(term)
		r.campaign()
	default:
		r.becomeFollower(term, 0)
	}
}
