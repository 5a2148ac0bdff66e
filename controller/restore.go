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
	// skippedTerms and skippedIndexes are added to the last term and index by a
	// restore, so that the new group never reuses a term, version or attempt that
	// only the lost members knew. An election takes a second, so the terms cover
	// 12 days of elections without pause.
	skippedTerms   = 1 << 20
	skippedIndexes = 1 << 32
	// connectTimeout is how long another member has to accept a connection.
	connectTimeout = 2 * time.Second
)

// restore replaces the content of the data folder by one snapshot of its whole
// log, with this member as the only one. It counts every saved entry as
// committed: only the lost members know which of the last ones were.
func (c *Controller) restore(saved *replicator.Saved) error {
	if err := c.checkRestore(saved); err != nil {
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
		Index:      index + skippedIndexes,
		Term:       term + skippedTerms,
		Membership: modeler.Membership{Members: []modeler.Member{self}},
		Data:       data,
	}
	if err := c.store.SaveSnapshot(snapshot); err != nil {
		return err
	}
	durable := modeler.HardState{Term: snapshot.Term, Vote: self.ID}
	if err := c.store.SaveHardState(durable); err != nil {
		return err
	}
	if err := c.store.Sync(); err != nil {
		return err
	}
	*saved = replicator.Saved{HardState: durable, Snapshot: snapshot}
	c.settings.Report.Warn("a new group was made of this member alone; what only the lost members held is lost, "+
		"and none of them may ever be started again", "member", self.ID, "last", index, "index", snapshot.Index, "term", snapshot.Term)
	return nil
}

// checkRestore refuses a restore that is not meant for this folder, or that
// would split a group whose other members still run.
func (c *Controller) checkRestore(saved *replicator.Saved) error {
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
			group.Go(func() error { return checkStopped(m) })
		}
	}
	return group.Wait()
}

// checkStopped returns an error if the member still accepts connections.
func checkStopped(m modeler.Member) error {
	connection, err := net.DialTimeout("tcp", m.Address, connectTimeout)
	if err != nil {
		return nil
	}
	_ = connection.Close()
	return classifier.New(classifier.Malformed,
		"member %d still accepts connections on %s; stop it for good before a restore, or start this member without --restore", m.ID, m.Address)
}

// replay returns the state after the last saved entry, the index of that entry,
// and the highest term found in the folder.
func replay(saved *replicator.Saved) (*applier.Applier, modeler.Index, modeler.Term, error) {
	state := applier.New()
	index, term := saved.Snapshot.Index, max(saved.Snapshot.Term, saved.HardState.Term)
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
