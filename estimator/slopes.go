package estimator

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"goldcreststack.example/goldcreststack/router"
	"goldcreststack.example/goldcreststack/supervisor"
)

// The names of slopes, by which the sums look them up.
const (
	stateTask            = "replicated state: running task in a job of its own"
	stateRecord          = "replicated state: at-most-once record without its answer"
	stateAnswer          = "replicated state: at-most-once record with an answer of 1 KB"
	stateTicket          = "replicated state: ticket in the history"
	applyTask            = "state machine: submission, placement and end of a task"
	applyClaim           = "state machine: claim and settlement of a key"
	snapshotTask         = "snapshot: encoding a running task"
	snapshotCopy         = "snapshot: copying a running task on the core goroutine"
	snapshotMemory       = "snapshot: copied and encoded running task"
	logTask              = "log: submission, placement and end of a task"
	logClaim             = "log: claim and settlement with an answer of 1 KB"
	logTicket            = "log: ticket with one service"
	lendWorker           = "allocator: worker with its slots"
	learnWorker          = "allocator: first heartbeat of a worker at a new leader"
	lendHeartbeat        = "allocator: heartbeat of a worker"
	superviseTask        = "supervisor: running task"
	superviseHeartbeat   = "supervisor: heartbeat of a worker with its tasks"
	placeTask            = "placer: running task, with its share of the worker"
	placeHeartbeat       = "placer: heartbeat of a worker with its tasks"
	placeDecision        = "placer: submission, decision and end of a task"
	codecEntry           = "codec: heartbeat read as JSON and passed on as CBOR, on an entry host"
	codecLeader          = "codec: heartbeat read as CBOR and answered, on the leader"
	wireHeartbeat        = "worker to entry host: heartbeat and answer with HTTP headers"
	wireBatchedHeartbeat = "entry host to leader: heartbeat and answer in a batch"
	wireConfig           = "leader to entry host: configuration"
	wireRenew            = "entry host and leader: renewal and grant without change"
	routeRequest         = "router: waiting request"
	headerBytes          = 350 // request and answer headers of a heartbeat over HTTP/1.1
	batchSize            = 256
	answerBytes          = 1024
	slopeRatio           = 8
	tasksPerWorker       = 3
	historyTickets       = 2_000
	measuredClaims       = 4_000
	measuredRecords      = 40_000
	measuredWaiting      = 4_000
)

