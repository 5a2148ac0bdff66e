package controller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/relayer"
)

func keyOf(key string) *modeler.KeyDigest {
	if key == "" {
		return nil
	}
	digest := modeler.KeyDigest(sha256.Sum256([]byte(key)))
	return &digest
}

// accountLayout returns a layout with a queue /q/, a public one /open/, and an account for
// each name, whose key is the name.
func accountLayout(number modeler.TicketNumber, names ...modeler.TeamName) *modeler.Layout {
	policy := modeler.QueuePolicy{Service: "s", Attempts: 1}
	l := &modeler.Layout{
		Number: number, Keyed: true, Services: []modeler.ServiceName{"s"}, Document: fmt.Appendf(nil, "%d", number),
		Queues: []modeler.Queue{{Host: "h", Prefix: "/q/", Policy: policy, Timeout: time.Second}, {Host: "h", Prefix: "/open/", Policy: policy, Timeout: time.Second, Public: true}},
	}
	for _, name := range names {
		team := modeler.Team{Name: name, Weight: 2, Quota: modeler.Resources{Processors: 4000, Memory: 1 << 40}}
		l.Accounts = append(l.Accounts, modeler.Account{Team: team, Keys: []modeler.KeyDigest{*keyOf(string(name))}})
	}
	return l
}

// caller sends calls over a relayer.
type caller struct {
	t *testing.T
	r *relayer.Relayer
}

func (c *caller) set(l *modeler.Layout) {
	c.t.Helper()
	assert.NilError(c.t, c.send(&modeler.Call{Kind: modeler.SetLayoutCall, Layout: l}))
}

// send sends a call, and sends it again like a caller who is told that there is no leader
// or that the outcome is unknown.
func (c *caller) send(call *modeler.Call) error {
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		_, err := c.r.Call(c.t.Context(), call)
		kind := classifier.KindOf(err)
		if kind != classifier.NoLeader && kind != classifier.ProposalLost || time.Now().After(end) {
			return err
		}
	}
}

// call sends a call once and returns the kind of its error.
func (c *caller) call(kind modeler.CallKind, path, key string) classifier.Kind {
	_, err := c.r.Call(c.t.Context(), newCall(kind, path, key))
	return classifier.KindOf(err)
}

// repeat sends a call until a leader answers it and returns the kind of its error.
func (c *caller) repeat(kind modeler.CallKind, path, key string) classifier.Kind {
	return classifier.KindOf(c.send(newCall(kind, path, key)))
}

func newCall(kind modeler.CallKind, path, key string) *modeler.Call {
	call := &modeler.Call{Kind: kind, Host: "h", Path: path, Key: keyOf(key)}
	if kind == modeler.SubmitCall {
		call.Flow = &modeler.Flow{Spec: "x", Steps: []modeler.Step{{Count: 1, Need: modeler.Resources{Processors: 1000}, Estimate: time.Second}}}
	}
	return call
}

