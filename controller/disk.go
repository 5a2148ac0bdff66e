package controller

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// diskFullRetryInterval is the time between two attempts to write to a full
// disk.
const diskFullRetryInterval = 500 * time.Millisecond

// diskJob is one write of the replicated log: a snapshot if it is set, and the
// entries to append.
type diskJob struct {
	write    replicator.Write
	snapshot *modeler.Snapshot
	entries  []modeler.LogEntry
}

// runDisk is the goroutine that writes and syncs the log. Jobs that arrive
// during a sync share the next one.
func (c *Controller) runDisk(ctx context.Context) error {
	for {
		var job diskJob
		select {
		case job = <-c.diskJobs:
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
		c.post(ctx, writeSynced{write: last})
	}
}

// writeBatch writes the job and those queued behind it, and returns the number
// of the last write. It stops at the first job that can't be written, so that
// the log has no gap.
func (c *Controller) writeBatch(ctx context.Context, job diskJob) (replicator.Write, error) {
	for {
		if err := c.writeJob(ctx, job); err != nil || ctx.Err() != nil {
			return 0, err
		}
		last := job.write
		select {
		case job = <-c.diskJobs:
		default:
			return last, nil
		}
	}
}

// writeJob writes one job and retries while the disk is full. The write is not
// acknowledged meanwhile, and the process goes on when there is room.
func (c *Controller) writeJob(ctx context.Context, job diskJob) error {
	diskFull := false
	for {
		err := c.writeJobOnce(job)
		switch {
		case err == nil:
			if diskFull {
				c.post(ctx, diskFullChanged{diskFull: false})
			}
			return nil
		case classifier.KindOf(err) != classifier.StorageFull:
			return err
		case !diskFull:
			diskFull = true
			c.settings.Report.Error("the disk is full", "error", err)
			c.post(ctx, diskFullChanged{diskFull: true})
		}
		select {
		case <-time.After(diskFullRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) writeJobOnce(job diskJob) error {
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

// saveSnapshot encodes a copy of the state and makes it durable, while the core
// and the appends go on. A snapshot that can't be saved, such as on a full
// disk, is retried instead of taking a newer one, so that only one is in
// memory.
func (c *Controller) saveSnapshot(ctx context.Context, snapshot modeler.Snapshot, state *applier.Copy) {
	data, err := state.Encode()
	if err != nil {
		c.settings.Report.Error("no snapshot", "index", snapshot.Index, "error", err)
		c.post(ctx, snapshotFinished{snapshot: snapshot, failed: true})
		return
	}
	snapshot.Data = data
	for failed := false; ; failed = true {
		err := c.store.SaveSnapshot(snapshot)
		if err == nil {
			c.post(ctx, snapshotFinished{snapshot: snapshot})
			return
		}
		if !failed {
			c.settings.Report.Error("a snapshot was not saved", "index", snapshot.Index, "error", err)
		}
		select {
		case <-time.After(diskFullRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}
