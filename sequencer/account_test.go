package sequencer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// accounts returns a layout with the accounts of the names; the quota is its number.
func accounts(number modeler.TicketNumber, names ...modeler.TeamName) *modeler.Layout {
	l := &modeler.Layout{Number: number, Keyed: true}
	for _, name := range names {
		team := modeler.Team{Name: name, Weight: 1, Quota: modeler.Resources{Processors: modeler.Millicores(number)}}
		l.Accounts = append(l.Accounts, modeler.Account{Team: team, Keys: []modeler.KeyDigest{{byte(number), name[0]}}})
	}
	return l
}

func flowOf(team modeler.TeamName, id modeler.FlowID, count int, beyondShare bool) *modeler.Flow {
	f := oneStepFlow(id, count)
	f.Team, f.BeyondShare = team, beyondShare
	return f
}

// restored returns the state after a snapshot was encoded, decoded and restored.
func restored(t *testing.T, s *sequencer.Sequencer) *sequencer.Sequencer {
	saved := s.TakeSnapshot()
	data, err := cbor.Marshal(&saved)
	assert.NilError(t, err)
	var read sequencer.Snapshot
	assert.NilError(t, cbor.Unmarshal(data, &read))
	out := sequencer.New()
	out.Restore(&read)
	return out
}

// Guards against a removed account whose flows lose their quota, also after a snapshot,
// one that keeps its keys, and one that stays for good.
func TestFormerAccounts(t *testing.T) {
	s := newState()
	s.SetLayout(accounts(1, "a", "b", "c"))
	s.Submit(1, flowOf("a", "f", 1, false))
	s.Submit(1, flowOf("a", "g", 1, false))
	s.Submit(1, flowOf("b", "h", 1, false))
	s.SetLayout(accounts(2, "b"))
	s.SetLayout(accounts(3))
	s = restored(t, s)
	former := s.Layout().Former
	assert.Equal(t, len(former), 2, "an account without flows is kept")
	for i, want := range []modeler.Team{{Name: "a", Quota: modeler.Resources{Processors: 1}}, {Name: "b", Quota: modeler.Resources{Processors: 2}}} {
		assert.Equal(t, former[i].Team.Name, want.Name)
		assert.Equal(t, former[i].Team.Quota, want.Quota)
		assert.Equal(t, len(former[i].Keys), 0)
	}
	s.Cancel(2, "f")
	assert.Equal(t, len(s.Layout().Former), 2)
	s.Changes()
	s.Cancel(2, "g")
	assert.Equal(t, len(s.Layout().Former), 1)
	assert.Equal(t, len(former), 2, "a snapshot that is being written shares the list")
	assert.Equal(t, s.Changes()[0].Kind, sequencer.LayoutChanged)
	s.SetLayout(accounts(4, "b"))
	assert.Equal(t, len(s.Layout().Former), 0, "an account that is back is not a former one")
	s.Cancel(2, "h")
}

// Guards against a flow that is accepted for an account which was removed between the
// check of its key and the commit, and runs without a quota.
func TestFlowOfRemovedAccount(t *testing.T) {
	s := newState()
	s.SetLayout(accounts(1, "a"))
	s.SetLayout(accounts(2))
	assert.Equal(t, s.Submit(1, flowOf("a", "f", 1, false)).Kind, classifier.Unauthorized)
	_, found := s.Flow("f")
	assert.Assert(t, !found)
}

// Guards against a caller who learns from the answer that another account's flow has been
// accepted under the id, and believes that it is its own.
func TestIDOfAnotherAccount(t *testing.T) {
	s := newState()
	s.SetLayout(accounts(1, "a", "b"))
	s.Submit(1, flowOf("a", "f", 1, false))
	s.Submit(1, flowOf("", "public", 1, false))
	assert.Equal(t, s.Submit(2, flowOf("b", "f", 1, false)).Kind, classifier.KeyReused)
	assert.Equal(t, s.Submit(2, flowOf("a", "f", 1, false)), modeler.Result{Repeat: true})
	held, _ := s.Flow("f")
	assert.Assert(t, held.IsVisibleTo("a") && !held.IsVisibleTo("b") && !held.IsVisibleTo(""))
	held, _ = s.Flow("public")
	assert.Assert(t, held.IsVisibleTo("b"))
}

// Guards against a snapshot of the previous build, without the fields of accounts, that
// can't be read or makes the queues need keys.
func TestSnapshotOfPreviousBuild(t *testing.T) {
	type layout struct {
		Number   modeler.TicketNumber `cbor:"1,keyasint"`
		Queues   []modeler.Queue      `cbor:"2,keyasint"`
		Document []byte               `cbor:"3,keyasint"`
	}
	data, err := cbor.Marshal(struct {
		Layout layout           `cbor:"1,keyasint"`
		Flows  []sequencer.Flow `cbor:"2,keyasint"`
	}{layout{Number: 7, Queues: []modeler.Queue{{Host: "h"}}}, []sequencer.Flow{{Spec: modeler.Flow{ID: "f", Queue: "q"}, State: modeler.FlowPending}}})
	assert.NilError(t, err)
	var saved sequencer.Snapshot
	assert.NilError(t, cbor.Unmarshal(data, &saved))
	s := sequencer.New()
	s.Restore(&saved)
	assert.Equal(t, s.Layout().Number, modeler.TicketNumber(7))
	assert.Assert(t, !s.Layout().Keyed && !s.Layout().Queues[0].Public)
	f, _ := s.Flow("f")
	assert.Assert(t, f.Spec.Team == "" && !f.Spec.BeyondShare)
}

// Guards against flows beyond the shares that take the room of the others, also while
// they are proposed, and after a snapshot.
func TestRoomBeyondShares(t *testing.T) {
	s := newState()
	s.SetLayout(accounts(1, "a"))
	load := sequencer.LoadOf(flowOf("a", "", 100_000, true))
	for _, id := range []modeler.FlowID{"f", "g"} {
		assert.NilError(t, s.CheckRoom(load, sequencer.Load{}))
		s.Submit(1, flowOf("a", id, 100_000, true))
	}
	s = restored(t, s)
	rest := sequencer.LoadOf(flowOf("a", "", 40_000, true))
	assert.NilError(t, s.CheckRoom(rest, sequencer.Load{}))
	assert.Equal(t, classifier.KindOf(s.CheckRoom(rest, rest)), classifier.QueueFull, "proposed flows don't count")
	assert.Equal(t, classifier.KindOf(s.CheckRoom(load, sequencer.Load{})), classifier.QueueFull)
	assert.NilError(t, s.CheckRoom(sequencer.LoadOf(flowOf("a", "", 100_000, false)), sequencer.Load{}))
	s.Cancel(2, "f")
	assert.NilError(t, s.CheckRoom(load, sequencer.Load{}))
}

// Guards against accounts that share a key or a name, or have none: a flow of an account
// without a name would belong to no account.
func TestLayoutsWithUnsoundAccounts(t *testing.T) {
	sharedKey := accounts(1, "a", "b")
	sharedKey.Accounts[1].Keys = sharedKey.Accounts[0].Keys
	nameless := accounts(1, "a")
	nameless.Accounts[0].Team.Name = ""
	for _, l := range []*modeler.Layout{sharedKey, accounts(1, "a", "a"), nameless} {
		assert.Equal(t, classifier.KindOf(sequencer.CheckLayout(l)), classifier.TicketInvalid)
	}
	assert.NilError(t, sequencer.CheckLayout(accounts(1)))
}
