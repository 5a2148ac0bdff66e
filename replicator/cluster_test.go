package replicator_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// initialIndex is the index of the snapshot that the first members start from.
const initialIndex = modeler.Index(1)

// operation is one queued action of a host: a write to its storage, a compaction
// or the sending of messages.
type operation struct {
	durable  *modeler.HardState
	messages []modeler.PeerMessage
	snapshot *modeler.Snapshot
	entries  []modeler.LogEntry
	write    replicator.Write
	compact  *modeler.Snapshot
}

// host is a member with its disk, its clock and its state machine. The state is
// a running digest of the committed entries.
type host struct {
	id         modeler.MemberID
	address    string
	r          *replicator.Replicator
	disk       replicator.Saved
	membership modeler.Membership

	operations []operation
	diskLost   bool
	// diskHangsUntil is when the disk carries out operations again.
	diskHangsUntil time.Duration
	removed        bool
	pausedUntil    time.Duration
	startedAt      time.Duration
	clockOffset    modeler.ClockReading
	clockRate      float64

	applied     modeler.Index
	appliedTerm modeler.Term
	digest      uint64
}

type packet struct {
	at time.Duration
	m  modeler.PeerMessage
}

type link struct{ from, to modeler.MemberID }

type memberTerm struct {
	member modeler.MemberID
	term   modeler.Term
}

// cluster simulates the members of a group with their network, disks and clocks,
// and checks the safety properties after every step. now is the true time, from
// which the members' clocks drift.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	hosts    []*host
	inFlight []packet
	cutUntil map[link]time.Duration

	// drop, repeat and delay are the chances that a message is lost, sent twice
	// or delayed by up to 3 s; drift is the largest error of a clock's rate.
	drop, repeat, delay float64
	drift               float64
	// proposalChance is the chance that a leader proposes entries in a step.
	proposalChance float64
	// slowSync delays storage operations at random.
	slowSync bool
	// pieceSize bounds the bytes in one piece of a snapshot; padding is the number
	// of bytes added to each snapshot.
	pieceSize, padding int
	// tailBytes bounds the data of the entries that a compaction keeps; 0 means
	// the default.
	tailBytes int
	// bandwidth is that of each link in bytes a second, unlimited if 0.
	// linkFreeAt is when a link has sent all messages queued on it.
	bandwidth  float64
	linkFreeAt map[link]time.Duration
	// electionMin and electionMax are the members' election timeouts; 0 means the
	// defaults.
	electionMin, electionMax time.Duration
	// shortestTimeouts lets all members choose the shortest election timeout.
	shortestTimeouts bool
	// ticksWhenDue calls Tick only at the time that Due returns, instead of in
	// every step.
	ticksWhenDue bool

	committed []modeler.LogEntry
	digests   []uint64
	leaders   map[modeler.Term]modeler.MemberID
	votes     map[memberTerm]modeler.MemberID
	// toldToStand holds the candidates that a leader has told to stand for
	// election, with the term of the election.
	toldToStand map[memberTerm]bool
	proposed    uint64
	trace       []string
	counts      map[string]int
	failure     string
}

func newCluster(t *testing.T, seed uint64, size int, drift float64) *cluster {
	var members modeler.Membership
	for id := range size {
		members.Members = append(members.Members, modeler.Member{ID: modeler.MemberID(id + 1)})
	}
	return newClusterOf(t, seed, members, drift)
}

// newClusterOf starts a cluster of the given members, whose ids count from 1.
func newClusterOf(t *testing.T, seed uint64, members modeler.Membership, drift float64) *cluster {
	c := &cluster{
		t:              t,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		cutUntil:       map[link]time.Duration{},
		drift:          drift,
		ticksWhenDue:   seed/6%2 == 0,
		proposalChance: 0.25,
		pieceSize:      3,
		linkFreeAt:     map[link]time.Duration{},
		leaders:        map[modeler.Term]modeler.MemberID{},
		votes:          map[memberTerm]modeler.MemberID{},
		toldToStand:    map[memberTerm]bool{},
		counts:         map[string]int{},
	}
	for range members.Members {
		snapshot := modeler.Snapshot{Index: initialIndex, Term: 1, Membership: members, Data: encodeDigest(0)}
		c.addHost(replicator.Saved{Snapshot: snapshot})
	}
	return c
}