// Guards against calls that are served without the key of an account, against a caller who
// sees or cancels the flows of another account, and against a public queue that needs a
// key; against a key that is still in force after its revocation was acknowledged, and a
// removed account whose flows are lost.
func TestCallsNeedTheKeyOfTheirAccount(t *testing.T) {
	members, r := startWatchedGroup(t, 3, nil)
	c := &caller{t, r}
	all := []modeler.CallKind{modeler.SubmitCall, modeler.StateCall, modeler.CancelCall, modeler.CountCall}
	refused := func(path, key string, want classifier.Kind) {
		t.Helper()
		for _, kind := range all {
			assert.Equal(t, c.repeat(kind, path, key), want, "%v of %s with the key %q", kind, path, key)
		}
	}
	c.set(accountLayout(1, "a", "b"))
	assert.Equal(t, c.repeat(modeler.SubmitCall, "/q/f1", "a"), classifier.None)
	refused("/q/f1", "", classifier.Unauthorized)
	refused("/q/f1", "unknown", classifier.Unauthorized)
	refused("/elsewhere/f1", "", classifier.UnknownService)
	assert.Equal(t, c.repeat(modeler.StateCall, "/q/f1", "a"), classifier.None)
	assert.Equal(t, c.repeat(modeler.StateCall, "/q/f1", "b"), classifier.UnknownJob)
	assert.Equal(t, c.repeat(modeler.CancelCall, "/q/f1", "b"), classifier.UnknownJob)
	assert.Equal(t, c.repeat(modeler.SubmitCall, "/q/f1", "b"), classifier.KeyReused)
	assert.Equal(t, c.repeat(modeler.CountCall, "/q/", "b"), classifier.None)
	for _, key := range []string{"", "unknown", "a"} {
		assert.Equal(t, c.repeat(modeler.SubmitCall, "/open/p1", key), classifier.None)
		assert.Equal(t, c.repeat(modeler.StateCall, "/open/p1", key), classifier.None)
	}
	begun := time.Now()
	for i := range 6 {
		assert.Equal(t, c.repeat(modeler.SubmitCall, fmt.Sprintf("/q/g%d", i), "b"), classifier.None)
	}
	refilled := 2 * int(time.Since(begun)/time.Second+1)

	for i := range 6 {
		lasting := &modeler.Flow{Spec: "x", Steps: []modeler.Step{{Count: 1, LongRunning: true, Estimate: time.Second}}}
		assert.NilError(t, c.send(&modeler.Call{Kind: modeler.SubmitCall, Host: "h", Path: fmt.Sprintf("/q/lasting%d", i), Key: keyOf("a"), Flow: lasting}))
	}
	// Reads again if the leadership has moved during the read.
	leaderHasMetric := func(metric, value string) bool {
		for {
			leader := leaderOf(t, members, r)
			if members[leader].hasMetric(metric, value) {
				return true
			}
			if leaderOf(t, members, r) == leader {
				return false
			}
		}
	}
	for metric, value := range map[string]string{"account_tasks_waiting": "6", "account_tasks_running": "0"} {
		assert.Assert(t, leaderHasMetric(metric, value), metric)
	}
	status, document := statusOf(t, r)
	assert.Equal(t, status.Accounts[0].Account, modeler.TeamName("a"))
	assert.Equal(t, status.Accounts[0].Waiting, 7)
	assert.Equal(t, status.Accounts[1].Waiting, 6)
	assert.Equal(t, len(status.Steps), 14)
	assert.Assert(t, bytes.Contains(document, []byte(`"accounts":[{"account":"a"`)), "%s", document)

	c.set(accountLayout(2, "b"))
	refused("/q/f1", "a", classifier.Unauthorized)
	c.set(accountLayout(3))
	refused("/q/f1", "b", classifier.Unauthorized)
	c.set(accountLayout(4, "a"))
	assert.Equal(t, c.repeat(modeler.StateCall, "/q/f1", "a"), classifier.None, "the flow of a removed account is lost")
	open := accountLayout(5)
	open.Keyed = false
	c.set(open)
	assert.Equal(t, c.repeat(modeler.StateCall, "/q/f1", ""), classifier.None, "without accounts the callers of a former one can't see their flows")
	assert.Equal(t, c.repeat(modeler.SubmitCall, "/q/f1", ""), classifier.None)
	assert.Equal(t, c.repeat(modeler.CancelCall, "/q/f1", ""), classifier.None)

	var lines []byte
	for _, m := range members {
		m.log.mu.Lock()
		lines = append(lines, m.log.lines.Bytes()...)
		m.log.mu.Unlock()
	}
	// A flow that is sent again may have a line from each leader.
	beyond := 0
	for i := range 6 {
		if isLoggedBeyond(lines, fmt.Sprintf("g%d", i)) {
			beyond++
		}
		assert.Assert(t, !isLoggedBeyond(lines, fmt.Sprintf("lasting%d", i)), "a long-running flow is beyond its share")
	}
	assert.Assert(t, beyond >= 4-refilled && beyond <= 4, "%d of 6 flows are beyond a share of 2 a second, %d at most were refilled", beyond, refilled)
	assert.Assert(t, beyond > 0 || refilled >= 4)
	for _, secret := range []string{fmt.Sprintf("%x", *keyOf("a")), fmt.Sprint(*keyOf("a")), "unknown"} {
		assert.Assert(t, !bytes.Contains(lines, []byte(secret)), "the log holds a key")
	}
}

// isLoggedBeyond reports whether a line says that the flow is beyond its account's share.
func isLoggedBeyond(lines []byte, id string) bool {
	for line := range bytes.Lines(lines) {
		if bytes.Contains(line, []byte(`"request":"`+id+`"`)) && bytes.Contains(line, []byte(`"beyond":true`)) {
			return true
		}
	}
	return false
}

// Guards against a configuration with a lower number that replaces a newer one because
// both are offered at once.
func TestTwoLayoutsAtOnce(t *testing.T) {
	_, r := startWatchedGroup(t, 3, nil)
	c := &caller{t, r}
	for round := range modeler.TicketNumber(5) {
		var group sync.WaitGroup
		for _, l := range []*modeler.Layout{accountLayout(2*round+1, "lower"), accountLayout(2*round+2, "higher")} {
			group.Go(func() {
				err := c.send(&modeler.Call{Kind: modeler.SetLayoutCall, Layout: l})
				assert.Check(t, err == nil, "%v", err)
			})
		}
		group.Wait()
		assert.Equal(t, c.repeat(modeler.CountCall, "/q/", "higher"), classifier.None)
		assert.Equal(t, c.repeat(modeler.CountCall, "/q/", "lower"), classifier.Unauthorized)
	}
}

