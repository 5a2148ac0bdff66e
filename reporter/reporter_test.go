package reporter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
)

// Guards against log lines that lack a fixed field, show a secret, or are
// lost because a value can't be encoded as JSON.
func TestLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := reporter.New(reporter.Options{Role: "entry", Name: "e1", Out: &out, Level: reporter.Info})
		r.Debug("below the level")
		r.Info("started", reporter.FieldAddress, "192.0.2.1:80", reporter.FieldSpan, 1500*time.Millisecond)
		r.With(reporter.FieldMember, modeler.MemberID(3)).Warn("slow", "Authorization", "Bearer x", reporter.FieldError, errors.New("late"))
		r.Error("odd", "value", func() {})
		r.Error("odd count", "value")
		const fixed = `"name":"e1","role":"entry",`
		const clock = `"time":"2000-01-01T00:00:00Z"`
		assert.Equal(t, out.String(), strings.Join([]string{
			`{"address":"192.0.2.1:80","level":"info","message":"started",` + fixed + `"span":"1.5s",` + clock + "}",
			`{"Authorization":"redacted","error":"late","level":"warn","member":3,"message":"slow",` + fixed + clock + "}",
			`{"error":"the line's fields can't be shown: json: unsupported type: func()","level":"error","message":"odd",` + fixed + clock + "}",
			`{"level":"error","message":"odd count",` + fixed + clock + `,"value":"(MISSING)"}`,
			"",
		}, "\n"))
	})
}

// Guards against metrics that several roles of one process share by mistake,
// and against label values that break the Prometheus text format.
func TestMetricsOfSeveralRoles(t *testing.T) {
	entry := reporter.New(reporter.Options{Role: "entry", Name: `a"b`})
	control := reporter.New(reporter.Options{Role: "control", Name: "c"})
	entry.Counter("requests_total", reporter.Label{Name: "service", Value: "s\\\n"}).Add(2)
	control.Counter("requests_total").Inc()
	control.Gauge("term", func() float64 { return 7 })
	control.Histogram("sync_seconds").Update(0.5)
	control.Counter("gone_total").Inc()
	control.RemoveMetric("gone_total")
	var out bytes.Buffer
	reporter.WriteMetrics(&out, entry, control)
	for _, want := range []string{
		`goldcreststack_requests_total{role="entry",name="a\"b",service="s\\\n"} 2` + "\n",
		`goldcreststack_requests_total{role="control",name="c"} 1` + "\n",
		`goldcreststack_term{role="control",name="c"} 7` + "\n",
		`goldcreststack_sync_seconds_count{role="control",name="c"} 1` + "\n",
		"process_resident_memory_bytes ",
	} {
		assert.Assert(t, strings.Count(out.String(), want) == 1, "%s in\n%s", want, out.String())
	}
	assert.Assert(t, !strings.Contains(out.String(), "gone_total"))
}

// Guards against a process that takes work before every condition is met, or
// becomes ready again while it drains.
func TestReadiness(t *testing.T) {
	ready := reporter.New(reporter.Options{}).Readiness
	ready.Require("configuration", "leader")
	assert.Assert(t, !ready.Ready())
	ready.Set("configuration", true, "ignored when met")
	ready.Set("leader", false, "no link")
	assert.DeepEqual(t, ready.State(), reporter.ReadinessState{Conditions: []reporter.Condition{
		{Name: "configuration", Met: true}, {Name: "leader", Reason: "no link"},
	}})
	ready.Set("leader", true, "")
	assert.Assert(t, ready.Ready() && ready.State().Ready)
	ready.Drain()
	ready.Set("leader", true, "")
	assert.Assert(t, !ready.Ready() && ready.State().Draining)
}

type taskView struct {
	ID   string `json:"id"`
	Note string `json:"note"`
}

type workerView struct {
	ID    modeler.WorkerID `json:"id"`
	Tasks []taskView       `json:"tasks"`
}

