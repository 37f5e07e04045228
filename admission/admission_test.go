package admission

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// concurrencyLimit is the number of concurrent requests in the tests of fair shares.
const concurrencyLimit = 30

// offerLoad simulates callers that offer requests to a limiter for the given duration.
// Rates are requests per second by caller. An admitted request runs for an
// exponentially distributed time with mean meanRunTime. It returns the number of
// admitted requests by caller, and fails the test if more than concurrencyLimit run.
func offerLoad(t *testing.T, l *Limiter, rates map[string]float64, serviceOf func(string) string, meanRunTime, duration time.Duration) map[string]int {
	random := rand.New(rand.NewSource(1))
	ran := make(map[string]int)
	var running completionHeap
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	const step = 100 * time.Microsecond
	for now := time.Duration(0); now < duration; now += step {
		for len(running) > 0 && running[0].at <= now {
			l.Done(now, heap.Pop(&running).(completion).ticket, Good)
		}
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names {
			for offered := rates[name] * step.Seconds(); offered > 0; offered-- {
				if offered < 1 && random.Float64() > offered {
					continue
				}
				if ticket, ok := l.Admit(now, serviceOf(name), name); ok {
					ran[name]++
					heap.Push(&running, completion{now + time.Duration(random.ExpFloat64()*float64(meanRunTime)), ticket, true})
				}
			}
		}
		if l.Running() > concurrencyLimit {
			t.Fatalf("%d requests are running, limit is %d", l.Running(), concurrencyLimit)
		}
	}
	return ran
}

// TestFairCallers guards against a caller that offers many requests taking the
// capacity of callers that offer few.
func TestFairCallers(t *testing.T) {
	l := New(Config{TotalLimit: 1000, PerServiceLimit: concurrencyLimit})
	ran := offerLoad(t, l, map[string]float64{"greedy": 10000, "busy": 1000, "modest": 100}, func(string) string { return "desk" }, 20*time.Millisecond, 10*time.Second)
	t.Logf("ran %v", ran)
	// With 30 concurrent requests of 20 ms, 1500 requests run per second. If shares were
	// not fair, each caller would run only one in seven of its requests. Even a caller
	// below its share is refused at times, because the service is at its limit and no
	// queue smooths the bursts.
	qt.Check(t, ran["modest"] >= 900, qt.IsTrue)
	qt.Check(t, ran["busy"] >= 4500, qt.IsTrue)
	qt.Check(t, ran["modest"]+ran["busy"]+ran["greedy"] >= 13500, qt.IsTrue)
}

// TestFairServices guards against one service taking the capacity of another, and
// against capacity left unused when only one service has requests.
func TestFairServices(t *testing.T) {
	same := func(name string) string { return name }
	l := New(Config{TotalLimit: concurrencyLimit, PerServiceLimit: concurrencyLimit})
	ran := offerLoad(t, l, map[string]float64{"desk": 10000, "dispatch": 500}, same, 20*time.Millisecond, 10*time.Second)
	t.Logf("ran %v", ran)
	qt.Check(t, ran["dispatch"] >= 4500, qt.IsTrue)
	qt.Check(t, ran["desk"]+ran["dispatch"] >= 13500, qt.IsTrue)
	alone := offerLoad(t, New(Config{TotalLimit: concurrencyLimit, PerServiceLimit: concurrencyLimit}), map[string]float64{"desk": 10000}, same, 20*time.Millisecond, 10*time.Second)
	qt.Check(t, alone["desk"] > 14500, qt.IsTrue)
}

// TestLimitAndCallerBound guards against running more requests than the limit, and
// against unbounded memory when callers keep choosing new names.
func TestLimitAndCallerBound(t *testing.T) {
	l := New(Config{TotalLimit: 2, PerServiceLimit: 5})
	a, ok := l.Admit(0, "desk", "x")
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = l.Admit(0, "desk", "x")
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = l.Admit(0, "desk", "x")
	qt.Assert(t, ok, qt.IsFalse)
	l.Done(time.Second, a, Good)
	_, ok = l.Admit(time.Second, "desk", "x")
	qt.Assert(t, ok, qt.IsTrue)
	for i := range 10 * maxCallers {
		l.Admit(time.Second, "desk", fmt.Sprint(i))
	}
	qt.Assert(t, len(l.services["desk"].callers.children) <= maxCallers+1, qt.IsTrue)
	qt.Assert(t, l.Running(), qt.Equals, 2)
}

// TestGoodputUnderOverload guards against goodput that collapses when more requests are
// offered than the upstreams can run. The upstream is modelled as one queue with 9
// slots, a mean service time of 10 ms and a deadline of 110 ms. It refuses a request
// that would start less than 20 ms before its deadline. Section 11 of the design requires
// that overload leaves at least 95 % of the peak goodput.
func TestGoodputUnderOverload(t *testing.T) {
	peak := 0.0
	for _, offered := range []float64{0.8, 0.9, 1, 1.2, 3} {
		goodput, limit := simulateOverload(offered)
		t.Logf("offered %.1f of capacity: goodput %.3f, limit %d", offered, goodput, limit)
		peak = max(peak, goodput)
		if offered == 3 {
			qt.Check(t, goodput >= 0.95*peak, qt.IsTrue)
		}
	}
}

// completionHeap orders the ends of running requests by time.
type completionHeap []completion

// completion is the end of a running request. In simulateOverload, inTime is false if the
// upstream refused the request or took at least 70 % of the deadline.
type completion struct {
	at     time.Duration
	ticket Ticket
	inTime bool
}

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulateOverload offers a load, given as a fraction of the capacity of the upstream. It
// returns the goodput as a fraction of that capacity, and the limit at the end.
func simulateOverload(offered float64) (goodput float64, limit int) {
	const slots, deadline, duration = 9, 110 * time.Millisecond, 30 * time.Second
	l := New(Config{TotalLimit: 4096})
	random := rand.New(rand.NewSource(1))
	slotFreeAt := make([]time.Duration, slots)
	var running completionHeap
	good := 0
	capacity := slots / 0.01
	for now := time.Duration(0); now < duration; now += time.Duration(random.ExpFloat64() / (offered * capacity) * float64(time.Second)) {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(completion)
			outcome := Congested
			if e.inTime {
				outcome = Good
				good++
			}
			l.Done(e.at, e.ticket, outcome)
		}
		t, ok := l.Admit(now, "desk", fmt.Sprint(random.Intn(5)))
		if !ok {
			continue
		}
		earliest := 0
		for i := range slotFreeAt {
			if slotFreeAt[i] < slotFreeAt[earliest] {
				earliest = i
			}
		}
		begin := max(slotFreeAt[earliest], now)
		if begin-now > deadline-20*time.Millisecond {
			heap.Push(&running, completion{now, t, false})
			continue
		}
		slotFreeAt[earliest] = begin + time.Duration(random.ExpFloat64()*float64(10*time.Millisecond))
		took := slotFreeAt[earliest] - now
		heap.Push(&running, completion{min(slotFreeAt[earliest], now+deadline), t, took < deadline*7/10})
	}
	return float64(good) / duration.Seconds() / capacity, l.Limit("desk")
}
