package rollout

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// When the steps of a roll-out are taken, as portions of its duration.
const (
	rampAt    = 0.6
	promoteAt = 0.75
	giveUpAt  = 0.97
	// giveUpBefore is the least time before the end of the duration at which a roll-out is rolled
	// back, so that the status is written in time also by the leader that is the second to write.
	giveUpBefore = 700 * time.Millisecond
)

const (
	// minEvidence is the number of replies of the new version that are enough to promote it,
	// evidencePortion the portion of those that the share allows which is enough where the
	// service gets few requests.
	minEvidence     = 20
	evidencePortion = 0.35
	// minCapacity is the least portion of the established searchers' slots that the new ones
	// have when they take over.
	minCapacity = 0.8
	// minPromoted is how long the phase Promote lasts at least: instances that have sent no
	// counts learn of it through the mirrors, and the first replies under full load are seen.
	minPromoted = 1000 * time.Millisecond
	// decisionDelay is the usual time from a request until a decision based on it takes effect: the age
	// of the sums and the distribution of the decision.
	decisionDelay = 800 * time.Millisecond
	// completionTime is the least time from the promotion to the end of the duration: minPromoted,
	// giveUpBefore, and 900 ms for messages and writes.
	completionTime = 2600 * time.Millisecond
	// unknownServiceAfter is the age of an order from which its service counts as unknown: its
	// configuration may be written after the order.
	unknownServiceAfter = 2 * time.Second
)

// Situation is what a leader knows of a running order.
type Situation struct {
	Order Order
	// Elapsed is the time since the order was first seen.
	Elapsed time.Duration
	Sums    Tally
	Verdict Verdict
	// NewSlots and OldSlots are the requests that the searchers of the versions run at once.
	// Only new ones that are warm count, and none that drains.
	NewSlots, OldSlots int
	// PromotedFor is the time since this leader learned of the phase Promote.
	PromotedFor time.Duration
	// Unconfirmed is the number of instances that are not known to follow the phase Promote,
	// RunningOld the number of requests that are known to run on established searchers.
	Unconfirmed, RunningOld int
	// KnownService says that the service is configured or has searchers.
	KnownService bool
}

// Decide returns the status that follows, and whether it differs from the present one.
func (b Bounds) Decide(s Situation) (Status, bool) {
	now := s.Order.Status
	if now.State == None || now.TargetVersion != s.Order.TargetVersion {
		now = Status{State: Running, TargetVersion: s.Order.TargetVersion, Phase: Canary, Share: usedShare * b.Share, Reason: "order seen"}
		return now, true
	}
	if now.State != Running {
		return now, false
	}
	portion := float64(s.Elapsed) / float64(s.Order.Duration)
	switch {
	case s.Verdict.Bad:
		return now.rolledBack(s.Verdict.Reason), true
	case !s.KnownService && s.Elapsed >= unknownServiceAfter:
		return now.rolledBack("the service is not known"), true
	case portion >= giveUpAt || s.Elapsed >= s.Order.Duration-giveUpBefore:
		return now.rolledBack("not completed in time: " + cmp.Or(b.obstacle(s), "the evidence came too late")), true
	case now.Phase == Promote && s.Verdict.Suspected && b.isSpent(s, portion):
		return now.rolledBack("suspicious replies since the promotion, and the new version has got what a bad one may get"), true
	case now.Phase == Promote:
		return now.completed(s)
	case s.Elapsed >= s.Order.promoteAfter() && s.Elapsed <= s.Order.Duration-giveUpBefore-minPromoted && b.obstacle(s) == "":
		now.Phase, now.Share = Promote, 1
		now.Reason = fmt.Sprintf("%d good replies of the new version", s.Sums.Total().NewReplies-s.Sums.Total().NewBad)
		return now, true
	case portion >= rampAt && now.Phase == Canary && s.Elapsed < s.Order.promoteAfter() && !s.Verdict.Suspected && s.evidence(b) && b.rampFits(s, portion):
		now.Phase, now.Share, now.Reason = Ramp, rampShare, "the canary's replies are good"
		return now, true
	case now.Phase == Ramp && now.Share == rampShare && (s.Verdict.Suspected || !b.withinRamp(s.Sums.Total(), 0)):
		now.Share, now.Reason = usedShare*b.Share, "the new version has got what it may get before it is promoted, or is suspicious"
		return now, true
	}
	return now, false
}

