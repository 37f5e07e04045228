package freshness

import (
	"slices"
	"time"
)

const (
	// Interval is the time between the questions of an instance that does not watch the store.
	Interval = 300 * time.Millisecond
	// RefreshInterval is the least time between two refreshes, for all requests together.
	RefreshInterval = 100 * time.Millisecond
	// watcherAge is the age up to which an instance that watches the store does not ask others.
	// Two watches of 500 ms, one that has returned and one that waits, come to just above 1 s.
	watcherAge = 1300 * time.Millisecond
	// wideAge is the age from which on several instances are asked at once. Without losses an
	// instance that asks another one that asks itself stays below it.
	wideAge = 1600 * time.Millisecond
	// WatchAge is the age from which on an instance that serves callers calls the store itself, as
	// those that do it on its behalf do not answer. It leaves a second for the call.
	WatchAge = 2100 * time.Millisecond
	// narrow and wide are the numbers of instances that are asked at once, usually and if an answer is urgent.
	narrow = 1
	wide   = 3
	// rememberedQuestions is how many questions an Asker takes replies to.
	rememberedQuestions = 16
)

// MaxAge returns the age above which a configuration may be out of date, given the time within which
// a key that was taken away must no longer be accepted. The rest of that time covers a request that
// is admitted at the last moment, a watch that returns late, and the transfer to the other instances.
func MaxAge(revocationLimit time.Duration) time.Duration { return revocationLimit * 6 / 10 }

// Asker decides when an instance asks others how old its configuration is, and whom. The zero value
// has asked nobody.
type Asker struct {
	questions [rememberedQuestions]time.Duration
	asked     int
	// answered says that there is a reply to the last question.
	answered bool
	// next counts the candidates other than the first one that were asked, to ask them in turn.
	next      int
	refreshed time.Duration
}

// Due reports whether a question is due at an instance whose configuration has an age, or none that is
// known. It is to be called every Interval. watches says that the instance watches the store.
func Due(age time.Duration, known, watches bool) bool {
	return !known || !watches || age > watcherAge
}

// Ask records a question at a time and returns which of n candidates get it, the best one first. Several
// get it if the last question was not answered, or if the age is high or not known.
func (a *Asker) Ask(now time.Duration, n int, age time.Duration, known bool) []int {
	count := narrow
	if !known || age > wideAge || a.asked > 0 && !a.answered {
		count = wide
	}
	return a.ask(now, n, count)
}

// Refresh is Ask for a question that is due because of a request. It returns nothing within
// RefreshInterval after the last one.
func (a *Asker) Refresh(now time.Duration, n int) []int {
	if a.refreshed != 0 && now-a.refreshed < RefreshInterval {
		return nil
	}
	a.refreshed = now
	return a.ask(now, n, wide)
}

func (a *Asker) ask(now time.Duration, n, count int) []int {
	a.questions[a.asked%rememberedQuestions] = now
	a.asked++
	a.answered = false
	if n == 0 {
		return nil
	}
	targets := []int{0}
	for len(targets) < min(count, n) {
		targets = append(targets, 1+a.next%(n-1))
		a.next++
	}
	return targets
}

// Answered reports whether a reply belongs to a question that was asked lately, and records that there
// is one. Other replies must not be used: they may be from before a restart of the machine, whose clock
// then began again.
func (a *Asker) Answered(r Reply) bool {
	asked := a.questions[:min(a.asked, rememberedQuestions)]
	if !slices.Contains(asked, r.Asked) {
		return false
	}
	a.answered = a.answered || r.Asked == a.questions[(a.asked-1)%rememberedQuestions]
	return true
}