// Slopes measures each slope at an eighth of the size and at the full size. It
// panics if the measured code reports an error.
func Slopes(s Size) []Slope {
	var out []Slope
	add := func(name, per string, unit Unit, n int, measure func(n int) float64) {
		low := max(n/slopeRatio, 1)
		out = append(out, Slope{Name: name, Per: per, Unit: unit, From: low, To: n, Low: measure(low), High: measure(n)})
	}
	add(stateTask, "task", Memory, s.Tasks, func(n int) float64 {
		return memoryPerItem(n, func() any { return taskState(n) })
	})
	add(stateRecord, "record", Memory, measuredRecords, func(n int) float64 {
		return memoryPerItem(n, func() any { return claimState(n) })
	})
	add(stateAnswer, "record", Memory, measuredClaims, func(n int) float64 {
		return memoryPerItem(n, func() any { return recordState(n) })
	})
	add(stateTicket, "ticket", Memory, historyTickets, func(n int) float64 {
		return memoryPerItem(n, func() any { return ticketState(n) })
	})
	add(applyTask, "task", Time, s.Tasks, applyTime)
	add(applyClaim, "request", Time, measuredClaims, claimTime)
	add(snapshotTask, "task", Time, s.Tasks, snapshotTime)
	add(snapshotCopy, "task", Time, s.Tasks, snapshotCopyTime)
	add(snapshotMemory, "task", Memory, s.Tasks, snapshotBytes)
	add(logTask, "task", WireBytes, 1, func(int) float64 { return taskLogBytes() })
	add(logClaim, "request", WireBytes, 1, func(int) float64 { return claimLogBytes() })
	add(logTicket, "ticket", WireBytes, 1, func(int) float64 { return ticketLogBytes() })
	add(lendWorker, "worker", Memory, s.Workers, func(n int) float64 {
		return memoryPerItem(n, func() any { return allocatorWithWorkers(n) })
	})
	add(learnWorker, "worker", Time, s.Workers, func(n int) float64 {
		start := time.Now()
		allocatorWithWorkers(n)
		return float64(time.Since(start)) / float64(n)
	})
	add(lendHeartbeat, "heartbeat", Time, s.Workers, allocatorHeartbeatTime)
	add(superviseTask, "task", Memory, s.Tasks, func(n int) float64 {
		return memoryPerItem(n, func() any { return supervisorWithTasks(n, n/tasksPerWorker+1) })
	})
	add(superviseHeartbeat, "heartbeat", Time, s.Workers, supervisorHeartbeatTime)
	add(placeTask, "task", Memory, s.Tasks, func(n int) float64 {
		return memoryPerItem(n, func() any { p, _ := placerWithTasks(n, n/tasksPerWorker+1); return p })
	})
	add(placeHeartbeat, "heartbeat", Time, s.Workers, placerHeartbeatTime)
	add(placeDecision, "task", Time, s.Workers, decisionTime)
	add(codecEntry, "heartbeat", Time, batchSize, entryCodecTime)
	add(codecLeader, "heartbeat", Time, batchSize, leaderCodecTime)
	add(wireHeartbeat, "heartbeat", WireBytes, 1, func(int) float64 { return workerWireBytes() })
	add(wireBatchedHeartbeat, "heartbeat", WireBytes, batchSize, batchWireBytes)
	add(wireConfig, "service and team", WireBytes, s.Services, configWireBytes)
	add(wireRenew, "renewal", WireBytes, 1, func(int) float64 { return renewWireBytes() })
	add(routeRequest, "request", Memory, measuredWaiting, func(n int) float64 {
		return memoryPerItem(n, func() any { return waitingRouter(n) })
	})
	return out
}

// applyCommand applies a command at the index after *index and advances *index.
func applyCommand(a *applier.Applier, index *modeler.Index, c *modeler.Command) modeler.Result {
	*index++
	return a.Apply(*index, c)
}

func newKey() modeler.Key {
	id, err := uuid.NewV7()
	if err != nil {
		panic("estimator: can't generate a UUID for a key: " + err.Error())
	}
	return modeler.Key(id.String())
}

func newApplier(index *modeler.Index) *applier.Applier {
	a := applier.New()
	ticket := &modeler.Ticket{Number: 1, Teams: []modeler.Team{team(0)}, Services: []modeler.Service{service(0)}}
	applyCommand(a, index, &modeler.Command{Kind: modeler.ApplyTicket, At: modeler.TimestampOf(time.Now()), Ticket: ticket})
	session := modeler.EntrySession{Entry: "entry-1", Incarnation: 1}
	applyCommand(a, index, &modeler.Command{Kind: modeler.RegisterEntry, Session: &session})
	return a
}

// taskState returns a state machine with n running tasks of single-task jobs.
func taskState(n int) *applier.Applier {
	index := modeler.Index(0)
	a := newApplier(&index)
	ticket := &modeler.Ticket{Number: 2}
	for i := range n {
		ticket.Jobs = append(ticket.Jobs, job(i))
	}
	applyCommand(a, &index, &modeler.Command{Kind: modeler.ApplyTicket, Ticket: ticket})
	for _, p := range placements(n, n/tasksPerWorker+1) {
		p.Attempt = modeler.Attempt(index + 1)
		applyCommand(a, &index, &modeler.Command{Kind: modeler.PlaceTasks, Place: []modeler.Placement{p}})
	}
	a.TakeChanges()
	return a
}

