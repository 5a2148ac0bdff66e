package controller

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// handOver begins the transfer of the leadership before a shutdown.
func (c *core) handOver(now modeler.ClockReading, e handOver) {
	if c.log.Status().Role != replicator.Leader {
		close(e.done)
		return
	}
	if err := c.log.Transfer(now, 0); err != nil {
		c.shell.settings.Report.Info("the leadership is not handed over", "error", err)
		close(e.done)
		return
	}
	c.leaving = e.done
}

// leaveFullDisk hands the leadership to a member whose disk has room. It is
// tried again with each tick, until a voter can take over or the disk has room.
func (c *core) leaveFullDisk(now modeler.ClockReading) {
	if !c.full || c.log.Transferring() {
		return
	}
	if err := c.log.Transfer(now, 0); err != nil {
		c.shell.settings.Report.Debug("the leadership stays with a full disk", "error", err)
		return
	}
	c.shell.settings.Report.Warn("leadership is handed over", "reason", "the disk is full")
}

const (
	// lateTick is how late a tick may come before the leader's own lateness,
	// rather than that of the links, explains answers that come late.
	lateTick = leadEvery / 2
	// leaveAgain is the least time between two hand-overs for poor links, so
	// that packets lost everywhere don't move the leadership about. Disturbances
	// of a failure domain's links last for seconds.
	leaveAgain = 10 * time.Second
)

// leavePoorLinks hands the leadership to a member with better links to the
// others.
func (c *core) leavePoorLinks(now modeler.ClockReading) {
	if now.Sub(c.lastTick) > leadEvery+lateTick || c.behind(now) > lateTick {
		c.log.ForgetStalls()
	}
	c.lastTick = now
	to := c.log.Refuge(now)
	if to == 0 || now < c.leaveAfter {
		return
	}
	c.leaveAfter = now.Add(leaveAgain)
	if err := c.log.Transfer(now, to); err != nil {
		c.shell.settings.Report.Info("the leadership stays with poor links", "error", err)
		return
	}
	c.shell.settings.Report.Warn("leadership is handed over", "reason", "the links to most members stall", "to", to)
}

// followHandOver notes the end of a transfer before a shutdown: when the new
// leader is heard, by which time the answers of the old one have left.
func (c *core) followHandOver(status replicator.Status) {
	if c.leaving == nil || c.log.Transferring() || status.Leader == 0 {
		return
	}
	close(c.leaving)
	c.leaving = nil
}

// transfer hands the leadership to the member that the operator has named.
func (l *leadership) transfer(now modeler.ClockReading, to modeler.MemberID) modeler.QueryAnswer {
	if to != l.core.shell.settings.Member {
		if err := l.core.log.Transfer(now, to); err != nil {
			return failure(err)
		}
	}
	return l.members(now)
}
