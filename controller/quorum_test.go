package controller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/relayer"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

// noticed bounds the time from a member's end until its leader reports it: a
// second of silence and a few ticks.
const noticed = 3 * time.Second

// logLine holds the fields of the log lines about members and elections.
type logLine struct {
	Message string           `json:"message"`
	Member  modeler.MemberID `json:"member"`
	Address string           `json:"address"`
	Votes   bool             `json:"votes"`
	Role    string           `json:"role"`
	Kind    string           `json:"kind"`
	Change  string           `json:"change"`
	Error   string           `json:"error"`
	Voters  int              `json:"voters"`
	Needed  int              `json:"needed"`
	Spare   int              `json:"spare"`
	Granted []string         `json:"granted"`
	Refused []string         `json:"refused"`
	Silent  json.RawMessage  `json:"silent"`
}

// memberLog collects the log lines of one member.
type memberLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *memberLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

// find returns the lines with a message.
func (l *memberLog) find(t *testing.T, message string) []logLine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []logLine
	for _, data := range bytes.Split(l.lines.Bytes(), []byte("\n")) {
		if !bytes.Contains(data, []byte(message)) {
			continue
		}
		var line logLine
		assert.NilError(t, json.Unmarshal(data, &line), "%s", data)
		if line.Message == message {
			found = append(found, line)
		}
	}
	return found
}

// await waits for a line with a message and returns all of them.
func (l *memberLog) await(t *testing.T, message string, within time.Duration) []logLine {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if found := l.find(t, message); len(found) > 0 {
			return found
		}
	}
	assert.Assert(t, false, "no line %q", message)
	return nil
}

// watchedMember is a member whose log, metrics and data folder the test keeps.
type watchedMember struct {
	modeler.Member
	log    *memberLog
	report *reporter.Reporter
	folder string
	// send answers the orders to workers; without it they are not sent.
	send func(*modeler.Order) modeler.OrderAnswer
	stop func()
}

// start starts the member, or starts it again with its data.
func (m *watchedMember) start(t *testing.T, listener net.Listener, first []modeler.Member, disk *storer.Disk) {
	m.log = &memberLog{}
	m.report = reporter.New(reporter.Options{Role: "control", Name: "test", Out: m.log})
	c, err := controller.New(controller.Settings{
		Member: m.ID, Listener: listener, Advertise: m.Address, Folder: m.folder, Disk: disk,
		First: modeler.Membership{Members: first}, Bootstrap: true, Resume: true,
		ElectionMin: 400 * time.Millisecond, ElectionMax: 750 * time.Millisecond, Report: m.report,
		Flows: &controller.FlowSettings{
			Bounds: dispatcher.Settings{
				MaxLease: 6 * time.Second, MaxStopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second, MaxTimeOverTarget: 4 * time.Second,
				Log: func(event string, pairs ...any) { m.report.Info(event, pairs...) },
			},
			Send: func(_ context.Context, o *modeler.Order) modeler.OrderAnswer {
				if m.send != nil {
					return m.send(o)
				}
				return modeler.OrderAnswer{Outcome: modeler.OrderUnsent}
			},
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	m.stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	t.Cleanup(m.stop)
}

// hasMetric reports whether the member's metrics hold the value for the metric.
func (m *watchedMember) hasMetric(name, value string) bool {
	var text bytes.Buffer
	reporter.WriteMetrics(&text, m.report)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "goldcreststack_"+name+"{") && strings.HasSuffix(line, "} "+value+"\n") {
			return true
		}
	}
	return false
}

// startWatchedGroup starts a group and returns its members, the leader first.
func startWatchedGroup(t *testing.T, size int, disk *storer.Disk) ([]*watchedMember, *relayer.Relayer) {
	return startGroupWithWorkers(t, size, disk, nil)
}

// startGroupWithWorkers is startWatchedGroup with a function that answers the orders to
// workers; without it they are not sent.
func startGroupWithWorkers(t *testing.T, size int, disk *storer.Disk, send func(*modeler.Order) modeler.OrderAnswer) ([]*watchedMember, *relayer.Relayer) {
	var members []*watchedMember
	var first []modeler.Member
	var listeners []net.Listener
	var addresses []string
	for id := range modeler.MemberID(size) {
		l := listen(t, "127.0.0.1:0")
		m := modeler.Member{ID: id + 1, Address: l.Addr().String()}
		listeners, first, addresses = append(listeners, l), append(first, m), append(addresses, m.Address)
		members = append(members, &watchedMember{Member: m, folder: filepath.Join(t.TempDir(), "data"), send: send})
	}
	for i, m := range members {
		m.start(t, listeners[i], first, disk)
	}
	r := relayer.New(relayer.Settings{Name: "test", Report: reporter.New(reporter.Options{Role: "entry", Name: "test", Out: &memberLog{}})})
	go func() { _ = r.Run(t.Context()) }()
	r.KeepLinks(t.Context(), addresses)
	assert.Assert(t, admitted(t.Context(), r, first[0], patience), "no leader")
	leader := leaderOf(t, members, r)
	members[0], members[leader] = members[leader], members[0]
	return members, r
}

// leaderOf returns the place of the member that leads.
func leaderOf(t *testing.T, members []*watchedMember, r *relayer.Relayer) int {
	t.Helper()
	status, _ := statusOf(t, r)
	place := slices.IndexFunc(members, func(m *watchedMember) bool { return m.ID == status.Leader })
	assert.Assert(t, place >= 0, "member %d leads", status.Leader)
	return place
}

// statusOf returns the leader's status, also as the document that it sends, and waits for a
// leader.
func statusOf(t *testing.T, r *relayer.Relayer) (status modeler.Status, document []byte) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		document, err := r.Status(t.Context())
		if err == nil {
			assert.NilError(t, json.Unmarshal(document, &status))
			return status, document
		}
		assert.Assert(t, time.Now().Before(end), "%v", err)
	}
}