func claimAndSettle(a *applier.Applier, index *modeler.Index) {
	claim := newClaim()
	applyCommand(a, index, &modeler.Command{Kind: modeler.ClaimKey, Claim: claim})
	applyCommand(a, index, &modeler.Command{Kind: modeler.SettleKey, Settle: newSettlement(claim)})
}

func newClaim() *modeler.Claim {
	return &modeler.Claim{
		Service: "service-000", Key: newKey(), Fingerprint: 1 << 60,
		Entry: "entry-1", Incarnation: 1, Request: 1,
	}
}

func newSettlement(c *modeler.Claim) *modeler.Settlement {
	return &modeler.Settlement{
		Service: c.Service, Key: c.Key, Entry: c.Entry, Incarnation: c.Incarnation, Request: c.Request, Outcome: 2,
		Answer: modeler.RecordedAnswer{Status: 200, Body: make([]byte, answerBytes)},
	}
}

func claimState(n int) *applier.Applier {
	index := modeler.Index(0)
	a := newApplier(&index)
	for range n {
		applyCommand(a, &index, &modeler.Command{Kind: modeler.ClaimKey, Claim: newClaim()})
	}
	return a
}

func recordState(n int) *applier.Applier {
	index := modeler.Index(0)
	a := newApplier(&index)
	for range n {
		claimAndSettle(a, &index)
	}
	return a
}

func ticketState(n int) *applier.Applier {
	index := modeler.Index(0)
	a := newApplier(&index)
	for i := range n {
		ticket := &modeler.Ticket{Number: modeler.TicketNumber(i + 2), Services: []modeler.Service{service(0)}}
		applyCommand(a, &index, &modeler.Command{Kind: modeler.ApplyTicket, Ticket: ticket})
	}
	a.TakeChanges()
	return a
}

func applyTime(n int) float64 {
	a := taskState(n)
	index := a.Applied()
	return timePerCall(func(i int) {
		if i%10_000 == 9_999 {
			// A command with a later time makes the state machine drop ended
			// jobs, which it expires by the time in the log.
			applyCommand(a, &index, &modeler.Command{Kind: modeler.EndSession, At: a.Now().Add(25 * time.Hour), Session: &modeler.EntrySession{}})
		}
		id := n + i
		place := &modeler.Submission{Key: keyAt(a.Now(), i), Job: job(id)}
		applyCommand(a, &index, &modeler.Command{Kind: modeler.SubmitJob, Submit: place})
		p := modeler.Placement{Task: modeler.TaskID{Job: jobID(id)}, Attempt: modeler.Attempt(index + 1), Worker: "w", Generation: 1}
		applyCommand(a, &index, &modeler.Command{Kind: modeler.PlaceTasks, Place: []modeler.Placement{p}})
		end := modeler.TaskEnd{Task: p.Task, Attempt: p.Attempt, State: modeler.TaskDone}
		applyCommand(a, &index, &modeler.Command{Kind: modeler.EndTasks, TaskEnds: []modeler.TaskEnd{end}})
		a.TakeChanges()
	})
}

// keyAt returns a key (UUID version 7) with the given timestamp.
func keyAt(at modeler.Timestamp, i int) modeler.Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 12: byte(i >> 24), 13: byte(i >> 16), 14: byte(i >> 8), 15: byte(i)}
	for b := range 6 {
		id[b] = byte(int64(at) >> (40 - 8*b))
	}
	return modeler.Key(id.String())
}

func claimTime(n int) float64 {
	a := recordState(n)
	index := a.Applied()
	return timePerCall(func(i int) {
		if i%10_000 == 9_999 {
			applyCommand(a, &index, &modeler.Command{Kind: modeler.EndSession, At: a.Now().Add(25 * time.Hour), Session: &modeler.EntrySession{}})
		}
		claim := newClaim()
		claim.Key = keyAt(a.Now(), i)
		applyCommand(a, &index, &modeler.Command{Kind: modeler.ClaimKey, Claim: claim})
		applyCommand(a, &index, &modeler.Command{Kind: modeler.SettleKey, Settle: newSettlement(claim)})
	})
}

