package applier

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/recorder"
	"goldcreststack.example/goldcreststack/sequencer"
	"goldcreststack.example/goldcreststack/ticketer"
)

// snapshotContent is the content of a snapshot.
type snapshotContent struct {
	Now     modeler.Timestamp `cbor:"1,keyasint"`
	Applied modeler.Index     `cbor:"2,keyasint"`
	Cell    *ticketer.Cell    `cbor:"3,keyasint"`
	Records recorder.Saved    `cbor:"4,keyasint"`
	Jobs    []*Job            `cbor:"5,keyasint"`
	// Flows is missing in snapshots of releases that didn't support flows.
	Flows sequencer.Snapshot `cbor:"6,keyasint"`
}

// snapshotCopy has the same encoding as snapshotContent.
type snapshotCopy struct {
	Now     modeler.Timestamp  `cbor:"1,keyasint"`
	Applied modeler.Index      `cbor:"2,keyasint"`
	Cell    *ticketer.Cell     `cbor:"3,keyasint"`
	Records recorder.Saved     `cbor:"4,keyasint"`
	Jobs    []jobCopy          `cbor:"5,keyasint"`
	Flows   sequencer.Snapshot `cbor:"6,keyasint"`
}

// jobCopy has the fields and the encoding of Job, but shares the values that
// are only replaced as a whole and never modified, such as Spec, which holds
// most of a job's bytes.
type jobCopy struct {
	Spec       *modeler.Job      `cbor:"1,keyasint"`
	FromTicket bool              `cbor:"2,keyasint,omitempty"`
	Cancelled  bool              `cbor:"3,keyasint,omitempty"`
	Created    modeler.Timestamp `cbor:"4,keyasint"`
	Ended      modeler.Timestamp `cbor:"5,keyasint,omitempty"`
	Tasks      []Task            `cbor:"6,keyasint"`
	NextSpec   *modeler.Job      `cbor:"7,keyasint,omitempty"`
	First      modeler.Attempt   `cbor:"8,keyasint"`
	OpenTasks  int               `cbor:"9,keyasint"`
	Change     *ServiceChange    `cbor:"10,keyasint,omitempty"`
}

// Copy is the state after one log entry. It shares with the Applier only values
// that are never modified in place, so that another goroutine may encode it.
type Copy struct {
	content snapshotCopy
	records recorder.Copy
}

// Copy returns a copy of the state. It stores all jobs and all tasks in two
// arrays, since 58,000 separate allocations would take longer than the copying.
func (a *Applier) Copy() *Copy {
	content := snapshotCopy{
		Now:     a.now,
		Applied: a.applied,
		Cell:    a.cell.Copy(),
		Jobs:    make([]jobCopy, 0, len(a.jobs)),
		Flows:   a.flows.TakeSnapshot(),
	}
	count := 0
	for _, job := range a.jobs {
		count += len(job.Tasks)
	}
	tasks := make([]Task, 0, count)
	for _, job := range a.jobs {
		from := len(tasks)
		tasks = append(tasks, job.Tasks...)
		content.Jobs = append(content.Jobs, jobCopy{
			Spec:       &job.Spec,
			FromTicket: job.FromTicket,
			Cancelled:  job.Cancelled,
			Created:    job.Created,
			Ended:      job.Ended,
			Tasks:      tasks[from:len(tasks):len(tasks)],
			NextSpec:   job.NextSpec,
			First:      job.First,
			OpenTasks:  job.OpenTasks,
			Change:     job.Change,
		})
	}
	return &Copy{content: content, records: a.records.Copy()}
}

// encoder sorts map keys, so that equal states have equal encodings.
var encoder = newEncoder()

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic("applier: encoder options: " + err.Error())
	}
	return mode
}

// Encode returns the data of a snapshot. Equal states have equal data.
func (c *Copy) Encode() ([]byte, error) {
	slices.SortFunc(c.content.Jobs, func(x, y jobCopy) int { return cmp.Compare(x.Spec.ID, y.Spec.ID) })
	c.content.Records = c.records.Saved()
	c.content.Records.Sort()
	c.content.Flows.Sort()
	data, err := encoder.Marshal(&c.content)
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "encode a snapshot")
	}
	return data, nil
}

// Save returns the data of a snapshot of the whole state.
func (a *Applier) Save() ([]byte, error) { return a.Copy().Encode() }

// decoder raises the library's limits on the sizes of lists and maps, which a
// snapshot of a large cell and long lists in a command exceed, and accepts strings
// of any bytes. It must accept whatever the decoder of linker accepts.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 24,
		MaxMapPairs:      1 << 24,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic("applier: decoder options: " + err.Error())
	}
	return mode
}

// Load replaces the whole state with the one in a snapshot's data. It returns
// an error if the data can't be decoded, and the state then stays as it is.
func (a *Applier) Load(data []byte) error {
	content := snapshotContent{Cell: ticketer.NewCell()}
	if err := decoder.Unmarshal(data, &content); err != nil {
		return classifier.Wrap(classifier.Internal, err, "decode a snapshot")
	}
	loaded := New()
	loaded.now = content.Now
	loaded.applied = content.Applied
	loaded.cell = content.Cell
	loaded.records.Load(content.Records)
	for _, job := range content.Jobs {
		loaded.jobs[job.Spec.ID] = job
	}
	loaded.restoreEndedJobs()
	loaded.flows.Restore(&content.Flows)
	*a = *loaded
	return nil
}