type stateView struct {
	Version     modeler.Index                  `json:"version"`
	Workers     []workerView                   `json:"workers"`
	Limit       modeler.Duration               `json:"limit"`
	Key         modeler.Key                    `json:"key"`
	Answer      *modeler.RecordedAnswer        `json:"answer"`
	AccessToken string                         `json:"access"`
	Hidden      int                            `json:"secret"`
	Any         any                            `json:"any"`
	Names       map[string]string              `json:"names"`
	Empty       map[modeler.WorkerID]*taskView `json:"empty"`
}

// makeState returns a state with the given number of workers and of tasks
// per worker.
func makeState(workers, tasks int) stateView {
	v := stateView{
		Version: 9, Limit: modeler.Duration(time.Second), Key: "0190a5d2-7c3b-7a8e-8f10-0242ac120002",
		Answer: &modeler.RecordedAnswer{
			Status: 200, Body: []byte("what the caller got"),
			Header: []modeler.HeaderField{{Name: "Set-Cookie", Value: "session=1"}, {Name: "Age", Value: "5"}},
		},
		AccessToken: "hush", Hidden: 5, Any: taskView{ID: "boxed"}, Names: map[string]string{"password": "hush", "plain": "seen"},
	}
	for i := range workers {
		w := workerView{ID: modeler.WorkerID(fmt.Sprint("w", i))}
		for j := range tasks {
			w.Tasks = append(w.Tasks, taskView{ID: fmt.Sprint(j), Note: "runs"})
		}
		v.Workers = append(v.Workers, w)
	}
	return v
}

// Guards against a dump that contains secrets or data of callers, and
// against one that changes the state that it shows.
func TestDumpHidesSecrets(t *testing.T) {
	r := reporter.New(reporter.Options{Role: "entry", Name: "e1"})
	state := makeState(1, 1)
	r.AddSection("state", func() any { return &state })
	r.AddSection("nothing", func() any { return nil })
	var out bytes.Buffer
	assert.NilError(t, r.WriteDump(t.Context(), &out))
	var dump reporter.Dump
	assert.NilError(t, json.Unmarshal(out.Bytes(), &dump))
	assert.Equal(t, string(dump.Sections[0].Body), `{"version":9,"workers":[{"id":"w0","tasks":[{"id":"0","note":"runs"}]}],"limit":"1s",`+
		`"key":"0190a5d2-redacted","answer":{"Status":200,"Header":[{"Name":"Set-Cookie","Value":"redacted"},{"Name":"Age","Value":"5"}],"Body":null,"Cut":false},`+
		`"access":"redacted","secret":0,"any":{"id":"boxed","note":""},"names":{"password":"redacted","plain":"seen"},"empty":null}`)
	assert.DeepEqual(t, dump.Sections[0].Cuts, []reporter.Cut{{Field: "answer.Body", Shown: 0, Total: 19}})
	assert.DeepEqual(t, state, makeState(1, 1))
	assert.Assert(t, dump.Sections[1].Body == nil && dump.Sections[1].Error == "")
}

// Guards against a dump whose size grows with the number of workers, and
// against a shortened list that the dump doesn't mention.
func TestDumpIsBounded(t *testing.T) {
	limits := reporter.DumpLimits{MaxBytes: 20_000, MaxItems: 500, SectionTimeout: 10 * time.Second}
	r := reporter.New(reporter.Options{Dump: limits})
	r.AddSection("small", func() any { return makeState(2, 2) })
	r.AddSection("large", func() any { return makeState(18_000, 3) })
	r.AddSection("long", func() any { return struct{ Text string }{strings.Repeat("x", 30_000)} })
	dump, err := r.Dump(t.Context())
	assert.NilError(t, err)
	total := 0
	for _, s := range dump.Sections {
		total += len(s.Body)
	}
	assert.Assert(t, total <= limits.MaxBytes, "%d", total)
	var shown stateView
	assert.NilError(t, json.Unmarshal(dump.Sections[1].Body, &shown))
	assert.Assert(t, len(shown.Workers) >= 30, "%d", len(shown.Workers))
	assert.Equal(t, dump.Sections[1].Cuts[0], reporter.Cut{Field: "workers", Shown: len(shown.Workers), Total: 18_000})
	assert.Equal(t, dump.Sections[2].Error, "30011 bytes without any list are above the section's bound of "+
		fmt.Sprint(limits.MaxBytes-len(dump.Sections[0].Body)-len(dump.Sections[1].Body)))

	wide := reporter.New(reporter.Options{Dump: reporter.DumpLimits{MaxItems: 2}})
	wide.AddSection("nested", func() any { return makeState(3, 5) })
	dump, err = wide.Dump(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, dump.Sections[0].Cuts[:2], []reporter.Cut{{"workers", 2, 3}, {"workers[].tasks", 4, 10}})
}

