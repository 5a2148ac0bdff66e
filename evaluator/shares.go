package evaluator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

const (
	floodLoad = 3.0 // demand of a flow as a multiple of its share
	lightLoad = 0.5

	// Faults end half a second before the measured span begins.
	leaderRestart = "leader restarts"
	entryPause    = "entry host pauses"
	faultEnd      = warmUp - 500*time.Millisecond
)

// flowSpread is the way in which two flows are spread over the entry hosts.
type flowSpread string

// The spreads of two flows over the entry hosts. The text "1 and 6" says that the
// first flow comes through one entry host and the second through six.
const (
	evenFlows       flowSpread = "even"
	skewedFlows     flowSpread = "skewed" // most requests of both flows through one entry host
	floodThroughOne flowSpread = "1 and 6"
	floodThroughSix flowSpread = "6 and 1"
	floodThroughAll flowSpread = "7 and 1"
)

// entry returns a random entry host for a request of the given flow (0 or 1).
func (s flowSpread) entry(flow int, random *rand.Rand) int {
	any, others := random.IntN(entryCount), 1+random.IntN(entryCount-1)
	switch s {
	case skewedFlows:
		if random.Float64() < skewShare {
			return 0
		}
	case floodThroughOne, floodThroughSix:
		if (s == floodThroughOne) == (flow == 0) {
			return 0
		}
		return others
	case floodThroughAll:
		if flow == 1 {
			return 0
		}
	}
	return any
}

// SharePoint is the result of a run with two flows: two teams with a service each
// on the same workers, or two callers of one service.
type SharePoint struct {
	Sharers string `json:"of"`
	Weights [2]int `json:"weights"`
	// Arrivals is the spread over the entry hosts, of the first flow and of
	// the second where they differ.
	Arrivals string       `json:"arrivals"`
	Flows    [2]ShareFlow `json:"flows"`
	// Fault is the fault that ends half a second before the measured span.
	Fault string `json:"fault,omitempty"`
	// Used is the share of all slots that was in use.
	Used     float64 `json:"used"`
	Messages float64 `json:"messages"` // per second
}

// ShareFlow is the share of slots and the waiting times of one flow. Times are in
// milliseconds; a request that still waits at the end counts with its wait so
// far.
type ShareFlow struct {
	Load float64 `json:"load"` // demand as a share of all slots
	Used float64 `json:"used"` // share of all slots
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
}

type shareCase struct {
	fault       string
	callers     bool
	callerCount int // callers of the second flow
	weights     [2]int
	loads       [2]float64 // demand as a multiple of each flow's share
	flowSpread  flowSpread
}

func shareCases() []shareCase {
	var list []shareCase
	for _, weights := range [][2]int{{1, 1}, {3, 1}, {1, 3}} {
		for _, s := range []flowSpread{evenFlows, skewedFlows, floodThroughOne, floodThroughSix} {
			list = append(list, shareCase{weights: weights, loads: [2]float64{floodLoad, lightLoad}, flowSpread: s})
		}
	}
	for _, weights := range [][2]int{{1, 1}, {3, 1}} {
		for _, s := range []flowSpread{evenFlows, floodThroughOne} {
			list = append(list, shareCase{weights: weights, loads: [2]float64{floodLoad, floodLoad}, flowSpread: s})
		}
	}
	for _, fault := range []string{leaderRestart, entryPause} {
		list = append(list, shareCase{fault: fault, weights: [2]int{1, 1}, loads: [2]float64{floodLoad, lightLoad}, flowSpread: floodThroughSix})
	}
	for _, s := range []flowSpread{evenFlows, floodThroughAll, floodThroughSix, floodThroughOne} {
		list = append(list, shareCase{
			callers: true, callerCount: 1, weights: [2]int{1, 1}, loads: [2]float64{floodLoad, lightLoad}, flowSpread: s,
		})
	}
	list = append(list, shareCase{
		callers: true, callerCount: 100, weights: [2]int{1, 1}, loads: [2]float64{floodLoad, lightLoad}, flowSpread: floodThroughSix,
	})
	return list
}

// shareRun runs one case and collects its measurements.
type shareRun struct {
	shareCase
	span         time.Duration
	lentModel    *lentModel
	waits        [2]*hdrhistogram.Histogram
	usedSlotTime [2]time.Duration
}

func (c shareCase) configuration() *modeler.Configuration {
	out := &modeler.Configuration{Version: 1}
	for flow, weight := range c.weights {
		team := modeler.TeamName(fmt.Sprint("team-", flow))
		out.Teams = append(out.Teams, modeler.Team{Name: team, Weight: weight})
		out.Services = append(out.Services, lentService(modeler.ServiceName(fmt.Sprint("service-", flow)), team))
		if c.callers {
			break
		}
	}
	return out
}

// load returns the flow's demand as a share of all slots.
func (c shareCase) load(flow int) float64 {
	return c.loads[flow] * float64(c.weights[flow]) / float64(c.weights[0]+c.weights[1])
}

func (c shareCase) request(flow int, random *rand.Rand) router.Request {
	if c.callers {
		caller := "flood"
		if flow == 1 {
			caller = fmt.Sprint(random.IntN(c.callerCount))
		}
		return router.Request{Service: "service-0", Team: "team-0", Caller: router.Caller(caller)}
	}
	return router.Request{Service: modeler.ServiceName(fmt.Sprint("service-", flow)), Team: modeler.TeamName(fmt.Sprint("team-", flow))}
}