// Guards against a leader without a quorum that still judges keys by its own layout: a
// later one may have revoked them.
func TestLeaderWithoutQuorumChecksNoKeys(t *testing.T) {
	members, r := startWatchedGroup(t, 3, nil)
	c := &caller{t, r}
	c.set(accountLayout(1, "a"))
	ctx, cancel := context.WithTimeout(t.Context(), recovery)
	defer cancel()
	l, err := linker.Dial(ctx, members[0].Address, modeler.Hello{Entry: "direct", Incarnation: 1})
	assert.NilError(t, err)
	defer l.Close()
	ask := func() classifier.Kind {
		l.Send(&modeler.Message{Kind: modeler.CallMessage, Call: &modeler.Call{Kind: modeler.CountCall, Host: "h", Path: "/q/", Key: keyOf("a")}})
		for {
			select {
			case m, open := <-l.Receive():
				assert.Assert(t, open)
				if m.Kind == modeler.ReplyMessage {
					return m.Reply.Result.Kind
				}
			case <-ctx.Done():
				assert.NilError(t, ctx.Err())
			}
		}
	}
	assert.Equal(t, ask(), classifier.None)
	members[1].stop()
	members[2].stop()
	// The election timeout is 400 ms at least, and the lease shorter.
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, ask(), classifier.NoLeader)
	assert.Equal(t, c.call(modeler.CountCall, "/q/", "a"), classifier.NoLeader)
}

// Guards against accounts that get their share anew from each leader.
func TestShareAcrossLeaders(t *testing.T) {
	members, r := startWatchedGroup(t, 3, nil)
	c := &caller{t, r}
	isBeyond := func(id string) bool {
		for _, m := range members {
			m.log.mu.Lock()
			lines := bytes.Clone(m.log.lines.Bytes())
			m.log.mu.Unlock()
			if isLoggedBeyond(lines, id) {
				return true
			}
		}
		return false
	}
	l := accountLayout(1, "a", "b", "c", "d", "e", "f")
	for i := range l.Accounts {
		l.Accounts[i].Team.Weight = 1
	}
	c.set(l)
	// A share of one flow a second is whole again after a second, so a change of leader
	// that takes longer shows nothing.
	for i := range l.Accounts {
		name, to := string(l.Accounts[i].Team.Name), members[1+i%2]
		assert.Equal(t, c.call(modeler.SubmitCall, "/q/first-"+name, name), classifier.None)
		begun := time.Now()
		transferTo(t, members, to)
		assert.Equal(t, c.call(modeler.SubmitCall, "/q/second-"+name, name), classifier.None)
		if time.Since(begun) < 900*time.Millisecond {
			assert.Assert(t, !isBeyond("first-"+name))
			assert.Assert(t, isBeyond("second-"+name), "the share is whole after a change of leader")
			return
		}
	}
	t.Fatal("no change of leader took less than a second")
}

// transferTo has a member lead, which another one leads so far.
func transferTo(t *testing.T, members []*watchedMember, to *watchedMember) {
	t.Helper()
	for end := time.Now().Add(recovery); ; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the leadership is not transferred")
		for _, m := range members {
			l, err := linker.Dial(t.Context(), m.Address, modeler.Hello{Entry: "transfer", Incarnation: modeler.Incarnation(time.Now().UnixNano())})
			assert.NilError(t, err)
			l.Send(&modeler.Message{Kind: modeler.QueryMessage, Query: &modeler.Query{Kind: modeler.TransferToMember, Member: to.Member}})
			answer := <-l.Receive()
			for answer != nil && answer.Kind != modeler.QueryAnswerMessage {
				answer = <-l.Receive()
			}
			l.Close()
			if answer != nil && answer.QueryAnswer.Result.Kind == classifier.None {
				return
			}
		}
	}
}

// Guards against a revoked key that is in force again after all members have restarted.
func TestRevocationOutlivesRestarts(t *testing.T) {
	members, r := startWatchedGroup(t, 3, nil)
	c := &caller{t, r}
	c.set(accountLayout(1, "a", "b"))
	assert.Equal(t, c.repeat(modeler.CountCall, "/q/", "a"), classifier.None)
	c.set(accountLayout(2, "b"))
	var first []modeler.Member
	for _, m := range members {
		first = append(first, m.Member)
	}
	for _, m := range members {
		m.stop()
	}
	for _, m := range members {
		m.start(t, listen(t, m.Address), first, nil)
	}
	assert.Equal(t, c.repeat(modeler.CountCall, "/q/", "a"), classifier.Unauthorized)
	assert.Equal(t, c.repeat(modeler.CountCall, "/q/", "b"), classifier.None)
}

// Guards against a process whose links stay open after its controller has stopped, so that
// other processes go on to call it and don't reach its successor.
func TestStoppedMemberClosesItsLinks(t *testing.T) {
	members, _ := startWatchedGroup(t, 1, nil)
	var links []*linker.Link
	for _, hello := range []modeler.Hello{{Entry: "entry", Incarnation: 1}, {Member: 7}} {
		l, err := linker.Dial(t.Context(), members[0].Address, hello)
		assert.NilError(t, err)
		defer l.Close()
		links = append(links, l)
	}
	members[0].stop()
	for _, l := range links {
		select {
		case <-l.Done():
		case <-time.After(recovery):
			t.Fatal("a link is open after its controller has stopped")
		}
	}
}