// status asks a leader for the state of the group.
func (m *watchedMember) status(t *testing.T) modeler.Status {
	ctx, cancel := context.WithTimeout(t.Context(), recovery)
	defer cancel()
	l, err := linker.Dial(ctx, m.Address, modeler.Hello{Entry: "status", Incarnation: modeler.Incarnation(time.Now().UnixNano())})
	assert.NilError(t, err)
	defer l.Close()
	l.Send(&modeler.Message{Kind: modeler.QueryMessage, Query: &modeler.Query{Kind: modeler.StatusQuery}})
	for {
		select {
		case answer, open := <-l.Receive():
			assert.Assert(t, open, "the link closed")
			if answer.Kind != modeler.QueryAnswerMessage {
				continue
			}
			var s modeler.Status
			assert.NilError(t, json.Unmarshal(answer.QueryAnswer.Document, &s), "%v", answer.QueryAnswer.Result)
			return s
		case <-ctx.Done():
			assert.NilError(t, ctx.Err())
		}
	}
}

// TestSilentVoterIsReported guards against a group that has lost a voter and
// bears no further loss, and whose logs, status and metrics don't show it.
func TestSilentVoterIsReported(t *testing.T) {
	members, _ := startWatchedGroup(t, 3, nil)
	leader, gone := members[0], members[1]
	assert.DeepEqual(t, leader.status(t).Quorum, modeler.QuorumStatus{Voters: 3, Needed: 2, Spare: 1})
	assert.Assert(t, leader.hasMetric("spare_losses", "1"))
	assert.Assert(t, members[2].hasMetric("spare_losses", "NaN"), "a member that does not lead can't know the spare losses")

	gone.stop()
	lines := leader.log.await(t, "member does not answer", noticed)
	assert.Equal(t, len(lines), 1)
	assert.DeepEqual(t, lines[0], logLine{
		Message: "member does not answer", Member: gone.ID, Address: gone.Address, Votes: true, Role: "control",
		Voters: 3, Needed: 2, Silent: json.RawMessage("1"),
	})
	status := leader.status(t)
	assert.DeepEqual(t, status.Quorum, modeler.QuorumStatus{Voters: 3, Needed: 2, Silent: 1})
	for _, m := range status.Members {
		assert.Equal(t, m.Silent > 0, m.ID == gone.ID, "member %d", m.ID)
	}
	for name, value := range map[string]string{"voters": "3", "learners": "0", "silent_voters": "1", "spare_losses": "0"} {
		assert.Assert(t, leader.hasMetric(name, value), name)
	}

	gone.start(t, listen(t, gone.Address), nil, nil)
	lines = leader.log.await(t, "member answers again", noticed)
	assert.Equal(t, lines[0].Member, gone.ID)
	assert.Equal(t, lines[0].Spare, 1)
	assert.Equal(t, len(leader.log.find(t, "member does not answer")), 1)
}

// TestElectionWithoutQuorumIsReported guards against a group without a leader
// whose logs don't say which voters are missing, or say it many times a second.
func TestElectionWithoutQuorumIsReported(t *testing.T) {
	members, _ := startWatchedGroup(t, 3, nil)
	last := members[0]
	members[1].stop()
	members[2].stop()
	last.log.await(t, "election not won", recovery)
	time.Sleep(2 * time.Second)
	lines := last.log.find(t, "election not won")
	assert.Equal(t, len(lines), 1, "%+v", lines)
	line := lines[0]
	assert.Equal(t, line.Role, "pre-candidate")
	assert.Equal(t, line.Voters, 3)
	assert.Equal(t, line.Needed, 2)
	assert.DeepEqual(t, line.Granted, []string{last.Address})
	assert.DeepEqual(t, line.Refused, []string{})
	var silent []string
	assert.NilError(t, json.Unmarshal(line.Silent, &silent))
	assert.Equal(t, len(silent), 2)
	assert.Assert(t, !last.hasMetric("lost_elections", "0"))
}

