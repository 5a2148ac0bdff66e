package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/modeler"
)

// maxVerifiedBytes bounds the part of an answer that is read into memory to verify
// it; the rest is discarded.
const maxVerifiedBytes = 1 << 20

// load is the state of one call of Run.
type load struct {
	settings  Settings
	ctx       context.Context
	startedAt time.Time
	tally     *tally
}

// arrival is the number of a request and the time at which it should start.
type arrival struct {
	number   int
	intended time.Time
}

// result holds the answer and the times of one request.
type result struct {
	once      bool
	status    int
	outcome   string
	errorKind classifier.Kind
	foreign   bool
	intended  time.Time
	sent      time.Time
	ended     time.Time
}

// Run generates the load and reports on it. When ctx ends, no more requests start,
// and Run waits for those in flight. It returns an error if the settings are
// invalid.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	s, err := settings.withDefaults()
	if err != nil {
		return nil, err
	}
	if settings.Dialer == nil {
		defer s.Dialer.Close()
	}
	r := &load{settings: s, ctx: ctx, startedAt: time.Now(), tally: newTally()}
	if s.Rate > 0 {
		r.runOpenLoop()
	} else {
		r.runClosedLoop()
	}
	return r.tally.report(s, time.Since(r.startedAt)), nil
}

// isFinished reports whether a limit has been reached, so that the request with
// the given number must not start.
func (r *load) isFinished(number int) bool {
	return number >= r.settings.Count || time.Since(r.startedAt) >= r.settings.Duration || r.ctx.Err() != nil
}

// runOpenLoop starts requests at their intended times, whether earlier ones have
// been answered or not. A request that starts late because too many are in flight
// is still measured from its intended time.
func (r *load) runOpenLoop() {
	inFlight := make(chan struct{}, r.settings.Concurrency)
	var wait sync.WaitGroup
	intended := r.startedAt
	for number := 0; !r.isFinished(number); number++ {
		intended = intended.Add(r.nextGap())
		if intended.Sub(r.startedAt) >= r.settings.Duration {
			break
		}
		time.Sleep(time.Until(intended))
		inFlight <- struct{}{}
		next := arrival{number, intended}
		wait.Go(func() {
			defer func() { <-inFlight }()
			r.tally.add(r.sendRequest(next))
		})
	}
	wait.Wait()
}

// nextGap returns the time until the next arrival of an open loop.
func (r *load) nextGap() time.Duration {
	mean := float64(time.Second) / r.settings.Rate
	if r.settings.EvenArrivals {
		return time.Duration(mean)
	}
	return time.Duration(rand.ExpFloat64() * mean)
}

// runClosedLoop keeps Concurrency requests in flight. Each request starts when an
// earlier one has been answered, so it has no intended time and the percentiles
// can't be corrected for coordinated omission.
func (r *load) runClosedLoop() {
	numbers := make(chan int)
	var wait sync.WaitGroup
	for range r.settings.Concurrency {
		wait.Go(func() {
			for number := range numbers {
				r.tally.add(r.sendRequest(arrival{number, time.Now()}))
			}
		})
	}
	for number := 0; !r.isFinished(number); number++ {
		numbers <- number
	}
	close(numbers)
	wait.Wait()
}

func (r *load) sendRequest(next arrival) result {
	s := &r.settings
	res := result{intended: next.intended, sent: time.Now(), once: rand.Float64() < s.NonRepeatableShare}
	key, err := uuid.NewV7()
	if err != nil {
		res.errorKind, res.ended = classifier.Internal, time.Now()
		return res
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), s.Timeout)
	defer cancel()
	entry := s.Entries[next.number%len(s.Entries)]
	answer, err := s.Dialer.Do(ctx, s.newAttempt(entry, key.String(), res.once))
	var text []byte
	if err == nil {
		res.status = answer.Status
		res.outcome = answer.Header.Get("Goldcreststack-Outcome")
		text, err = readAnswer(answer, s.Verify)
	}
	res.ended = time.Now()
	res.errorKind = classifier.KindOf(err)
	res.foreign = s.Verify && err == nil && res.status == http.StatusOK && !hasKey(text, key.String())
	return res
}

func (s *Settings) newAttempt(entry, key string, once bool) dialer.Attempt {
	header := http.Header{"Idempotency-Key": {key}}
	if once {
		header.Set("Goldcreststack-Repeat", "never")
	}
	a := dialer.Attempt{
		Worker:         modeler.WorkerID(entry),
		Address:        entry,
		IdleTimeout:    s.Idle,
		MaxConnections: s.Concurrency,
		AtMostOnce:     once,
		Timeout:        s.Timeout,
		Method:         s.Method,
		Target:         "/v1/services/" + string(s.Service) + "/" + s.Path,
		Header:         header,
		Length:         int64(len(s.Body)),
	}
	if len(s.Body) > 0 {
		a.Body = bytes.NewReader(s.Body)
	}
	return a
}

func readAnswer(answer *dialer.Answer, keep bool) ([]byte, error) {
	defer answer.Body.Close()
	if !keep {
		_, err := io.Copy(io.Discard, answer.Body)
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxVerifiedBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	return text, err
}

// hasKey reports whether an answer of the stand-in upstream carries the key.
func hasKey(text []byte, key string) bool {
	var echo struct {
		Key string `json:"key"`
	}
	return json.Unmarshal(text, &echo) == nil && echo.Key == key
}

// DefaultLevels are the default numbers of concurrent requests for Compare.
var DefaultLevels = []int{1, 64, 384}

// compareRounds is how often Compare alternates between both sides at each level,
// so that other load on the machine affects both.
const compareRounds = 4

// Comparison holds the reports of a closed loop through the system and of one
// directly to the workers, with the same concurrency.
type Comparison struct {
	Concurrency int     `json:"concurrency"`
	Through     *Report `json:"through"`
	Direct      *Report `json:"direct"`
}

// Compare measures the same load through the system and directly to the workers
// at each level, in rounds that alternate between both. It returns an error if the
// settings are invalid.
func Compare(ctx context.Context, settings Settings, workers []string, levels []int) ([]Comparison, error) {
	settings.Rate = 0
	given := settings.Dialer
	settings, err := settings.withDefaults()
	if err != nil {
		return nil, err
	}
	if given == nil {
		defer settings.Dialer.Close()
	}
	settings.Count = max(settings.Count/compareRounds, 1)
	settings.Duration /= compareRounds
	direct := settings
	direct.Entries = workers
	var comparisons []Comparison
	for _, level := range levels {
		settings.Concurrency, direct.Concurrency = level, level
		comparison := Comparison{Concurrency: level}
		for range compareRounds {
			through, err := Run(ctx, settings)
			if err != nil {
				return nil, eris.Wrap(err, "measure load through the system")
			}
			without, err := Run(ctx, direct)
			if err != nil {
				return nil, eris.Wrap(err, "measure load directly to the workers")
			}
			comparison.Through = comparison.Through.merge(through)
			comparison.Direct = comparison.Direct.merge(without)
		}
		comparisons = append(comparisons, comparison)
	}
	return comparisons, nil
}
