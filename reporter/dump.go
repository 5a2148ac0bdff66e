package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sync/atomic"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// DumpLimits bounds a dump of the state. Fields that are not positive get
// defaults.
type DumpLimits struct {
	// MaxBytes bounds the bodies of all sections together, in bytes.
	MaxBytes int
	// SectionTimeout bounds the time to build and encode one section.
	SectionTimeout time.Duration
	// MaxItems bounds the number of elements that a dump shows of one list or
	// map.
	MaxItems int
}

// Default limits of a dump. Several dumps must fit into the 32 MB of memory
// that control may use on a host, and a dump must end before an operator's
// client times out.
const (
	DefaultDumpMaxBytes       = 1 << 20
	DefaultDumpSectionTimeout = 200 * time.Millisecond
	DefaultDumpMaxItems       = 1000
)

func (l DumpLimits) withDefaults() DumpLimits {
	if l.MaxBytes <= 0 {
		l.MaxBytes = DefaultDumpMaxBytes
	}
	if l.SectionTimeout <= 0 {
		l.SectionTimeout = DefaultDumpSectionTimeout
	}
	if l.MaxItems <= 0 {
		l.MaxItems = DefaultDumpMaxItems
	}
	return l
}

// Dump is the state of one role of a process, for operators.
type Dump struct {
	Time     time.Time     `json:"time"`
	Role     string        `json:"role"`
	Name     string        `json:"name"`
	Sections []SectionDump `json:"sections"`
}

// SectionDump is one section of a dump. It has either a body or an error; a
// section without content has neither.
type SectionDump struct {
	Name string `json:"name"`
	// Took is the time that it took to build and encode the section.
	Took  modeler.Duration `json:"took"`
	Error string           `json:"error,omitempty"`
	// Cuts lists the fields of the body that are shortened or left out.
	Cuts []Cut           `json:"cuts,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Cut says how many elements of a field a dump shows. Lists of the same field
// in different elements are counted together. Byte slices are left out
// entirely, since they hold data of callers.
type Cut struct {
	Field string `json:"field"`
	Shown int    `json:"shown"`
	Total int    `json:"total"`
}

// section is a registered section of the dump.
type section struct {
	name  string
	build func() any
	// building is true while the section is being built and encoded, which
	// may go on after its deadline.
	building atomic.Bool
}

// AddSection registers a section of the dump. For each dump, build is called
// from another goroutine. It must hold locks only briefly, and the struct
// that it returns must not be changed afterwards.
func (r *Reporter) AddSection(name string, build func() any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sections = append(r.sections, &section{name: name, build: build})
}

// Dump builds all sections, one after the other. A section that misses its
// deadline has an error instead of a body, and is not built again until that
// build has ended. Dump returns the error of ctx if that ends first.
func (r *Reporter) Dump(ctx context.Context) (Dump, error) {
	select {
	case r.dumpSlot <- struct{}{}:
		defer func() { <-r.dumpSlot }()
	case <-ctx.Done():
		return Dump{}, ctx.Err()
	}
	r.mutex.Lock()
	sections := append([]*section(nil), r.sections...)
	r.mutex.Unlock()
	dump := Dump{Time: utcNow(), Role: r.role, Name: r.name, Sections: []SectionDump{}}
	remaining := r.limits.MaxBytes
	for i, s := range sections {
		maxBytes := remaining / (len(sections) - i)
		shown := r.dumpSection(ctx, s, maxBytes)
		remaining -= len(shown.Body)
		dump.Sections = append(dump.Sections, shown)
	}
	return dump, ctx.Err()
}

// WriteDump writes the dump as one JSON document. It returns the error of ctx
// if that ends first, or the error of out.
func (r *Reporter) WriteDump(ctx context.Context, out io.Writer) error {
	dump, err := r.Dump(ctx)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(dump)
}

// dumpSection builds and encodes one section in a new goroutine and waits for
// it until the deadline.
func (r *Reporter) dumpSection(ctx context.Context, s *section, maxBytes int) SectionDump {
	if !s.building.CompareAndSwap(false, true) {
		return SectionDump{Name: s.name, Error: "an earlier dump of this section is still being built"}
	}
	start := time.Now()
	done := make(chan SectionDump, 1)
	go func() {
		shown := s.encode(maxBytes, r.limits.MaxItems)
		s.building.Store(false)
		done <- shown
	}()
	var shown SectionDump
	deadline := time.NewTimer(r.limits.SectionTimeout)
	defer deadline.Stop()
	select {
	case shown = <-done:
	case <-deadline.C:
		shown.Error = fmt.Sprintf("not ready within %s", r.limits.SectionTimeout)
	case <-ctx.Done():
		shown.Error = ctx.Err().Error()
	}
	shown.Name = s.name
	shown.Took = modeler.Duration(time.Since(start).Round(time.Microsecond))
	return shown
}

// encode builds and encodes the section; a panic becomes its error.
func (s *section) encode(maxBytes, maxItems int) (shown SectionDump) {
	defer func() {
		if fault := recover(); fault != nil {
			shown = SectionDump{Error: fmt.Sprintf("the section panicked: %v", fault)}
		}
	}()
	return encodeSection(s.build(), maxBytes, maxItems)
}

// encodeSection encodes value as JSON, with lists shortened until the body is
// at most maxBytes long.
func encodeSection(value any, maxBytes, maxItems int) SectionDump {
	for {
		t := trimmer{maxItems: maxItems}
		trimmed := t.trim(reflect.ValueOf(value), "", 0)
		var body []byte
		var err error
		if trimmed.IsValid() {
			body, err = json.Marshal(trimmed.Interface())
		}
		switch {
		case err != nil:
			return SectionDump{Error: "the section can't be encoded: " + err.Error()}
		case len(body) <= maxBytes:
			return SectionDump{Body: body, Cuts: t.cuts}
		case maxItems == 0:
			return SectionDump{Error: fmt.Sprintf("%d bytes without any list are above the section's bound of %d", len(body), maxBytes)}
		}
		// Takes at most half, and at most the share that fits by proportion,
		// so that few rounds are needed.
		maxItems = min(maxItems/2, maxItems*maxBytes/len(body))
	}
}
