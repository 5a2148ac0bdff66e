package replicator

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// stallHeartbeats is the number of heartbeat intervals without an answer after
	// which the link counts as stalled. TCP retransmits a lost packet after 200 ms
	// at the earliest.
	stallHeartbeats = 2
	// stallWindow is the time within which two stalls count as a sign of lost
	// packets. A single stall has many other causes, such as a slow sync or a pause.
	stallWindow = 3 * time.Second
)

// recordAnswer records that the member answers now, and a stall of its link if the
// previous answer is too long ago.
func (p *peer) recordAnswer(now modeler.ClockReading, heartbeat time.Duration) {
	if p.answeredAt != never && now.Sub(p.answeredAt) > stallHeartbeats*heartbeat {
		p.stalls[0], p.stalls[1] = p.stalls[1], now
	}
	p.answeredAt = now
}

// stalling reports whether the link has stalled twice within stallWindow.
func (p *peer) stalling(now modeler.ClockReading) bool {
	return now.Sub(p.stalls[0]) <= stallWindow
}

// ForgetStalls discards the recorded stalls of all links. It is for a leader that
// was delayed itself, since it sees its own delay as stalls of the other members.
func (r *Replicator) ForgetStalls() {
	for _, p := range r.peers {
		p.stalls = [2]modeler.ClockReading{never, never}
	}
}

// StallSuccessor returns the voter that should take over the leadership because the
// links of this leader stall repeatedly, or 0 if this leader should stay. Such
// stalls come from packets lost around the leader's failure domain. Each lost
// packet delays the messages behind it on its link: those of the whole cell when
// the leader's links lose packets, those of one failure domain when another
// member's do. Only when the links to most voters stall are this leader's links
// the cause. The voter returned is one with a stalling link: a member whose link
// is sound is likely to be in this leader's failure domain.
func (r *Replicator) StallSuccessor(now modeler.ClockReading) modeler.MemberID {
	if r.role != Leader || r.transfer != nil {
		return 0
	}
	voters, stalling := 0, 0
	var best *peer
	for _, p := range r.peers {
		if p.member.Learner || now.Sub(p.lastContact) >= r.cfg.ElectionMax {
			continue
		}
		voters++
		if !p.stalling(now) {
			continue
		}
		stalling++
		if now.Sub(p.lastContact) < r.cfg.ElectionMin && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best == nil || 2*stalling <= voters {
		return 0
	}
	return best.member.ID
}
