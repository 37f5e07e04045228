package requestlog

// Messages of the lines about single requests.
const (
	// Refused: the gateway answered with a failure of its own.
	Refused = "not answered"
	// PartialOrLate: an answer from several shards lacks parts, or came late.
	PartialOrLate = "answer is not whole in time"
	// UnansweredOrLate: a request to one searcher has no answer, or came late.
	UnansweredOrLate = "no answer in time"
)

const keyLeftOut = "lines_left_out"

// Attempt is one attempt, or the reason why it was not made.
type Attempt struct {
	Searcher string `json:"searcher,omitempty"`
	// StartedMs and EndedMs count from the arrival of the request, in milliseconds.
	// EndedMs is zero if the attempt still ran, or ended within the first.
	StartedMs int64  `json:"started_ms"`
	EndedMs   int64  `json:"ended_ms,omitempty"`
	Outcome   string `json:"outcome"`
}

// Line is a log line of an instance. Lines that are not about a request have only
// some of the fields.
type Line struct {
	Time     string `json:"time"`
	Message  string `json:"msg"`
	Instance string `json:"instance"`
	Request  string `json:"request"`
	Route    string `json:"route"`
	Path     string `json:"path"`
	Status   int    `json:"status"`
	Reason   string `json:"reason"`
	// Shards, Needed and Answered count the parts of an answer from several shards.
	Shards   int   `json:"shards"`
	Needed   int   `json:"needed"`
	Answered int   `json:"answered"`
	AfterMs  int64 `json:"after_ms"`
	// Tries are the attempts at Service, Open those at each shard that has no part in
	// the answer or a late one.
	Service string           `json:"service"`
	Attempts   []Attempt            `json:"tries"`
	AttemptsByShard    map[string][]Attempt `json:"open"`
	// Searcher is set in lines about one searcher.
	Searcher string `json:"searcher"`
	LeftOut  int64  `json:"lines_left_out"`
}