// promoteAfter returns the age of an order at which its target is promoted. A short order leaves time for
// the completion.
func (o Order) promoteAfter() time.Duration {
	return min(time.Duration(promoteAt*float64(o.Duration)), o.Duration-completionTime)
}

func (s Status) rolledBack(reason string) Status {
	s.State, s.Phase, s.Share, s.Reason = RolledBack, "", 0, reason
	return s
}

// completed completes a promoted version once no request runs on established searchers.
func (s Status) completed(x Situation) (Status, bool) {
	if x.PromotedFor < minPromoted || x.Unconfirmed > 0 || x.RunningOld > 0 || !x.hasCapacity() || x.Verdict.Suspected {
		return s, false
	}
	s.State, s.Phase, s.Share, s.Reason = Completed, "", 1, "no request runs on searchers of other versions"
	return s, true
}

func (s Situation) hasCapacity() bool {
	return s.NewSlots > 0 && float64(s.NewSlots) >= minCapacity*float64(s.OldSlots)
}

// evidence reports whether enough replies of the new version are known.
func (s Situation) evidence(b Bounds) bool {
	total := s.Sums.Total()
	portion := min(float64(s.Elapsed)/float64(s.Order.Duration)/promoteAt, 1)
	allowed := min(usedShare*b.Share*float64(total.Requests)+usedSlack*b.Slack*portion, float64(total.Requests))
	return float64(total.NewReplies) >= min(minEvidence, math.Floor(evidencePortion*allowed))
}

// obstacle returns why a version that is not bad can't be promoted or completed, empty if nothing
// is known to stand in the way of its promotion.
func (b Bounds) obstacle(s Situation) string {
	switch {
	case s.NewSlots == 0:
		return "no warm searcher of the target version"
	case !s.hasCapacity():
		return fmt.Sprintf("warm searchers of the target version have %d slots, the others %d", s.NewSlots, s.OldSlots)
	case s.Verdict.Suspected:
		return "the replies of the target version are suspicious"
	case s.Order.Status.Phase == Promote && s.PromotedFor < minPromoted:
		return "it was promoted too late"
	case s.Order.Status.Phase == Promote:
		return fmt.Sprintf("%d requests run on searchers of other versions, %d instances have not confirmed the promotion", s.RunningOld, s.Unconfirmed)
	case !s.evidence(b):
		return fmt.Sprintf("only %d replies of the target version", s.Sums.Total().NewReplies)
	}
	return ""
}

// withinRamp reports whether the new version would stay within the bounds if it got a number of
// requests more.
func (b Bounds) withinRamp(total Counts, more float64) bool {
	return float64(total.Sent)+more <= b.Share*float64(total.Requests)+rampSlack*b.Slack
}

// isSpent reports whether a promoted version will soon have got as many requests as a bad one may get
// until the end of the order's duration.
func (b Bounds) isSpent(s Situation, portion float64) bool {
	total := s.Sums.Total()
	rate := float64(total.Requests) / s.Elapsed.Seconds()
	limit := b.Share*float64(total.Requests)/portion + b.Slack
	return float64(total.Sent)+rate*decisionDelay.Seconds() >= limit
}

// rampFits reports whether the ramp can last for at least a quarter of its planned time. A shorter one
// yields too few replies to justify the writes of its status.
func (b Bounds) rampFits(s Situation, portion float64) bool {
	total := s.Sums.Total()
	perPortion := float64(total.Requests) / portion
	return b.withinRamp(total, (rampShare-b.Share)*perPortion*(promoteAt-rampAt)/4)
}
