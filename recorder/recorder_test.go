package recorder_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/recorder"
)

// keyAt returns a UUIDv7 with the given timestamp and last byte.
func keyAt(at modeler.Timestamp, tail byte) modeler.Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: tail}
	for i := range 6 {
		id[i] = byte(int64(at) >> (40 - 8*i))
	}
	return modeler.Key(id.String())
}

const start modeler.Timestamp = 1_790_000_000_000

// TestKeyIsGivenOnce guards against a request that runs twice. In random
// histories of claims, repeats through other entry hosts, restarts, snapshots,
// settlements and passing time, a key may be given to a second claimant only
// after the first is settled as not run.
func TestKeyIsGivenOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := recorder.New(recorder.Limits{MaxRecords: 50})
		now := start
		incarnations := map[modeler.EntryID]modeler.Incarnation{"a": 1, "b": 1}
		for entry, incarnation := range incarnations {
			r.Register(modeler.EntrySession{Entry: entry, Incarnation: incarnation})
		}
		claims := make(map[modeler.Key]*modeler.Claim)
		request := modeler.Sequence(0)
		steps := rapid.IntRange(1, 80).Draw(rt, "steps")
		for range steps {
			key := keyAt(start.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "hour"))*time.Hour), 1)
			entry := rapid.SampledFrom([]modeler.EntryID{"a", "b"}).Draw(rt, "entry")
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				request++
				c := &modeler.Claim{Service: "s", Key: key, Entry: entry, Incarnation: incarnations[entry], Request: request}
				if r.Claim(now, c).Kind == classifier.None {
					assert.Assert(rt, claims[key] == nil, "key %s was given twice", key)
					claims[key] = c
				}
			case 2:
				incarnations[entry]++
				r.Register(modeler.EntrySession{Entry: entry, Incarnation: incarnations[entry]})
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "pass")) * time.Hour)
				r.Expire(now)
				saved := r.Save()
				r = recorder.New(recorder.Limits{MaxRecords: 50})
				r.Load(saved)
			case 4:
				c := claims[key]
				if c == nil {
					continue
				}
				outcome := rapid.SampledFrom([]classifier.Outcome{classifier.OutcomeRun, classifier.OutcomeNotRun}).Draw(rt, "outcome")
				s := &modeler.Settlement{Service: "s", Key: key, Entry: c.Entry, Incarnation: c.Incarnation, Request: c.Request, Outcome: outcome}
				if r.Settle(s) == (modeler.Result{}) && outcome == classifier.OutcomeNotRun {
					delete(claims, key)
				}
			}
		}
	})
}

// TestRepeatedClaim guards against wrong results for a repeated claim: whether
// the first claimant still runs, has ended or was settled, and whether the key
// was reused, has expired or is invalid.
func TestRepeatedClaim(t *testing.T) {
	r := recorder.New(recorder.Limits{MaxRecords: 2})
	r.Register(modeler.EntrySession{Entry: "a", Incarnation: 1})
	key := keyAt(start, 1)
	claim := &modeler.Claim{Service: "s", Key: key, Fingerprint: 5, Entry: "a", Incarnation: 1, Request: 1}
	assert.Equal(t, r.Claim(start, claim).Kind, classifier.None)
	assert.Equal(t, r.Claim(start, claim).Kind, classifier.None, "a claim repeated by the claimant itself")

	repeat := *claim
	repeat.Request = 2
	got := r.Claim(start, &repeat)
	assert.Equal(t, got.Kind, classifier.Claimed)
	assert.Assert(t, !got.Record.Settled && !got.Record.Abandoned)

	r.Register(modeler.EntrySession{Entry: "a", Incarnation: 2})
	got = r.Claim(start, &repeat)
	assert.Assert(t, got.Record.Abandoned, "the claimant's process has ended")

	settle := &modeler.Settlement{Service: "s", Key: key, Entry: "a", Incarnation: 1, Request: 1, Outcome: classifier.OutcomeRun, Answer: modeler.RecordedAnswer{Status: 201, Body: []byte("cut")}}
	assert.Equal(t, r.Settle(settle).Kind, classifier.None)
	got = r.Claim(start, &repeat)
	assert.Equal(t, string(got.Record.Answer.Body), "cut")

	other := repeat
	other.Fingerprint = 6
	assert.Equal(t, r.Claim(start, &other).Kind, classifier.KeyReused)

	late := start.Add(recorder.Window)
	r.Expire(late)
	assert.Equal(t, r.Len(), 0)
	assert.Equal(t, r.Claim(late, &repeat).Kind, classifier.KeyExpired)

	old := *claim
	old.Key = keyAt(late, 2)
	assert.Equal(t, r.Claim(late, &old).Kind, classifier.Unconfirmed, "a claim of an earlier incarnation")
	future := repeat
	future.Key = keyAt(late.Add(time.Hour), 3)
	assert.Equal(t, r.Claim(late, &future).Kind, classifier.KeyInvalid)
	for _, invalid := range []modeler.Key{"", "order-7", modeler.Key(uuid.NewString()), "0190B5F0-0000-7000-8000-000000000001"} {
		_, err := recorder.CreatedAt(invalid)
		assert.Equal(t, classifier.KindOf(err), classifier.KeyInvalid)
	}
}