func encodeDigest(digest uint64) []byte { return binary.BigEndian.AppendUint64(nil, digest) }

func (c *cluster) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf("at %s: ", c.now) + fmt.Sprintf(format, args...)
	}
}

func (c *cluster) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%s ", c.now)+fmt.Sprintf(format, args...))
	c.trace = c.trace[max(0, len(c.trace)-40):]
}

func (c *cluster) addHost(saved replicator.Saved) *host {
	h := &host{id: modeler.MemberID(len(c.hosts) + 1), disk: saved}
	c.hosts = append(c.hosts, h)
	c.start(h)
	return h
}

// start starts the host's process from the state on its disk, with a new clock.
func (c *cluster) start(h *host) {
	h.startedAt = c.now
	h.clockOffset = modeler.ClockReading(c.rng.Int64N(int64(2*time.Hour))) - modeler.ClockReading(time.Hour)
	h.clockRate = 1 + c.drift*(2*c.rng.Float64()-1)
	h.operations = nil
	h.applied, h.appliedTerm = h.disk.Snapshot.Index, h.disk.Snapshot.Term
	h.digest = 0
	if len(h.disk.Snapshot.Data) > 0 {
		h.digest = binary.BigEndian.Uint64(h.disk.Snapshot.Data)
	}
	saved := h.disk
	saved.Entries = slices.Clone(saved.Entries)
	random := func(n int64) int64 {
		if c.shortestTimeouts {
			return 0
		}
		return c.rng.Int64N(n)
	}
	cfg := replicator.Config{Self: h.id, MaxBatch: 8, TailEntries: 16, TailBytes: c.tailBytes, PieceBytes: c.pieceSize, Random: random, ElectionMin: c.electionMin, ElectionMax: c.electionMax}
	h.r = replicator.New(cfg, saved, c.reading(h))
	h.membership = h.r.Status().Members
}

func (c *cluster) reading(h *host) modeler.ClockReading {
	return h.clockOffset.Add(time.Duration(float64(c.now-h.startedAt) * h.clockRate))
}

func (c *cluster) isRunning(h *host) bool { return h.r != nil && c.now >= h.pausedUntil }

// processOutput takes the member's Output: it applies committed entries at once
// and queues the other work as operations.
func (c *cluster) processOutput(h *host) {
	out := h.r.Output()
	if out.HardState != nil {
		h.operations = append(h.operations, operation{durable: out.HardState})
	}
	if len(out.Messages) > 0 {
		h.operations = append(h.operations, operation{messages: out.Messages})
	}
	if out.Write != 0 {
		h.operations = append(h.operations, operation{
			snapshot: out.Snapshot,
			entries:  out.Entries,
			write:    out.Write,
		})
	}
	if out.Snapshot != nil {
		c.counts["installed"]++
		h.applied, h.appliedTerm = out.Snapshot.Index, out.Snapshot.Term
		h.digest = binary.BigEndian.Uint64(out.Snapshot.Data)
		c.checkDigest(h)
	}
	status := h.r.Status()
	h.membership = status.Members
	for _, entry := range out.Committed {
		c.apply(h, entry)
	}
	if status.Role == replicator.Leader {
		if known, ok := c.leaders[status.Term]; ok && known != h.id {
			c.fail("one leader per term: %d and %d lead in term %d", known, h.id, status.Term)
		} else if !ok {
			c.counts["leaders"]++
			if c.toldToStand[memberTerm{h.id, status.Term}] {
				c.counts["transfers done"]++
			}
			c.note("%d leads in term %d", h.id, status.Term)
		}
		c.leaders[status.Term] = h.id
	}
}

