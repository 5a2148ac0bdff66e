package controller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

// member is the only member of a group, with a link to it.
type member struct {
	t       *testing.T
	folder  string
	address string
	link    *linker.Link
	number  modeler.TicketNumber
}

func startMember(t *testing.T, settings controller.Settings) *member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings.Member, settings.Bootstrap, settings.Listener = 1, true, listener
	settings.Advertise, settings.Folder = listener.Addr().String(), filepath.Join(t.TempDir(), "data")
	settings.Report = reporter.New(reporter.Options{Role: "control", Name: "test", Out: io.Discard})
	settings.First.Members = []modeler.Member{{ID: 1, Address: settings.Advertise}}
	c, err := controller.New(settings)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	m := &member{t: t, folder: settings.Folder, address: settings.Advertise}
	m.dial()
	return m
}

func (m *member) dial() {
	l, err := linker.Dial(m.t.Context(), m.address, modeler.Hello{Entry: "e", Incarnation: 1})
	assert.NilError(m.t, err)
	m.link = l
}

// propose proposes count tickets whose notes have the given length, and waits
// until each is accepted.
func (m *member) propose(count, length int) {
	for range count {
		m.number++
		ticket := &modeler.Ticket{Number: m.number, Note: fmt.Sprintf("%0*d", length, m.number), Teams: []modeler.Team{{
			Name: "team", Weight: 1, Policy: modeler.Spread, Quota: modeler.Resources{Processors: 1000, Memory: 1 << 30},
		}}}
		for !m.accepted(ticket) {
			time.Sleep(time.Millisecond)
		}
	}
}

func (m *member) accepted(ticket *modeler.Ticket) bool {
	m.link.Send(&modeler.Message{Kind: modeler.ProposeMessage, Propose: &modeler.Command{Kind: modeler.ApplyTicket, Ticket: ticket}})
	answer, open := <-m.link.Receive()
	for open && answer.Kind != modeler.ProposalAnswerMessage {
		answer, open = <-m.link.Receive()
	}
	if !open {
		// A link closes when the process has stood still for a second.
		m.dial()
		return false
	}
	result := answer.ProposalAnswer.Result
	accepted := result.Kind == classifier.None
	assert.Assert(m.t, accepted || result.Kind == classifier.NoLeader, "%v", result)
	return accepted
}

// TestSnapshotAfterFullDisk guards against a control process that takes no more
// snapshots after a full disk has kept it from saving one, so that its log only
// grows.
func TestSnapshotAfterFullDisk(t *testing.T) {
	disk := storer.SystemDisk()
	create := disk.Create
	var full atomic.Bool
	var refused atomic.Int32
	disk.Create = func(path string) (storer.File, error) {
		if full.Load() && strings.HasPrefix(filepath.Base(path), "snapshot-") {
			refused.Add(1)
			return storer.File{}, syscall.ENOSPC
		}
		return create(path)
	}
	m := startMember(t, controller.Settings{Disk: &disk, SnapshotEvery: 10})
	full.Store(true)
	m.propose(30, 1)
	for refused.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	full.Store(false)
	m.propose(30, 1)
	assert.Assert(t, savedWithin(m.folder, 30, 5*time.Second), "no snapshot after the disk has room again")
}

// Guards against a log that grows without bound while large tickets arrive, and
// against a snapshot after each of them.
func TestSnapshotAfterBytes(t *testing.T) {
	m := startMember(t, controller.Settings{SnapshotBytes: 10_000})
	m.propose(5, 1000)
	assert.Assert(t, !savedWithin(m.folder, 2, 100*time.Millisecond))
	m.propose(10, 1000)
	assert.Assert(t, savedWithin(m.folder, 5, 5*time.Second))
}

// savedWithin waits for a saved snapshot whose index is at least least; it
// reports false if that takes too long.
func savedWithin(folder string, least uint64, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		names, _ := os.ReadDir(folder)
		for _, name := range names {
			var index uint64
			if n, _ := fmt.Sscanf(name.Name(), "snapshot-%016x", &index); n == 1 && index >= least && !strings.HasSuffix(name.Name(), ".tmp") {
				return true
			}
		}
	}
	return false
}

// Guards against a process that isn't told that it leads, and so keeps the memory
// settings of one that doesn't.
func TestLeadershipIsReported(t *testing.T) {
	changes := make(chan bool, 4)
	m := startMember(t, controller.Settings{OnLeadership: func(leads bool) { changes <- leads }})
	m.propose(1, 10)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, <-changes, "a process that accepts tickets leads")
}
