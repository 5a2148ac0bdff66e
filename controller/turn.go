package controller

import (
	"time"

	"goldcreststack.example/goldcreststack/reporter"
)

// turnPart is a part of the work of the core goroutine in one turn.
type turnPart uint8

const (
	// turnEvents is handling the events that were queued.
	turnEvents turnPart = iota
	// turnDeadlines is checking the deadlines that have passed.
	turnDeadlines
	// turnTakeOver is building the state of a new leader.
	turnTakeOver
	// turnDecisions is making and carrying out the leader's decisions.
	turnDecisions
	// turnApply is applying committed entries.
	turnApply
	turnParts
)

var turnPartNames = [turnParts]string{
	turnEvents: "events", turnDeadlines: "deadlines", turnTakeOver: "takeover", turnDecisions: "decisions", turnApply: "apply",
}

// longTurnDivisor sets when a turn is logged as long: from one part in
// longTurnDivisor of the leader's lease.
const longTurnDivisor = 4

// turn measures one turn of the core goroutine: the events that it handles together
// and all that follows from them. A leader renews its lease, and a follower answers
// its leader, only between two turns.
type turn struct {
	began time.Time
	spent [turnParts]time.Duration
	// events and entries count the events handled and the entries applied.
	events  int
	entries int
}

// beginTurn begins the measurement of a turn.
func (c *core) beginTurn() { c.turn = turn{began: time.Now()} }

// spend adds the time since begun to a part of the turn.
func (t *turn) spend(part turnPart, begun time.Time) { t.spent[part] += time.Since(begun) }

// endTurn records the times of a turn, and logs a long one with what it was spent on.
func (c *core) endTurn() {
	took := time.Since(c.turn.began)
	counts := c.controller.counts
	counts.turnTime.Update(took.Seconds())
	for part, spent := range c.turn.spent {
		if spent > 0 {
			counts.turnPartTime[part].Update(spent.Seconds())
		}
	}
	lease := c.log.LeaseDuration()
	if took < lease/longTurnDivisor {
		return
	}
	counts.longTurns.Inc()
	allowed, skipped := c.longTurnLimit.allow(c.controller.now(), c.role.String())
	if !allowed {
		return
	}
	pairs := []any{"took", took.String(), "lease", lease.String(), "role", c.role.String(), "events", c.turn.events, "entries", c.turn.entries, "skipped", skipped}
	for part, spent := range c.turn.spent {
		pairs = append(pairs, turnPartNames[part], spent.String())
	}
	c.controller.settings.Report.Warn("a turn of the core took long", pairs...)
}

// addTurnMetrics registers the metrics of turns.
func (c *counts) addTurnMetrics(r *reporter.Reporter) {
	c.turnTime = r.Histogram("turn_seconds")
	c.longTurns = r.Counter("long_turns_total")
	for part, name := range turnPartNames {
		c.turnPartTime[part] = r.Histogram("turn_part_seconds", reporter.Label{Name: "part", Value: name})
	}
}
