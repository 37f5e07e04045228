package admission

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// places is the limit under which the shares are tested.
const places = 30

// load keeps a limiter busy: each source offers requests at its rate, which
// run for exponential times of the given mean. It returns how many of each ran.
func load(t *testing.T, l *Limiter, rates map[string]float64, serviceOf func(string) string, length, span time.Duration) map[string]int {
	random := rand.New(rand.NewSource(1))
	ran := make(map[string]int)
	var open ends
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	const step = 100 * time.Microsecond
	for now := time.Duration(0); now < span; now += step {
		for len(open) > 0 && open[0].at <= now {
			l.Done(now, heap.Pop(&open).(end).ticket, Good)
		}
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names {
			for offered := rates[name] * step.Seconds(); offered > 0; offered-- {
				if offered < 1 && random.Float64() > offered {
					continue
				}
				if ticket, ok := l.Admit(now, serviceOf(name), name); ok {
					ran[name]++
					heap.Push(&open, end{now + time.Duration(random.ExpFloat64()*float64(length)), ticket, true})
				}
			}
		}
		if l.Running() > places {
			t.Fatalf("%d requests run, at most %d may", l.Running(), places)
		}
	}
	return ran
}

// TestFairCallers guards against a caller that offers more than others pushing
// them out.
func TestFairCallers(t *testing.T) {
	l := New(Config{TotalLimit: 1000, ServiceLimit: places})
	ran := load(t, l, map[string]float64{"greedy": 10000, "busy": 1000, "modest": 100}, func(string) string { return "desk" }, 20*time.Millisecond, 10*time.Second)
	t.Logf("ran %v", ran)
	// 30 places of 20 ms run 1500 requests a second. Without shares each caller
	// would run one in seven of its requests. No queue smooths the bursts, so a
	// caller below its share still meets a full entry at times.
	qt.Check(t, ran["modest"] >= 900, qt.IsTrue)
	qt.Check(t, ran["busy"] >= 4500, qt.IsTrue)
	qt.Check(t, ran["modest"]+ran["busy"]+ran["greedy"] >= 13500, qt.IsTrue)
}

// TestFairServices guards against one service taking the places of another,
// and against places left empty when only one wants them.
func TestFairServices(t *testing.T) {
	same := func(name string) string { return name }
	l := New(Config{TotalLimit: places, ServiceLimit: places})
	ran := load(t, l, map[string]float64{"desk": 10000, "dispatch": 500}, same, 20*time.Millisecond, 10*time.Second)
	t.Logf("ran %v", ran)
	qt.Check(t, ran["dispatch"] >= 4500, qt.IsTrue)
	qt.Check(t, ran["desk"]+ran["dispatch"] >= 13500, qt.IsTrue)
	alone := load(t, New(Config{TotalLimit: places, ServiceLimit: places}), map[string]float64{"desk": 10000}, same, 20*time.Millisecond, 10*time.Second)
	qt.Check(t, alone["desk"] > 14500, qt.IsTrue)
}

// TestRefusal guards against more requests than the limit, and against callers
// that choose new names growing the memory.
func TestRefusal(t *testing.T) {
	l := New(Config{TotalLimit: 2, ServiceLimit: 5})
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

// TestGoodputUnderOverload guards against goodput that collapses when more is
// offered than the upstreams can do. The model is one queue of 9 slots with a
// service time of 10 ms and a deadline of 110 ms, which refuses work that
// cannot finish in time; the bound is that of design section 11.
func TestGoodputUnderOverload(t *testing.T) {
	peak := 0.0
	for _, offered := range []float64{0.8, 0.9, 1, 1.2, 3} {
		goodput, limit := overload(offered)
		t.Logf("offered %.1f of capacity: goodput %.3f, limit %d", offered, goodput, limit)
		peak = max(peak, goodput)
		if offered == 3 {
			qt.Check(t, goodput >= 0.95*peak, qt.IsTrue)
		}
	}
}

type ends []end
type end struct {
	at     time.Duration
	ticket Ticket
	good   bool
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func overload(offered float64) (goodput float64, limit int) {
	const slots, deadline, span = 9, 110 * time.Millisecond, 30 * time.Second
	l := New(Config{TotalLimit: 4096})
	random := rand.New(rand.NewSource(1))
	free := make([]time.Duration, slots)
	var open ends
	good := 0
	capacity := slots / 0.01
	for now := time.Duration(0); now < span; now += time.Duration(random.ExpFloat64() / (offered * capacity) * float64(time.Second)) {
		for len(open) > 0 && open[0].at <= now {
			e := heap.Pop(&open).(end)
			outcome := Congested
			if e.good {
				outcome = Good
				good++
			}
			l.Done(e.at, e.ticket, outcome)
		}
		t, ok := l.Admit(now, "desk", fmt.Sprint(random.Intn(5)))
		if !ok {
			continue
		}
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		begin := max(free[first], now)
		if begin-now > deadline-20*time.Millisecond {
			heap.Push(&open, end{now, t, false})
			continue
		}
		free[first] = begin + time.Duration(random.ExpFloat64()*float64(10*time.Millisecond))
		took := free[first] - now
		heap.Push(&open, end{min(free[first], now+deadline), t, took < deadline*7/10})
	}
	return float64(good) / span.Seconds() / capacity, l.Limit("desk")
}
