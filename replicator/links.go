package replicator

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// stallBeats is the number of heartbeats without an answer that count as a
	// stall of the link: a lost packet is sent again after 200 ms at the earliest.
	stallBeats = 2
	// stallsWithin is the time in which a link that loses packets stalls twice.
	// One stall has many other causes, such as a slow sync or a pause.
	stallsWithin = 3 * time.Second
)

// noteAnswer notes when a member has answered, and whether its link had stalled.
func (p *peer) noteAnswer(now modeler.ClockReading, beat time.Duration) {
	if p.answeredAt != never && now.Sub(p.answeredAt) > stallBeats*beat {
		p.stalls[0], p.stalls[1] = p.stalls[1], now
	}
	p.answeredAt = now
}

// stalling reports whether the link has stalled twice of late.
func (p *peer) stalling(now modeler.ClockReading) bool {
	return now.Sub(p.stalls[0]) <= stallsWithin
}

// ForgetStalls drops what is known of stalled links. A leader that was late
// itself has taken its own lateness for that of others.
func (r *Replicator) ForgetStalls() {
	for _, p := range r.peers {
		p.stalls = [2]modeler.ClockReading{never, never}
	}
}

// Refuge returns the voter that should lead because the links of this leader
// stall again and again, or 0. It answers packets lost around the leader's
// failure domain: each lost one holds up all that waits behind it, for the whole
// cell while it concerns the leader's links, and for one domain while it concerns
// another's. Most voters must be behind such links, since otherwise the others'
// links are to blame, and the next leader is one of them: a member whose link is
// sound is likely to be in this leader's domain.
func (r *Replicator) Refuge(now modeler.ClockReading) modeler.MemberID {
	if r.role != Leader || r.transfer != nil {
		return 0
	}
	voters, stalling := 0, 0
	var best *peer
	for _, p := range r.peers {
		if p.member.Learner || now.Sub(p.heard) >= r.cfg.ElectionMax {
			continue
		}
		voters++
		if !p.stalling(now) {
			continue
		}
		stalling++
		if now.Sub(p.heard) < r.cfg.ElectionMin && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best == nil || 2*stalling <= voters {
		return 0
	}
	return best.member.ID
}