func snapshotTime(n int) float64 {
	a := taskState(n)
	start := time.Now()
	if _, err := a.Save(); err != nil {
		panic("estimator: can't encode a snapshot: " + err.Error())
	}
	return float64(time.Since(start)) / float64(n)
}

// snapshotCopyTime returns the longest time per task of 10 copies, in
// nanoseconds. The core goroutine handles nothing else during a copy.
func snapshotCopyTime(n int) float64 {
	a := taskState(n)
	longest := time.Duration(0)
	for range 10 {
		start := time.Now()
		runtime.KeepAlive(a.Copy())
		longest = max(longest, time.Since(start))
	}
	return float64(longest) / float64(n)
}

// snapshotBytes returns the memory per task of a copy of the state and of its
// encoded data, in bytes.
func snapshotBytes(n int) float64 {
	a := taskState(n)
	return memoryPerItem(n, func() any {
		state := a.Copy()
		data, err := state.Encode()
		if err != nil {
			panic("estimator: can't encode a snapshot: " + err.Error())
		}
		return []any{a, state, data}
	})
}

func taskLogBytes() float64 {
	p := placements(1, 1)[0]
	return logBytes(
		&modeler.Command{Kind: modeler.SubmitJob, At: 1 << 40, Submit: &modeler.Submission{Key: newKey(), Job: job(0)}},
		&modeler.Command{Kind: modeler.PlaceTasks, At: 1 << 40, Place: []modeler.Placement{p}},
		&modeler.Command{Kind: modeler.EndTasks, At: 1 << 40, TaskEnds: []modeler.TaskEnd{{Task: p.Task, Attempt: p.Attempt, State: modeler.TaskDone}}},
	)
}

func claimLogBytes() float64 {
	claim := newClaim()
	return logBytes(
		&modeler.Command{Kind: modeler.ClaimKey, At: 1 << 40, Claim: claim},
		&modeler.Command{Kind: modeler.SettleKey, At: 1 << 40, Settle: newSettlement(claim)},
	)
}

func ticketLogBytes() float64 {
	ticket := &modeler.Ticket{Number: 1, Services: []modeler.Service{service(0)}}
	return logBytes(&modeler.Command{Kind: modeler.ApplyTicket, At: 1 << 40, Ticket: ticket})
}

func logBytes(commands ...*modeler.Command) float64 {
	total := 0
	for _, c := range commands {
		total += len(applier.Encode(c))
	}
	return float64(total)
}

// allocatorWithWorkers returns the allocator of a leader that holds its lease
// and has had a heartbeat of each of n workers.
func allocatorWithWorkers(n int) *allocator.Allocator {
	a := allocator.New(allocator.Options{})
	a.Lead(0, 1, nil)
	a.SetLeaseEnd(modeler.ClockReading(time.Hour))
	for i := range n {
		b := heartbeat(i, 1, nil)
		a.Heartbeat(0, &b)
	}
	return a
}

func allocatorHeartbeatTime(n int) float64 {
	a := allocatorWithWorkers(n)
	inputs := heartbeats(n, nil)
	return timePerCall(func(i int) {
		b := &inputs[i%n]
		b.Clock += modeler.ClockReading(time.Second)
		a.Heartbeat(modeler.ClockReading(i/n)*modeler.ClockReading(time.Second), b)
	})
}

func heartbeats(n int, tasks [][]modeler.TaskReport) []modeler.Heartbeat {
	out := make([]modeler.Heartbeat, n)
	for i := range out {
		var list []modeler.TaskReport
		if tasks != nil {
			list = tasks[i]
		}
		out[i] = heartbeat(i, 1, list)
	}
	return out
}