func (c *cluster) apply(h *host, entry modeler.LogEntry) {
	if entry.Index != h.applied+1 {
		c.fail("order: member %d applies entry %d after %d", h.id, entry.Index, h.applied)
		return
	}
	sum := binary.BigEndian.AppendUint64(encodeDigest(h.digest), uint64(entry.Term))
	h.digest = xxhash.Sum64(append(sum, entry.Data...))
	h.applied, h.appliedTerm = entry.Index, entry.Term
	if position := int(entry.Index - initialIndex - 1); position == len(c.committed) {
		c.checkStored(h, entry)
		c.committed = append(c.committed, entry)
		c.digests = append(c.digests, h.digest)
		c.counts["committed"]++
	} else if first := c.committed[position]; first.Term != entry.Term || !bytes.Equal(first.Data, entry.Data) {
		c.fail("equal prefixes: member %d commits %v, entry %v was committed before", h.id, entry, first)
	}
	c.checkDigest(h)
}

func (c *cluster) checkDigest(h *host) {
	position := int(h.applied - initialIndex - 1)
	if position >= len(c.digests) {
		c.fail("equal prefixes: member %d installs uncommitted entry %d", h.id, h.applied)
	} else if position >= 0 && h.digest != c.digests[position] {
		c.fail("equal prefixes: state of member %d differs at entry %d", h.id, h.applied)
	}
}

func (h *host) hasStored(entry modeler.LogEntry) bool {
	if h.disk.Snapshot.Index >= entry.Index {
		return true
	}
	entries := h.disk.Entries
	if len(entries) == 0 || entry.Index < entries[0].Index || entry.Index > entries[len(entries)-1].Index {
		return false
	}
	return entries[entry.Index-entries[0].Index].Term == entry.Term
}

// checkStored requires that an entry is on the disks of a quorum of voters when
// a member first reports it as committed.
func (c *cluster) checkStored(h *host, entry modeler.LogEntry) {
	voters, stored := 0, 0
	for _, member := range h.membership.Members {
		if member.Learner {
			continue
		}
		voters++
		if c.hosts[member.ID-1].hasStored(entry) {
			stored++
		}
	}
	if stored <= voters/2 {
		c.fail("acknowledged entries: entry %d is on the disks of %d of %d voters", entry.Index, stored, voters)
	}
}

// canRun reports whether operation n need not wait for an earlier one.
func (h *host) canRun(n int) bool {
	for _, earlier := range h.operations[:n] {
		if earlier.durable != nil || h.operations[n].messages == nil && earlier.messages == nil {
			return false
		}
	}
	return true
}

// runOperations carries out operations in an order that the documentation of
// Output allows.
func (c *cluster) runOperations(h *host) {
	for n := 0; n < len(h.operations); {
		if !h.canRun(n) || h.operations[n].messages == nil && (c.now < h.diskHangsUntil || c.slowSync && c.rng.Float64() < 0.5) {
			n++
			continue
		}
		op := h.operations[n]
		h.operations = slices.Delete(h.operations, n, n+1)
		h.persist(op, len(op.entries))
		for _, m := range op.messages {
			c.sendMessage(m)
		}
		if op.write != 0 {
			h.r.Synced(c.reading(h), op.write)
		}
		if op.compact != nil {
			h.r.Compact(*op.compact)
		}
		c.processOutput(h)
	}
}

// persist writes the operation with the first n of its entries to the disk.
func (h *host) persist(op operation, n int) {
	if op.durable != nil {
		h.disk.HardState = *op.durable
	}
	if op.snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *op.snapshot, nil
	}
	if op.compact != nil && op.compact.Index > h.disk.Snapshot.Index {
		h.disk.Snapshot = *op.compact
		// Some entries before the snapshot are kept, as by a storage that can
		// only drop whole files.
		drop := slices.IndexFunc(h.disk.Entries, func(e modeler.LogEntry) bool { return e.Index+20 > op.compact.Index })
		h.disk.Entries = h.disk.Entries[max(0, drop):]
	}
	if len(op.entries) > 0 {
		first := op.entries[0].Index
		kept := h.disk.Entries
		for len(kept) > 0 && kept[len(kept)-1].Index >= first {
			kept = kept[:len(kept)-1]
		}
		if len(kept) > 0 && kept[len(kept)-1].Index+1 < first {
			kept = nil
		}
		h.disk.Entries = append(slices.Clone(kept), op.entries[:n]...)
	}
}

