package requestlog

// Messages of the log lines about single requests.
const (
	// Refused says that the gateway returned an error of its own instead of an answer.
	Refused = "not answered"
	// PartialOrLate says that a request to several shards got a partial answer, a late one
	// or, because too few parts were answered, none.
	PartialOrLate = "answer is not whole in time"
	// UnansweredOrLate says that a request that needs only one searcher got no successful
	// answer, or a late one.
	UnansweredOrLate = "no answer in time"
	// OpenAtEnd says that a request was still being served when the instance ended.
	OpenAtEnd = "request is still open at the end"
	// ReadLate says that a request lay unread for long before it was served.
	ReadLate = "request was read late"
)

// keyLeftOut is the key for the number of lines that were left out before a line.
const keyLeftOut = "lines_left_out"

// AttemptRecord records one attempt to run a request on a searcher. Without a Searcher no
// attempt was made, and Outcome is the reason.
type AttemptRecord struct {
	Searcher string `json:"searcher,omitempty"`
	// StartedMs and EndedMs are in milliseconds since the arrival of the request. EndedMs
	// is zero if the attempt was still running, or ended within the first millisecond.
	StartedMs int64  `json:"started_ms"`
	EndedMs   int64  `json:"ended_ms,omitempty"`
	Outcome   string `json:"outcome"`
}

// Line is a decoded log line of an instance. Fields that the line does not have are zero.
type Line struct {
	Time     string `json:"time"`
	Message  string `json:"msg"`
	Instance string `json:"instance"`
	Request  string `json:"request"`
	Route    string `json:"route"`
	Path     string `json:"path"`
	Status   int    `json:"status"`
	Reason   string `json:"reason"`
	// Shards is the number of shards that a request was for, Needed the number of parts that
	// its answer must have at least, and Answered the number of parts that it got.
	Shards   int `json:"shards"`
	Needed   int `json:"needed"`
	Answered int `json:"answered"`
	// AfterMs is the time since the arrival of the request, in milliseconds.
	AfterMs int64 `json:"after_ms"`
	// Attempts holds the attempts at Service, for a request that needs only one searcher.
	// AttemptsByShard holds the attempts at each shard whose part is missing or late, by
	// the shard's service.
	Service         string                     `json:"service"`
	Attempts        []AttemptRecord            `json:"tries"`
	AttemptsByShard map[string][]AttemptRecord `json:"open"`
	// Searcher is set in lines about one searcher.
	Searcher string `json:"searcher"`
	// Stage and Searchers say how far a request that is still open has come, and which
	// searchers have it.
	Stage     string   `json:"stage"`
	Searchers []string `json:"searchers"`
	// LeftOut is the number of lines that were left out before this one.
	LeftOut int64 `json:"lines_left_out"`
}