// supervisorWithTasks returns a supervisor with n running tasks.
func supervisorWithTasks(n, workers int) *supervisor.Supervisor {
	s := supervisor.New(0, 1)
	list := placements(n, workers)
	spec := job(0)
	for _, b := range heartbeats(workers, nil) {
		s.Heartbeat(0, &b)
	}
	for _, p := range list {
		s.AddPlacement(0, p, &spec)
	}
	s.TakeOutput()
	return s
}

func supervisorHeartbeatTime(workers int) float64 {
	tasks := workers * tasksPerWorker
	s := supervisorWithTasks(tasks, workers)
	inputs := heartbeats(workers, taskReports(placements(tasks, workers), workers))
	return timePerCall(func(i int) {
		b := &inputs[i%workers]
		b.Clock += modeler.ClockReading(time.Second)
		s.Heartbeat(modeler.ClockReading(i/workers)*modeler.ClockReading(time.Second), b)
	})
}

// placerWithTasks returns a placer with n running tasks, and the clock reading
// at which they were restored.
func placerWithTasks(n, workers int) (*placer.Placer, modeler.ClockReading) {
	p := placer.New(placer.Settings{})
	now := modeler.ClockReading(time.Second)
	p.SetTeam(now, team(0))
	for _, b := range heartbeats(workers, nil) {
		p.SetWorker(now, placer.DescribeWorker(b))
	}
	for i, place := range placements(n, workers) {
		p.Restore(now, job(i), []placer.TaskRecord{{
			Attempt: place.Attempt, Worker: place.Worker, Generation: place.Generation,
		}})
	}
	return p, now
}

func placerHeartbeatTime(workers int) float64 {
	tasks := workers * tasksPerWorker
	p, now := placerWithTasks(tasks, workers)
	list := taskReports(placements(tasks, workers), workers)
	inputs := heartbeats(workers, list)
	return timePerCall(func(i int) {
		b := &inputs[i%workers]
		at := now.Add(time.Duration(i/workers) * time.Second)
		p.SetWorker(at, placer.DescribeWorker(*b))
		p.Usage(at, b.Worker, b.Generation, b.Tasks)
	})
}

func decisionTime(workers int) float64 {
	p, now := placerWithTasks(workers*tasksPerWorker, workers)
	next := workers * tasksPerWorker
	return timePerCall(func(int) {
		now = now.Add(time.Millisecond)
		p.Submit(now, job(next))
		next++
		for _, d := range p.Decide(now, batchSize) {
			if d.Verb == modeler.StartTask {
				p.EndAttempt(now, modeler.TaskEnd{Task: d.Placement.Task, Attempt: d.Placement.Attempt, State: modeler.TaskDone})
			}
		}
	})
}

func entryCodecTime(n int) float64 {
	documents := make([][]byte, n)
	for i := range documents {
		documents[i] = encodeJSON(heartbeatWithTasks(i))
	}
	each := timePerCall(func(i int) {
		var b modeler.Heartbeat
		if err := json.Unmarshal(documents[i%n], &b); err != nil {
			panic("estimator: can't decode a JSON heartbeat: " + err.Error())
		}
	})
	m := heartbeatBatch(n)
	whole := timePerCall(func(int) { encodeCBOR(m) })
	return each + whole/float64(n)
}

func leaderCodecTime(n int) float64 {
	data := encodeCBOR(heartbeatBatch(n))
	answers := heartbeatAnswers(n)
	return timePerCall(func(int) {
		var m modeler.Message
		if err := cbor.Unmarshal(data, &m); err != nil {
			panic("estimator: can't decode a CBOR heartbeat batch: " + err.Error())
		}
		encodeCBOR(answers)
	}) / float64(n)
}

// heartbeatWithTasks returns a heartbeat of worker i that runs tasksPerWorker
// tasks.
func heartbeatWithTasks(i int) *modeler.Heartbeat {
	b := heartbeat(i, 1<<50, taskReports(placements(tasksPerWorker, 1), 1)[0])
	return &b
}