// TestFullTableRefuses guards against a table that grows beyond Limits.MaxRecords.
func TestFullTableRefuses(t *testing.T) {
	r := recorder.New(recorder.Limits{MaxRecords: 1})
	r.Register(modeler.EntrySession{Entry: "a", Incarnation: 1})
	for i, want := range []classifier.Kind{classifier.None, classifier.StorageFull} {
		c := &modeler.Claim{Service: "s", Key: keyAt(start, byte(i)), Entry: "a", Incarnation: 1, Request: modeler.Sequence(i)}
		assert.Equal(t, r.Claim(start, c).Kind, want)
	}
}

func claimOf(service modeler.ServiceName, caller modeler.CallerHash, number int) *modeler.Claim {
	id := uuid.MustParse(string(keyAt(start, 0)))
	id[13], id[14], id[15] = byte(number>>16), byte(number>>8), byte(number)
	return &modeler.Claim{
		Service: service, Key: modeler.Key(id.String()), Entry: "a", Incarnation: 1,
		Request: modeler.Sequence(number), Caller: caller,
	}
}

// TestOneCallerCannotFillTable guards against a caller or service that claims
// keys in a loop and fills the table, so that no requests of others run until
// its keys expire a day later.
func TestOneCallerCannotFillTable(t *testing.T) {
	const limit = 3000
	r := recorder.New(recorder.Limits{MaxRecords: limit})
	r.Register(modeler.EntrySession{Entry: "a", Incarnation: 1})
	number := 0
	fill := func(service modeler.ServiceName, caller modeler.CallerHash) int {
		for taken := 0; ; taken++ {
			number++
			c := claimOf(service, caller, number)
			peeked, _ := r.Peek(start, c)
			result := r.Claim(start, c)
			assert.Equal(t, peeked.Kind, result.Kind, "Peek on the leader must agree with Claim in the log")
			if result.Kind != classifier.None {
				assert.Equal(t, result.Kind, classifier.StorageFull)
				return taken
			}
		}
	}
	assert.Equal(t, fill("cuts", 1), limit/3)
	assert.Assert(t, fill("cuts", 2) >= limit/12, "a second caller of the service")
	assert.Assert(t, fill("headcount", 3) >= limit/12, "a caller of another service")
	assert.Assert(t, r.Len() < limit)
	r.Expire(start.Add(recorder.Window))
	assert.Equal(t, r.Len(), 0)
	late := claimOf("cuts", 1, 0)
	late.Key = keyAt(start.Add(recorder.Window), 1)
	assert.Equal(t, r.Claim(start.Add(recorder.Window), late).Kind, classifier.None, "expired records free the share")
}