func (c shareCase) measure(s WaitingSettings) (SharePoint, error) {
	m := &model{EventLoop: NewEventLoop(s.Seed)}
	r := &shareRun{shareCase: c, span: s.Span, lentModel: newLentModel(m, c.configuration())}
	r.lentModel.onAssigned = r.onAssigned
	end := warmUp + s.Span
	for flow := range r.waits {
		r.waits[flow] = hdrhistogram.New(1, int64(time.Minute), 3)
		r.generateRequests(flow, rand.New(rand.NewPCG(s.Seed, uint64(flow+1))))
	}
	r.injectFault()
	m.RunUntil(end)
	for _, request := range r.lentModel.arrivals {
		r.recordWait(request)
	}
	point := SharePoint{
		Sharers: "teams", Fault: c.fault, Weights: c.weights, Arrivals: string(c.flowSpread), Messages: float64(m.messages) / end.Seconds(),
	}
	if c.callers {
		point.Sharers = fmt.Sprintf("1 and %d callers", c.callerCount)
	}
	for flow := range r.waits {
		point.Flows[flow] = ShareFlow{
			Load: c.load(flow),
			Used: r.usedSlotTime[flow].Seconds() / (s.Span.Seconds() * workerCount * workerSlots),
			P50:  float64(r.waits[flow].ValueAtPercentile(50)) / 1e6,
			P99:  float64(r.waits[flow].ValueAtPercentile(99)) / 1e6,
		}
		point.Used += point.Flows[flow].Used
	}
	if m.refusalKind != "" {
		return point, fmt.Errorf("shares: a request was refused with %s", m.refusalKind)
	}
	return point, nil
}

// injectFault schedules the case's fault: the leader is lost, or one of the
// flood's entry hosts pauses, for the second before faultEnd.
func (r *shareRun) injectFault() {
	l := r.lentModel
	switch r.fault {
	case leaderRestart:
		l.After(faultEnd-time.Second, l.allocator.Resign)
		l.After(faultEnd, func() { l.startTerm(r.configuration(), l.sessions) })
	case entryPause:
		l.After(faultEnd-time.Second, func() { l.pausedUntil[1] = faultEnd })
	}
}

// generateRequests schedules the arrivals of a flow's requests.
func (r *shareRun) generateRequests(flow int, random *rand.Rand) {
	gap := float64(meanService) / (r.load(flow) * workerCount * workerSlots)
	var arrive func()
	arrive = func() {
		entry := r.flowSpread.entry(flow, random)
		if r.lentModel.Now < r.lentModel.pausedUntil[entry] {
			entry = entryCount - 1 // the load balancer skips a paused entry host
		}
		r.lentModel.request(entry, arrival{r.lentModel.Now, flow}, r.request(flow, random))
		r.lentModel.After(time.Duration(random.ExpFloat64()*gap), arrive)
	}
	r.lentModel.After(100*time.Millisecond, arrive)
}

func (r *shareRun) recordWait(request arrival) {
	if request.at >= warmUp {
		_ = r.waits[request.flow].RecordValue(int64(r.lentModel.Now - request.at))
	}
}

// onAssigned records the wait of a request and the part of its slot time that
// lies in the measured span.
func (r *shareRun) onAssigned(request arrival, hold time.Duration) {
	r.recordWait(request)
	from := max(r.lentModel.Now, warmUp)
	until := min(r.lentModel.Now+hold, warmUp+r.span)
	r.usedSlotTime[request.flow] += max(0, until-from)
}

// Shares holds the results of MeasureShares.
type Shares struct {
	Settings WaitingSettings `json:"settings"`
	Points   []SharePoint    `json:"points"`
}

// DefaultShares returns the settings of the table in docs/decisions/shares.md.
func DefaultShares() WaitingSettings { return WaitingSettings{Seed: Seed, Span: 4 * time.Second} }

// MeasureShares measures how two teams, and two callers of one team, share the
// workers' slots when the first demands three times its share and the second half
// of its own, or both three times. It returns an error without a span and for a
// refused request.
func MeasureShares(s WaitingSettings) (Shares, error) {
	out := Shares{Settings: s}
	if s.Span <= 0 {
		return out, errors.New("shares settings: the span must be positive")
	}
	for _, c := range shareCases() {
		point, err := c.measure(s)
		if err != nil {
			return out, err
		}
		out.Points = append(out.Points, point)
	}
	return out, nil
}

// Text returns the result as a table.
func (s Shares) Text() string {
	t := newTable("OF\tWEIGHTS\tARRIVALS\tASKED\tGOT\tP50 MS\tP99 MS\tASKED\tGOT\tP50 MS\tP99 MS\tUSED\tMESSAGES/S")
	for _, p := range s.Points {
		if p.Fault != "" {
			p.Arrivals += ", " + p.Fault
		}
		x, y := p.Flows[0], p.Flows[1]
		t.addRow("%s\t%d:%d\t%s\t%.1f%%\t%.1f%%\t%.1f\t%.1f\t%.1f%%\t%.1f%%\t%.1f\t%.1f\t%.1f%%\t%.0f",
			p.Sharers, p.Weights[0], p.Weights[1], p.Arrivals,
			100*x.Load, 100*x.Used, x.P50, x.P99, 100*y.Load, 100*y.Used, y.P50, y.P99, 100*p.Used, p.Messages)
	}
	return fmt.Sprintf("seed %d, %v measured after %v\n\n", s.Settings.Seed, s.Settings.Span, warmUp) + t.String()
}