// Guards against a section that hangs, panics or can't be encoded and
// thereby blocks the dump, ends the process or suppresses the other
// sections.
func TestDumpWithFaultySections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := reporter.New(reporter.Options{})
		release := make(chan struct{})
		var calls atomic.Int32
		r.AddSection("stuck", func() any { calls.Add(1); <-release; return makeState(1, 1) })
		r.AddSection("panics", func() any { panic("broken") })
		r.AddSection("odd", func() any { return struct{ C chan int }{make(chan int)} })
		r.AddSection("good", func() any { return struct{ N int }{1} })
		checkDump := func(firstSection string) {
			t.Helper()
			start := time.Now()
			dump, err := r.Dump(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) <= reporter.DefaultDumpSectionTimeout)
			var found []string
			for _, s := range dump.Sections {
				found = append(found, s.Error+string(s.Body))
			}
			assert.DeepEqual(t, found, []string{
				firstSection, "the section panicked: broken", "the section can't be encoded: json: unsupported type: chan int", `{"N":1}`,
			})
		}
		checkDump("not ready within 200ms")
		checkDump("an earlier dump of this section is still being built")
		assert.Equal(t, calls.Load(), int32(1))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := r.Dump(ctx)
		assert.ErrorIs(t, err, context.Canceled)
		close(release)
		synctest.Wait()
	})
}

func BenchmarkDumpOfLargeState(b *testing.B) {
	r := reporter.New(reporter.Options{Dump: reporter.DumpLimits{SectionTimeout: time.Minute}})
	state := makeState(18_000, 3)
	r.AddSection("state", func() any { return state })
	b.ReportAllocs()
	for b.Loop() {
		dump, err := r.Dump(b.Context())
		if err != nil || dump.Sections[0].Body == nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLogLine(b *testing.B) {
	r := reporter.New(reporter.Options{Role: "entry", Name: "e1", Out: &bytes.Buffer{}})
	b.ReportAllocs()
	for b.Loop() {
		r.Info("request answered", reporter.FieldService, "s", reporter.FieldSpan, time.Second)
	}
}

// slowReader takes a while for each write, like the reader of a process's log.
type slowReader struct {
	pause   time.Duration
	written bytes.Buffer
}

func (s *slowReader) Write(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.written.Write(p)
}

// TestLastLinesAreWritten guards against a process that ends before the lines
// about its end are written.
func TestLastLinesAreWritten(t *testing.T) {
	out := &slowReader{pause: 20 * time.Millisecond}
	w := reporter.NewAsyncWriter(out)
	for i := range 100 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	assert.Assert(t, w.Flush(5*time.Second))
	assert.Assert(t, strings.HasSuffix(out.written.String(), "line 99\n"), out.written.String())
	assert.Assert(t, w.Flush(5*time.Second), "nothing is queued")
}

// TestBlockedLogDoesNotKeepProcess guards against a process that can't end
// because nobody reads its log.
func TestBlockedLogDoesNotKeepProcess(t *testing.T) {
	w := reporter.NewAsyncWriter(&slowReader{pause: time.Minute})
	fmt.Fprintln(w, "line")
	begun := time.Now()
	assert.Assert(t, !w.Flush(50*time.Millisecond))
	assert.Assert(t, time.Since(begun) < 5*time.Second)
}
