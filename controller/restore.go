package controller

import (
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

const (
	// restoreTerms and restoreIndexes are skipped by a restored group, so
	// that no term, version or attempt that only the lost members knew is
	// used again. An election takes a second, so the terms cover 12 days of
	// elections without pause.
	restoreTerms   = 1 << 20
	restoreIndexes = 1 << 32
	// answerTime is how long another member has to accept a connection.
	answerTime = 2 * time.Second
)

// restore replaces what the folder holds by a snapshot of its whole log whose
// only member is this one. It counts every saved entry as committed: which of
// the last ones were is known to the lost members only.
func (c *Controller) restore(saved *replicator.Saved) error {
	if err := c.mayRestore(saved); err != nil {
		return err
	}
	state, index, term, err := replay(saved)
	if err != nil {
		return err
	}
	data, err := state.Save()
	if err != nil {
		return err
	}
	self := modeler.Member{ID: c.settings.Member, Address: c.settings.Advertise}
	snapshot := modeler.Snapshot{
		Index:      index + restoreIndexes,
		Term:       term + restoreTerms,
		Membership: modeler.Membership{Members: []modeler.Member{self}},
		Data:       data,
	}
	if err := c.store.SaveSnapshot(snapshot); err != nil {
		return err
	}
	durable := modeler.HardState{Term: snapshot.Term, Vote: self.ID}
	if err := c.store.SaveDurable(durable); err != nil {
		return err
	}
	if err := c.store.Sync(); err != nil {
		return err
	}
	*saved = replicator.Saved{Durable: durable, Snapshot: snapshot}
	c.settings.Report.Warn("a new group was made of this member alone; what only the lost members held is lost, "+
		"and none of them may ever be started again", "member", self.ID, "last", index, "index", snapshot.Index, "term", snapshot.Term)
	return nil
}

// mayRestore refuses a restore that was not meant for this folder or that
// would split a group whose other members still run.
func (c *Controller) mayRestore(saved *replicator.Saved) error {
	switch {
	case c.settings.Restore != c.settings.Member:
		return classifier.New(classifier.Malformed, "--restore %d is not the id of this member, which is %d", c.settings.Restore, c.settings.Member)
	case c.settings.Bootstrap:
		return classifier.New(classifier.Malformed, "--bootstrap and --restore exclude each other")
	case saved.Snapshot.Index == 0:
		return classifier.New(classifier.Malformed, "the data folder %s holds no state that could be restored", c.settings.Folder)
	}
	log := replicator.New(replicator.Config{Self: c.settings.Member}, *saved, 0)
	members := log.Status().Members.Members
	if len(members) == 1 && members[0].ID == c.settings.Member {
		return classifier.New(classifier.Malformed, "member %d is the only one of its group; start it without --restore", c.settings.Member)
	}
	var group errgroup.Group
	for _, m := range members {
		if m.ID != c.settings.Member {
			group.Go(func() error { return refuseRunning(m) })
		}
	}
	return group.Wait()
}

func refuseRunning(m modeler.Member) error {
	connection, err := net.DialTimeout("tcp", m.Address, answerTime)
	if err != nil {
		return nil
	}
	_ = connection.Close()
	return classifier.New(classifier.Malformed,
		"member %d still accepts connections on %s; stop it for good before a restore, or start this member without --restore", m.ID, m.Address)
}

// replay returns the state after the last saved entry, its index, and the
// highest term that the folder knows.
func replay(saved *replicator.Saved) (*applier.Applier, modeler.Index, modeler.Term, error) {
	state := applier.New()
	index, term := saved.Snapshot.Index, max(saved.Snapshot.Term, saved.Durable.Term)
	if len(saved.Snapshot.Data) > 0 {
		if err := state.Load(saved.Snapshot.Data); err != nil {
			return nil, 0, 0, err
		}
	}
	for _, e := range saved.Entries {
		if e.Index <= saved.Snapshot.Index {
			continue
		}
		if e.Kind == modeler.NormalEntry {
			if _, err := state.ApplyData(e.Index, e.Data); err != nil {
				return nil, 0, 0, err
			}
		}
		index, term = e.Index, max(term, e.Term)
	}
	return state, index, term, nil
}
