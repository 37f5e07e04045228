package load

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// class is how an answer counts.
type class int

const (
	classError class = iota
	classGood
	classPartial
	classRefused
)

// verdict is the result of checking one answer. kind names the failure of a
// classError.
type verdict struct {
	class    class
	kind     string
	code     result.Code
	run      string
	coverage float64
	// mixed, foreign and falseCoverage are the failures of checks.
	mixed         bool
	foreign       bool
	falseCoverage bool
	// work identifies the run that a booking answer is from.
	work string
}

// Kinds of errors.
const (
	kindConnect   = "connect"
	kindCut       = "cut"
	kindTimeout   = "timeout"
	kindOverrun   = "too_many_outstanding"
	kindStatus    = "unexpected_status"
	kindMalformed = "malformed_answer"
	kindWrong     = "failed_check"
	kindFacts     = "failed_facts"
)

func failed(kind string) verdict { return verdict{class: classError, kind: kind} }

func failedSend(err error) verdict {
	switch {
	case errors.Is(err, errCut):
		return failed(kindCut)
	case errors.Is(err, errTimeout):
		return failed(kindTimeout)
	default:
		return failed(kindConnect)
	}
}

type refusalAnswer struct {
	Code      result.Code `json:"code"`
	Message   string      `json:"message"`
	Run       string      `json:"run"`
	RequestID string      `json:"request_id"`
}

// checkRefusal checks the form of a refusal. Whether its statement about the
// run is true is known only from the facts of the stand-ins.
func checkRefusal(got answer) verdict {
	var refusal refusalAnswer
	if err := json.Unmarshal(got.body, &refusal); err != nil {
		return failed(kindStatus)
	}
	known := refusal.Code != result.OK && slices.Contains(result.Codes(), refusal.Code)
	stated := slices.Contains([]string{"no", "unknown", "yes"}, refusal.Run)
	if got.status < 400 || !known || !stated || refusal.RequestID == "" {
		return failed(kindStatus)
	}
	inProgress := refusal.Code == result.InProgress
	if inProgress != (got.status == http.StatusConflict) || refusal.Code == result.OutcomeUnknown && got.status < 500 {
		return failed(kindStatus)
	}
	return verdict{class: classRefused, code: refusal.Code, run: refusal.Run}
}

// coverage is what an answer says about the shards.
type coverage struct {
	Asked    int `json:"asked"`
	Answered int `json:"answered"`
	Missing  []struct {
		Shard uint32      `json:"shard"`
		Code  result.Code `json:"code"`
	} `json:"missing"`
}

type searchAnswer struct {
	RequestID string   `json:"request_id"`
	Snapshot  string   `json:"snapshot"`
	Coverage  coverage `json:"coverage"`
	Results   []struct {
		Shard uint32          `json:"shard"`
		Body  json.RawMessage `json:"body"`
	} `json:"results"`
}

// searchBody is what a searcher says about its own answer.
type searchBody struct {
	Shard       *uint32 `json:"shard"`
	Snapshot    string  `json:"snapshot"`
	ShardsTotal int     `json:"shards_total"`
	WorkID      string  `json:"work_id"`
	Query       string  `json:"query"`
}

// checkSearch checks a search answer against its query.
func checkSearch(got answer, query string) verdict {
	if got.status != http.StatusOK {
		return checkRefusal(got)
	}
	var parsed searchAnswer
	if err := json.Unmarshal(got.body, &parsed); err != nil || parsed.RequestID == "" || parsed.Snapshot == "" {
		return failed(kindMalformed)
	}
	v := verdict{falseCoverage: !coverageHolds(parsed)}
	works := make(map[string]bool)
	for _, part := range parsed.Results {
		var body searchBody
		if err := json.Unmarshal(part.Body, &body); err != nil || body.Shard == nil {
			return failed(kindMalformed)
		}
		v.foreign = v.foreign || body.Query != query || works[body.WorkID]
		v.mixed = v.mixed || body.Snapshot != parsed.Snapshot
		v.falseCoverage = v.falseCoverage || *body.Shard != part.Shard || body.ShardsTotal != parsed.Coverage.Asked
		works[body.WorkID] = true
	}
	if v.foreign || v.mixed || v.falseCoverage {
		v.class, v.kind = classError, kindWrong
		return v
	}
	v.coverage = float64(parsed.Coverage.Answered) / float64(parsed.Coverage.Asked)
	v.class = classGood
	if parsed.Coverage.Answered < parsed.Coverage.Asked {
		v.class = classPartial
	}
	return v
}

// coverageHolds reports whether every shard of the layout is exactly once among
// the results or, with a reason, among the missing.
func coverageHolds(parsed searchAnswer) bool {
	c := parsed.Coverage
	if c.Asked < 1 || c.Answered != len(parsed.Results) || c.Answered+len(c.Missing) != c.Asked {
		return false
	}
	seen := make(map[uint32]bool, c.Asked)
	once := func(shard uint32) bool {
		ok := !seen[shard] && int64(shard) < int64(c.Asked)
		seen[shard] = true
		return ok
	}
	for _, part := range parsed.Results {
		if !once(part.Shard) {
			return false
		}
	}
	for _, missing := range c.Missing {
		if !once(missing.Shard) || missing.Code == result.OK {
			return false
		}
	}
	return true
}

type bookingAnswer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Body      struct {
		Key    string `json:"key"`
		Item   string `json:"item"`
		WorkID string `json:"work_id"`
	} `json:"body"`
	Repeated *bool `json:"repeated"`
}

// checkBooking checks a booking answer against its key and item.
func checkBooking(got answer, key, item string) verdict {
	if got.status != http.StatusOK {
		return checkRefusal(got)
	}
	var parsed bookingAnswer
	if err := json.Unmarshal(got.body, &parsed); err != nil || parsed.RequestID == "" || parsed.Repeated == nil {
		return failed(kindMalformed)
	}
	if parsed.Key != key || parsed.Body.Key != key || parsed.Body.Item != item {
		return verdict{class: classError, kind: kindWrong, foreign: true}
	}
	return verdict{class: classGood, run: "yes", coverage: 1, work: parsed.Body.WorkID}
}

func codeName(code result.Code) string { return strconv.Itoa(int(code)) }