func heartbeatBatch(n int) *modeler.Message {
	m := &modeler.Message{Kind: modeler.HeartbeatsMessage, Sequence: 1}
	for i := range n {
		m.Heartbeats = append(m.Heartbeats, *heartbeatWithTasks(i))
	}
	return m
}

func heartbeatAnswer(i int) modeler.HeartbeatAnswer {
	answer := modeler.HeartbeatAnswer{Worker: workerID(i)}
	for _, p := range placements(tasksPerWorker, 1) {
		answer.Leases = append(answer.Leases, modeler.TaskLease{Task: p.Task, Attempt: p.Attempt, Term: 7, Until: 1 << 50})
	}
	return answer
}

func heartbeatAnswers(n int) *modeler.Message {
	m := &modeler.Message{Kind: modeler.HeartbeatAnswersMessage, Sequence: 1}
	for i := range n {
		m.Answers = append(m.Answers, heartbeatAnswer(i))
	}
	return m
}

func encodeCBOR(content any) []byte {
	data, err := cbor.Marshal(content)
	if err != nil {
		panic("estimator: can't encode CBOR: " + err.Error())
	}
	return data
}

func encodeJSON(content any) []byte {
	data, err := json.Marshal(content)
	if err != nil {
		panic("estimator: can't encode JSON: " + err.Error())
	}
	return data
}

func workerWireBytes() float64 {
	return float64(len(encodeJSON(heartbeatWithTasks(1))) + len(encodeJSON(heartbeatAnswer(1))) + headerBytes)
}

func batchWireBytes(n int) float64 {
	return float64(len(encodeCBOR(heartbeatBatch(n)))+len(encodeCBOR(heartbeatAnswers(n)))) / float64(n)
}

func configWireBytes(n int) float64 {
	c := &modeler.Configuration{Version: 1, Ticket: 1}
	for i := range n {
		c.Services = append(c.Services, service(i))
		c.Teams = append(c.Teams, team(i))
	}
	m := &modeler.Message{Kind: modeler.ConfigurationMessage, Configuration: c}
	return float64(len(encodeCBOR(m))) / float64(n)
}

func renewWireBytes() float64 {
	renew := &modeler.Message{Kind: modeler.RenewMessage, Renew: &modeler.SessionRenewal{
		Entry: "entry-1", Incarnation: 1 << 60, Term: 7, Clock: 1 << 50, Version: 1 << 20, Session: 1 << 50, Round: 1 << 20,
		Demands: []modeler.SlotDemand{{Service: "breakfast-register", Idle: 2, Spare: 2}},
	}}
	grant := &modeler.Message{Kind: modeler.GrantMessage, Grant: &modeler.Grant{
		Term: 7, Clock: 1 << 50, Lifetime: 3 * time.Second, Version: 1 << 20, Session: 1 << 50, Round: 1 << 20,
	}}
	return float64(len(encodeCBOR(renew)) + len(encodeCBOR(grant)))
}

func waitingRouter(n int) *router.Router {
	r := router.New("entry-1", 1, router.Options{CallerQueueDivisor: 1})
	s := service(0)
	s.Queue = n + 1
	r.Configure(0, &modeler.Configuration{Version: 1, Services: []modeler.Service{s}, Teams: []modeler.Team{team(0)}})
	r.Lead(0, 1)
	renew := r.Take().Renew
	r.Grant(0, &modeler.Grant{
		Term: 1, Clock: renew.Clock, Lifetime: time.Hour, Version: 1, Session: renew.Session, Round: 1,
	})
	for i := range n {
		r.Arrive(1, router.Request{ID: router.RequestID(i + 1), Service: s.Name, Team: s.Team, Caller: router.Caller(fmt.Sprint(i % 100))})
	}
	r.Take()
	return r
}