// TestExpiryMakesRoom guards against a leader that refuses claims because the
// table is full although records have expired: expired records are dropped only
// by a log entry, which a refused claim never becomes.
func TestExpiryMakesRoom(t *testing.T) {
	r := recorder.New(recorder.Limits{MaxRecords: 1})
	r.Register(modeler.EntrySession{Entry: "a", Incarnation: 1})
	assert.Equal(t, r.Claim(start, claimOf("s", 1, 1)).Kind, classifier.None)
	late := start.Add(recorder.Window)
	next := claimOf("s", 1, 2)
	next.Key = keyAt(late, 2)
	_, settled := r.Peek(late, next)
	assert.Assert(t, !settled, "the claim must reach the log")
	assert.Equal(t, r.Claim(late, next).Kind, classifier.None)
}

// TestReleasedClaimsFreeMemory guards against memory that grows with claims
// settled as not run, which all claims are while no worker can be reached.
func TestReleasedClaimsFreeMemory(t *testing.T) {
	r := recorder.New(recorder.Limits{})
	r.Register(modeler.EntrySession{Entry: "a", Incarnation: 1})
	before := heapBytes()
	for i := range 100_000 {
		c := claimOf("s", 1, i)
		assert.Equal(t, r.Claim(start, c).Kind, classifier.None)
		release := &modeler.Settlement{Service: "s", Key: c.Key, Entry: "a", Incarnation: 1, Request: c.Request, Outcome: classifier.OutcomeNotRun}
		assert.Equal(t, r.Settle(release).Kind, classifier.None)
	}
	grown := int64(heapBytes()) - int64(before)
	assert.Assert(t, grown < 1<<20, "%d bytes are left of released claims", grown)
	assert.Equal(t, r.Len(), 0)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestAnswersAreBounded guards against recorded answers that exceed the memory
// limit by their headers or their number, and against a repeat that gets a wrong
// outcome after its answer was dropped for newer ones, also after a snapshot.
func TestAnswersAreBounded(t *testing.T) {
	r := recorder.New(recorder.Limits{MaxAnswerBytes: 10_000})
	r.Register(modeler.EntrySession{Entry: "a", Incarnation: 1})
	settle := func(number int, answer modeler.RecordedAnswer) {
		c := claimOf("s", 1, number)
		assert.Equal(t, r.Claim(start, c).Kind, classifier.None)
		s := &modeler.Settlement{Service: "s", Key: c.Key, Entry: "a", Incarnation: 1, Request: c.Request, Outcome: classifier.OutcomeRun, Answer: answer}
		assert.Equal(t, r.Settle(s).Kind, classifier.None)
	}
	repeat := func(number int) *modeler.RequestRecord {
		c := claimOf("s", 1, number)
		c.Request = 999
		got := r.Claim(start, c)
		assert.Equal(t, got.Kind, classifier.Claimed)
		assert.Assert(t, got.Record.Settled && got.Record.Outcome == classifier.OutcomeRun)
		return got.Record
	}
	settle(0, modeler.RecordedAnswer{Status: 200, Header: []modeler.HeaderField{{Name: "X", Value: strings.Repeat("x", recorder.MaxAnswerSize)}}})
	assert.Assert(t, repeat(0).Answer.Dropped)
	for i := 1; i <= 4; i++ {
		settle(i, modeler.RecordedAnswer{Status: 200, Body: make([]byte, 3000)})
	}
	saved := r.Save()
	r = recorder.New(recorder.Limits{MaxAnswerBytes: 10_000})
	r.Load(saved)
	settle(5, modeler.RecordedAnswer{Status: 200, Body: make([]byte, 3000)})
	for i := 1; i <= 5; i++ {
		kept := i >= 3
		assert.Equal(t, !repeat(i).Answer.Dropped, kept, "answer %d", i)
		assert.Equal(t, len(repeat(i).Answer.Body) > 0, kept)
	}
}
