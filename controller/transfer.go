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
		c.controller.settings.Report.Info("the leadership is not handed over", "error", err)
		close(e.done)
		return
	}
	c.handOverDone = e.done
}

// handOverIfDiskFull transfers the leadership to a member whose disk has room.
// Every tick tries again until a voter can take over or the disk has room.
func (c *core) handOverIfDiskFull(now modeler.ClockReading) {
	if !c.diskFull || c.log.Transferring() {
		return
	}
	if err := c.log.Transfer(now, 0); err != nil {
		c.controller.settings.Report.Debug("the leadership stays with a full disk", "error", err)
		return
	}
	c.controller.settings.Report.Warn("leadership is handed over", "reason", "the disk is full")
}

const (
	// maxTickDelay is how late a tick may come before late answers are explained
	// by the leader's own delay rather than by its links.
	maxTickDelay = leaderTickInterval / 2
	// linkHandOverInterval is the least time between two transfers because of
	// poor links, so that packet loss on all links doesn't move the leadership to
	// and fro. Disturbances of a failure domain's links last for seconds.
	linkHandOverInterval = 10 * time.Second
)

// handOverIfLinksStall transfers the leadership to a member with better links
// to the others.
func (c *core) handOverIfLinksStall(now modeler.ClockReading) {
	if now.Sub(c.lastTick) > leaderTickInterval+maxTickDelay || c.oldestEventAge(now) > maxTickDelay {
		c.log.ForgetStalls()
	}
	c.lastTick = now
	to := c.log.StallSuccessor(now)
	if to == 0 || now < c.nextLinkHandOver {
		return
	}
	c.nextLinkHandOver = now.Add(linkHandOverInterval)
	if err := c.log.Transfer(now, to); err != nil {
		c.controller.settings.Report.Info("the leadership stays with poor links", "error", err)
		return
	}
	c.controller.settings.Report.Warn("leadership is handed over", "reason", "the links to most members stall", "to", to)
}

// finishHandOver ends a transfer before a shutdown when the new leader is
// known; the old leader's answers have been sent by then.
func (c *core) finishHandOver(status replicator.Status) {
	if c.handOverDone == nil || c.log.Transferring() || status.Leader == 0 {
		return
	}
	close(c.handOverDone)
	c.handOverDone = nil
}

// transfer transfers the leadership to the member that the operator has named.
func (l *leadership) transfer(now modeler.ClockReading, to modeler.MemberID) modeler.QueryAnswer {
	if to != l.core.controller.settings.Member {
		if err := l.core.log.Transfer(now, to); err != nil {
			return errorAnswer(err)
		}
	}
	return l.members(now)
}