// crash ends the host's process. Some of its queued operations may have reached
// the disk without a confirmation.
func (c *cluster) crash(h *host) {
	c.counts["crashes"]++
	c.note("%d crashes with %d operations under way", h.id, len(h.operations))
	for _, op := range h.operations {
		if c.rng.IntN(2) == 0 {
			if len(op.entries) > 0 && op.snapshot == nil {
				h.persist(op, c.rng.IntN(len(op.entries)))
			}
			break
		}
		h.persist(op, len(op.entries))
	}
	h.r, h.operations, h.diskHangsUntil = nil, nil, 0
}

// sendMessage puts a message on the network, which may lose, repeat or delay it.
func (c *cluster) sendMessage(m modeler.PeerMessage) {
	c.checkVote(m)
	if c.now < c.cutUntil[link{m.From, m.To}] || c.rng.Float64() < c.drop {
		return
	}
	queue := c.transmit(m)
	copies := 1
	if c.rng.Float64() < c.repeat {
		copies = 2
	}
	for range copies {
		wait := time.Duration(c.rng.Int64N(int64(2 * time.Millisecond)))
		if c.rng.Float64() < c.delay {
			wait = time.Duration(c.rng.Int64N(int64(3 * time.Second)))
		}
		c.inFlight = append(c.inFlight, packet{c.now + queue + wait, m})
	}
}

// transmit returns the time until the link has sent the message, including the
// messages queued before it.
func (c *cluster) transmit(m modeler.PeerMessage) time.Duration {
	if m.Snapshot != nil {
		c.counts["snapshot bytes"] += len(m.Snapshot.Data)
	}
	if c.bandwidth == 0 {
		return 0
	}
	size := 100
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	l := link{m.From, m.To}
	c.linkFreeAt[l] = max(c.linkFreeAt[l], c.now) + time.Duration(float64(size)/c.bandwidth*float64(time.Second))
	return c.linkFreeAt[l] - c.now
}

// checkVote requires that the term and the vote in a message are on the sender's
// disk, and that a member votes for only one candidate per term.
func (c *cluster) checkVote(m modeler.PeerMessage) {
	saved := c.hosts[m.From-1].disk.HardState
	if saved.Term < m.Term && m.Kind != modeler.PreVote && m.Kind != modeler.PreVoteAnswer {
		c.fail("synced terms: member %d sends term %d with term %d on its disk", m.From, m.Term, saved.Term)
	}
	if m.Transfer && !c.toldToStand[memberTerm{m.From, m.Term}] {
		c.toldToStand[memberTerm{m.From, m.Term}] = true
		c.counts["candidates told"]++
	}
	if m.FormerLeader && c.leaders[m.Term-1] != m.From {
		c.fail("former leaders: member %d claims to have led in term %d", m.From, m.Term-1)
	}
	if m.FormerLeader && m.Kind == modeler.Vote {
		c.counts["former leaders stand"]++
	}
	candidate := m.From
	switch {
	case m.Kind == modeler.VoteAnswer && m.Granted:
		candidate = m.To
	case m.Kind != modeler.Vote:
		return
	}
	vote := memberTerm{m.From, m.Term}
	if known, ok := c.votes[vote]; ok && known != candidate {
		c.fail("one vote per term: member %d votes for %d and %d in term %d", m.From, known, candidate, m.Term)
	}
	c.votes[vote] = candidate
	if saved.Term == m.Term && saved.Vote != candidate {
		c.fail("synced votes: member %d votes for %d in term %d with %d on its disk", m.From, candidate, m.Term, saved.Vote)
	}
}

