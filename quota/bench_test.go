package quota

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// benchmarkAccounts is the number of client accounts to design for.
const benchmarkAccounts = 10000

// heapBytes returns the bytes in use on the heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCoordinator measures a question for a token with all accounts in use, and the state, with
// the delegations of 65 and 300 instances. Each of them renews its delegation every AskInterval.
func BenchmarkCoordinator(b *testing.B) {
	for _, instances := range []int{65, 300} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			l := Limit{PerSecond: 10, Burst: 10, Version: 1}
			names := make([]string, benchmarkAccounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			before := heapBytes()
			c := NewCoordinator(testBounds)
			now := time.Duration(0)
			delegate := func(i int) {
				c.Delegate(fmt.Sprint("instance-", i%instances), math.MaxUint16, 0, instances, now, now)
			}
			for i := range instances {
				delegate(i)
			}
			for _, name := range names {
				c.Answer(Question{Account: name, Waiting: 1, Limit: l}, l, now)
			}
			state := (heapBytes() - before) / benchmarkAccounts
			i, step := 0, AskInterval/time.Duration(instances)
			for b.Loop() {
				if i%4 == 0 { // a question in a quarter of this time is answered between two renewals
					now += step
					delegate(i / 4)
				}
				c.Answer(Question{Account: names[i*7919%benchmarkAccounts], Waiting: 1, Limit: l}, l, now)
				i++
			}
			b.ReportMetric(state, "bytes/account")
		})
	}
}

// BenchmarkAdmission measures a request that finds a token, with all accounts in use at the instance.
func BenchmarkAdmission(b *testing.B) {
	l := Limit{PerSecond: 1e6, Burst: 1e6, Version: 1}
	names := make([]string, benchmarkAccounts)
	before := heapBytes()
	h := NewHolder(testBounds, 1)
	contact := Contact{Reachable: true, Instances: 12}
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		w := &Waiter{Decided: make(chan Outcome, 1)}
		h.Arrive(names[i], l, contact, 0)
		q, _ := h.Wait(names[i], l, w, 0)
		h.Receive(Grant{Account: names[i], ID: q.ID, Tokens: math.MaxInt32, Limit: l}, l, contact, 0)
	}
	state := (heapBytes() - before) / benchmarkAccounts
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if h.Arrive(names[i*7919%benchmarkAccounts], l, contact, time.Millisecond).Decision != Granted {
			b.Fatal("there is no token")
		}
		i++
	}
	b.ReportMetric(state, "bytes/account")
}
