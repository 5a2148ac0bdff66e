package controller

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// fullPause is the wait between two tries to write to a full disk.
const fullPause = 500 * time.Millisecond

// diskJob is one write of the replicated log.
type diskJob struct {
	write    replicator.Write
	snapshot *modeler.Snapshot
	entries  []modeler.LogEntry
}

// runDisk is the goroutine that writes and syncs the log. Writes that arrive
// during a sync share the next one.
func (c *Controller) runDisk(ctx context.Context) error {
	for {
		var job diskJob
		select {
		case job = <-c.disk:
		case <-ctx.Done():
			return nil
		}
		last, err := c.writeBatch(ctx, job)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
		begun := time.Now()
		if err := c.store.Sync(); err != nil {
			return err
		}
		c.counts.syncs.Inc()
		c.counts.syncTime.UpdateDuration(begun)
		c.post(ctx, synced{write: last})
	}
}

// writeBatch writes the job and those that wait behind it. None is written
// behind one that was given up.
func (c *Controller) writeBatch(ctx context.Context, job diskJob) (replicator.Write, error) {
	for {
		if err := c.writeJob(ctx, job); err != nil || ctx.Err() != nil {
			return 0, err
		}
		last := job.write
		select {
		case job = <-c.disk:
		default:
			return last, nil
		}
	}
}

// writeJob writes one job, again and again while the disk is full: the write
// is not acknowledged meanwhile, and the process goes on when there is room.
func (c *Controller) writeJob(ctx context.Context, job diskJob) error {
	full := false
	for {
		err := c.tryJob(job)
		switch {
		case err == nil:
			if full {
				c.post(ctx, diskFull{full: false})
			}
			return nil
		case classifier.KindOf(err) != classifier.StorageFull:
			return err
		case !full:
			full = true
			c.settings.Report.Error("the disk is full", "error", err)
			c.post(ctx, diskFull{full: true})
		}
		select {
		case <-time.After(fullPause):
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) tryJob(job diskJob) error {
	if job.snapshot != nil {
		if err := c.store.SaveSnapshot(*job.snapshot); err != nil {
			return err
		}
	}
	if len(job.entries) == 0 {
		return nil
	}
	return c.store.Append(job.entries)
}

// saveSnapshot encodes a copy of the state and makes it durable; the core and
// the appends go on meanwhile. A snapshot that can't be saved, such as on a full
// disk, is tried again, so that only one is in memory.
func (c *Controller) saveSnapshot(ctx context.Context, snapshot modeler.Snapshot, state *applier.Copy) {
	data, err := state.Encode()
	if err != nil {
		c.settings.Report.Error("no snapshot", "index", snapshot.Index, "error", err)
		c.post(ctx, snapshotSaved{snapshot: snapshot, failed: true})
		return
	}
	snapshot.Data = data
	for failed := false; ; failed = true {
		err := c.store.SaveSnapshot(snapshot)
		if err == nil {
			c.post(ctx, snapshotSaved{snapshot: snapshot})
			return
		}
		if !failed {
			c.settings.Report.Error("a snapshot was not saved", "index", snapshot.Index, "error", err)
		}
		select {
		case <-time.After(fullPause):
		case <-ctx.Done():
			return
		}
	}
}
