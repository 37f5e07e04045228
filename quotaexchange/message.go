package quotaexchange

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/quota"
)

// Types of messages.
const (
	// typeSolicit asks an instance for its delegations, typeDelegation is the reply.
	typeSolicit    = "s"
	typeDelegation = "d"
	// typeLeave says that the sender will coordinate no longer.
	typeLeave = "l"
	// typeQuestion asks a coordinator for tokens, typeGrant is the reply.
	typeQuestion = "q"
	typeGrant    = "g"
)

// message is a message of any type.
type message struct {
	Type string `json:"t"`
	From string `json:"f"`

	// Start and AskedAt identify a question for delegations: the start of its sender, and when it was
	// sent by the sender's boot clock, in nanoseconds. The reply repeats both.
	Start   int64 `json:"s,omitempty"`
	AskedAt int64 `json:"k,omitempty"`
	// Claims says that the sender has delegations of the receiver, maybe of an earlier process.
	Claims bool `json:"h,omitempty"`
	// Mask has a bit for each bucket that is delegated, Credit for each whose credit is lent. Instances is
	// the number by which the sender divides the quotas.
	Mask      uint16 `json:"m,omitempty"`
	Credit    uint16 `json:"c,omitempty"`
	Instances int    `json:"i,omitempty"`

	Question *question `json:"q,omitempty"`
	Grant    *grant    `json:"g,omitempty"`
}

// limit is a quota.Limit.
type limit struct {
	PerSecond float64 `json:"r"`
	Burst     float64 `json:"b"`
	Version   int64   `json:"v"`
}

// question is a quota.Question.
type question struct {
	Account string `json:"a"`
	ID      uint64 `json:"n"`
	Waiting int    `json:"w"`
	Ahead   int    `json:"h,omitempty"`
	Limit   limit  `json:"l"`
}

// grant is a quota.Grant. Times are in microseconds.
type grant struct {
	Account    string `json:"a"`
	ID         uint64 `json:"n"`
	Tokens     int    `json:"t,omitempty"`
	Next       int64  `json:"x,omitempty"`
	RetryAfter int64  `json:"y,omitempty"`
	New        bool   `json:"e,omitempty"`
	Limit      limit  `json:"l"`
}

func encodeQuestion(q quota.Question) *question {
	return &question{Account: q.Account, ID: q.ID, Waiting: q.Waiting, Ahead: q.Ahead, Limit: limit(q.Limit)}
}

func (q *question) decode() quota.Question {
	return quota.Question{Account: q.Account, ID: q.ID, Waiting: max(q.Waiting, 0), Ahead: max(q.Ahead, 0), Limit: quota.Limit(q.Limit)}
}

func encodeGrant(g quota.Grant) *grant {
	return &grant{
		Account: g.Account, ID: g.ID, Tokens: g.Tokens, Next: g.Next.Microseconds(), RetryAfter: g.RetryAfter.Microseconds(),
		New: g.New, Limit: limit(g.Limit),
	}
}

func (g *grant) decode() quota.Grant {
	return quota.Grant{
		Account: g.Account, ID: g.ID, Tokens: g.Tokens, Next: time.Duration(g.Next) * time.Microsecond,
		RetryAfter: time.Duration(g.RetryAfter) * time.Microsecond, New: g.New, Limit: quota.Limit(g.Limit),
	}
}