// step advances the true time, delivers the messages that are due, and lets
// every running member tick and carry out operations.
func (c *cluster) step(pass time.Duration) {
	c.now += pass
	due := c.inFlight[:0:0]
	rest := c.inFlight[:0]
	for _, p := range c.inFlight {
		if p.at <= c.now && c.now >= c.hosts[p.m.To-1].pausedUntil {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	c.inFlight = rest
	if c.delay > 0 {
		c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, p := range due {
		h := c.hosts[p.m.To-1]
		if !c.isRunning(h) {
			continue
		}
		h.r.Step(c.reading(h), p.m)
		c.processOutput(h)
		c.checkLease()
	}
	for _, h := range c.hosts {
		if !c.isRunning(h) {
			continue
		}
		if now := c.reading(h); !c.ticksWhenDue || now >= h.r.Due() {
			h.r.Tick(now)
		}
		c.processOutput(h)
		c.runOperations(h)
	}
	c.checkLease()
}

// checkLease requires that at most one member holds a valid lease, and that the
// holder knows of every committed entry. Paused members count as well: on waking
// they could act on a lease that looks valid.
func (c *cluster) checkLease() {
	leaseHolder := c.leaseHolder()
	if leaseHolder == nil {
		return
	}
	c.counts["leases"]++
	for _, h := range c.hosts {
		if h != leaseHolder && h.r != nil && h.r.LeaseValid(c.reading(h)) {
			c.fail("one lease: members %d and %d hold one, in terms %d and %d", leaseHolder.id, h.id,
				leaseHolder.r.Status().Term, h.r.Status().Term)
		}
	}
	newest := initialIndex + modeler.Index(len(c.committed))
	if commit := leaseHolder.r.Status().Commit; commit < newest {
		c.fail("acknowledged entries: member %d holds the lease at commit %d, %d was committed", leaseHolder.id, commit, newest)
	}
}

func (c *cluster) leaseHolder() *host {
	for _, h := range c.hosts {
		if h.r != nil && h.r.LeaseValid(c.reading(h)) {
			return h
		}
	}
	return nil
}

// The directions in which the links of a host can be cut.
const (
	cutOutgoing = 1
	cutIncoming = 2
	cutBoth     = cutOutgoing | cutIncoming
)

func (c *cluster) cutOff(h *host, way int, span time.Duration) {
	for _, other := range c.hosts {
		if way&cutOutgoing != 0 {
			c.cutUntil[link{h.id, other.id}] = c.now + span
		}
		if way&cutIncoming != 0 {
			c.cutUntil[link{other.id, h.id}] = c.now + span
		}
	}
}

// propose lets a member propose entries. It returns an error when the member
// doesn't lead.
func (c *cluster) propose(h *host, count int) (modeler.Index, error) {
	var data [][]byte
	for range count {
		c.proposed++
		data = append(data, binary.BigEndian.AppendUint64(nil, c.proposed))
	}
	first, _, err := h.r.Propose(c.reading(h), data...)
	c.processOutput(h)
	return first, err
}

// transfer asks a leader to transfer its leadership.
func (c *cluster) transfer(h *host, to modeler.MemberID) error {
	err := h.r.Transfer(c.reading(h), to)
	if err == nil {
		c.counts["transfers"]++
		c.note("%d transfers its leadership to %d", h.id, to)
	}
	c.processOutput(h)
	return err
}

// compact queues a snapshot of the member's state, which the storage saves and
// the member compacts its log with.
func (c *cluster) compact(h *host) {
	if h.applied <= initialIndex {
		return
	}
	c.counts["snapshots"]++
	h.operations = append(h.operations, operation{compact: &modeler.Snapshot{
		Index:      h.applied,
		Term:       h.appliedTerm,
		Membership: h.r.MembershipAt(h.applied),
		Data:       append(encodeDigest(h.digest), make([]byte, c.padding)...),
	}})
}

// runUntil runs steps without new faults until the condition holds. It fails the
// test after limit.
func (c *cluster) runUntil(limit time.Duration, what string, done func() bool) {
	c.t.Helper()
	for end := c.now + limit; !done(); {
		if c.now >= end {
			c.fail("liveness: no %s within %s", what, limit)
		}
		if c.failure != "" {
			c.report()
		}
		c.step(time.Duration(c.rng.Int64N(int64(4 * time.Millisecond))))
	}
}

func (c *cluster) report() {
	c.t.Helper()
	for _, line := range c.trace {
		c.t.Log(line)
	}
	for _, h := range c.hosts {
		if h.r != nil {
			c.t.Logf("member %d: %+v", h.id, h.r.Status())
		}
	}
	c.t.Fatal(c.failure)
}