// TestRefusedChangeOfMembersIsReported guards against a log that says that a
// member was added although the change was refused, and does not say why.
func TestRefusedChangeOfMembersIsReported(t *testing.T) {
	disk := storer.SystemDisk()
	// Nothing is committed while syncs is locked.
	var syncs sync.RWMutex
	holdable := func(open func(string) (storer.File, error)) func(string) (storer.File, error) {
		return func(path string) (storer.File, error) {
			file, err := open(path)
			sync := file.Sync
			file.Sync = func() error {
				syncs.RLock()
				defer syncs.RUnlock()
				return sync()
			}
			return file, err
		}
	}
	disk.Create, disk.Open = holdable(disk.Create), holdable(disk.Open)
	members, r := startWatchedGroup(t, 3, &disk)
	syncs.Lock()
	goOn := sync.OnceFunc(syncs.Unlock)
	defer goOn()
	log := members[0].log
	fresh := []modeler.Member{{ID: 44, Address: "127.0.0.1:1"}, {ID: 55, Address: "127.0.0.1:2"}}
	var group sync.WaitGroup
	for _, m := range fresh {
		group.Go(func() {
			_, err := r.Call(t.Context(), &modeler.Call{Kind: modeler.JoinCall, Member: &m})
			assert.Check(t, err != nil, "admitted before the change is committed")
		})
	}
	group.Wait()
	added := log.find(t, "member added")
	assert.Equal(t, len(added), 1, "%+v", added)
	refused := log.find(t, "change of members refused")
	assert.Equal(t, len(refused), 1, "%+v", refused)
	assert.Equal(t, added[0].Member+refused[0].Member, fresh[0].ID+fresh[1].ID)
	assert.Equal(t, refused[0].Change, "member added")
	assert.Assert(t, strings.Contains(refused[0].Error, "another change of members"), refused[0].Error)
	refusal := members[0].status(t).Quorum.Refusal
	assert.Assert(t, strings.Contains(refusal, "another change of members"), refusal)
	goOn()
	for _, m := range fresh {
		assert.Assert(t, admitted(t.Context(), r, m, recovery), "member %d is not admitted", m.ID)
	}
	assert.Equal(t, len(log.find(t, "member added")), 2)
	assert.Equal(t, members[0].status(t).Quorum.Refusal, "")
}

// TestUnknownReceiverIsReported guards against a member whose answers are dropped
// without a line, and against a line for each of them.
func TestUnknownReceiverIsReported(t *testing.T) {
	members, _ := startWatchedGroup(t, 1, nil)
	only := members[0]
	l, err := linker.Dial(t.Context(), only.Address, modeler.Hello{Member: 77})
	assert.NilError(t, err)
	defer l.Close()
	const sent = 20
	for range sent {
		l.Send(&modeler.Message{Kind: modeler.PeerMessageKind, Peer: &modeler.PeerMessage{Kind: modeler.Append, From: 78, To: only.ID, Term: 1}})
	}
	lines := only.log.await(t, "member has no known address", recovery)
	for end := time.Now().Add(recovery); !only.hasMetric("member_messages_dropped_total", "20"); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not all dropped messages are counted")
	}
	assert.Equal(t, len(only.log.find(t, "member has no known address")), 1)
	assert.Equal(t, lines[0].Member, modeler.MemberID(78))
	assert.Equal(t, lines[0].Kind, "append answer")
}

// TestLaggingLearnerIsReported guards against a learner whose disk refuses writes,
// which answers, never votes, and leaves no line.
func TestLaggingLearnerIsReported(t *testing.T) {
	members, r := startWatchedGroup(t, 3, nil)
	var first []modeler.Member
	for _, m := range members {
		first = append(first, m.Member)
	}
	var full atomic.Bool
	listener := listen(t, "127.0.0.1:0")
	learner := modeler.Member{ID: 44, Address: listener.Addr().String()}
	stop := startPeer(t, learner.ID, listener, first, true, fillableDisk(&full))
	t.Cleanup(stop)
	t.Cleanup(func() { full.Store(false) })
	assert.Assert(t, admitted(t.Context(), r, learner, recovery))
	hasEntries := func(m modeler.MemberStatus) bool { return m.Member.ID == learner.ID && m.Match > 0 }
	for end := time.Now().Add(recovery); !slices.ContainsFunc(members[0].status(t).Members, hasEntries); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the learner does not receive the log")
	}
	full.Store(true)
	for number := modeler.TicketNumber(1); number <= 300; {
		layout := &modeler.Layout{Number: number, Document: []byte("{}")}
		if _, err := r.Call(t.Context(), &modeler.Call{Kind: modeler.SetLayoutCall, Layout: layout}); err == nil {
			number++
		}
	}
	lines := members[0].log.await(t, "learner has not caught up", 10*time.Second)
	assert.Equal(t, lines[0].Member, learner.ID)
	assert.Equal(t, lines[0].Address, learner.Address)
	assert.Equal(t, len(members[0].log.find(t, "change of members refused")), 0)
}
