package upstream

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/peer"
)

// HTTP headers of the upstream protocol.
const (
	headerWorkID         = "Wharf-Work-Id"
	headerDeadlineMs     = "Wharf-Deadline-Ms"
	headerDeadlineUnixMs = "Wharf-Deadline-Unix-Ms"
)

// kind selects how the reply to a request is checked and decoded.
type kind uint8

const (
	kindSearch kind = iota + 1
	kindRun
	kindDelete
	kindState
)

// Request is an encoded request, ready to be written.
type Request struct {
	kind   kind
	workID string
	wire   []byte
}

// Deadline gives the deadline of a request in two forms: the time that remains, and the
// absolute time in Unix milliseconds.
type Deadline struct {
	Remaining time.Duration
	UnixMs    int64
}

// Search asks a searcher to search one shard of a snapshot.
type Search struct {
	Index    string `json:"index"`
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	Query    string `json:"query"`
}

// Run asks a searcher to run a booking. Key is the idempotency key.
type Run struct {
	Key  string `json:"key"`
	Item string `json:"item"`
}

// State is the state page of a searcher. It may be out of date or wrong.
type State struct {
	Draining bool
	// Load is the share of its capacity that the searcher uses. A value above one means
	// that it is overloaded.
	Load      float64
	Snapshots []peer.HeldSnapshot
}

// Reply is a valid reply. If the status is 200, Search is set for a search, Run for a
// booking and State for a state request, and the other two are nil. All three are nil for
// a delete request and for any other status.
type Reply struct {
	Status int
	Search *SearchReply
	Run    *RunReply
	State  *State
	// Cancelled is set if a delete request ended work that was running.
	Cancelled bool
	// Closed is set if the connection cannot be used after this reply.
	Closed bool
}

// SearchReply is the body of a reply to a Search.
type SearchReply struct {
	WorkID   string `json:"work_id"`
	Index    string `json:"index"`
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	// Body is any JSON value; it is passed on as it is.
	Body json.RawMessage `json:"body"`
}

// RunReply is the body of a reply to a Run.
type RunReply struct {
	WorkID string `json:"work_id"`
	Key    string `json:"key"`
	// Body is any JSON value; it is passed on as it is.
	Body json.RawMessage `json:"body"`
}

// NewSearchRequest returns the request that searches one shard. workID identifies the
// work to the searcher. It fails if address cannot be the host of a URL.
func NewSearchRequest(address, workID string, d Deadline, s Search) (*Request, error) {
	return newRequest(kindSearch, http.MethodPost, address, "/v1/search", workID, &d, s)
}

// NewRunRequest returns the request that runs a booking. workID identifies the work to
// the searcher. It fails if address cannot be the host of a URL.
func NewRunRequest(address, workID string, d Deadline, r Run) (*Request, error) {
	return newRequest(kindRun, http.MethodPost, address, "/v1/run", workID, &d, r)
}

// NewDeleteRequest returns the request that cancels the work with the given ID. It fails
// if address and workID do not form a valid URL.
func NewDeleteRequest(address, workID string) (*Request, error) {
	return newRequest(kindDelete, http.MethodDelete, address, "/v1/work/"+workID, workID, nil, nil)
}

// NewStateRequest returns the request for the state page of a searcher. It fails if
// address cannot be the host of a URL.
func NewStateRequest(address string) (*Request, error) {
	return newRequest(kindState, http.MethodGet, address, "/v1/state", "", nil, nil)
}

// newRequest encodes a request. An empty workID, a nil d and a nil content are left out.
func newRequest(k kind, method, address, path, workID string, d *Deadline, content any) (*Request, error) {
	var body bytes.Buffer
	if content != nil {
		if err := json.NewEncoder(&body).Encode(content); err != nil {
			return nil, errors.Trace(err)
		}
	}
	r, err := http.NewRequest(method, "http://"+address+path, &body)
	if err != nil {
		return nil, errors.Annotate(err, "request")
	}
	r.Header.Set("User-Agent", "wharf-broker")
	if content != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if workID != "" {
		r.Header.Set(headerWorkID, workID)
	}
	if d != nil {
		r.Header.Set(headerDeadlineMs, strconv.FormatInt(d.Remaining.Milliseconds(), 10))
		r.Header.Set(headerDeadlineUnixMs, strconv.FormatInt(d.UnixMs, 10))
	}
	var wire bytes.Buffer
	if err := r.Write(&wire); err != nil {
		return nil, errors.Annotate(err, "request")
	}
	return &Request{kind: k, workID: workID, wire: wire.Bytes()}, nil
}

// parseReply decodes a response and checks it against the request. An error means that
// the connection can no longer be trusted and has to be closed.
func (r *Request) parseReply(response *http.Response, body []byte) (Reply, error) {
	reply := Reply{Status: response.StatusCode, Closed: response.Close}
	if reply.Status < 200 || reply.Status > 599 {
		return reply, errors.Errorf("status %d", reply.Status)
	}
	if err := r.checkWorkID(response, body); err != nil {
		return reply, err
	}
	if reply.Status != http.StatusOK {
		return reply, nil
	}
	var err error
	switch r.kind {
	case kindSearch:
		reply.Search = new(SearchReply)
		err = json.Unmarshal(body, reply.Search)
	case kindRun:
		reply.Run = new(RunReply)
		err = json.Unmarshal(body, reply.Run)
	case kindState:
		reply.State, err = parseState(body)
	case kindDelete:
		var answer struct {
			State string `json:"state"`
		}
		err = json.Unmarshal(body, &answer)
		reply.Cancelled = answer.State == "cancelled"
	}
	return reply, errors.Annotate(err, "reply body")
}

// checkWorkID checks that a reply belongs to the work of the request. The work ID is
// taken from the body, or from the header if the body has none; if both have one, they
// must agree. Any reply to a booking must carry the ID, also a refusal: otherwise a late
// refusal of other work would be taken as proof that the booking was not run. A reply to
// a search must carry it if the status is 200. Other replies to a search, and replies to
// a delete request, may omit it. A reply to a state request must carry none.
func (r *Request) checkWorkID(response *http.Response, body []byte) error {
	var named struct {
		WorkID string `json:"work_id"`
	}
	_ = json.Unmarshal(body, &named)
	id := named.WorkID
	if header := response.Header.Get(headerWorkID); id == "" {
		id = header
	} else if header != "" && header != id {
		return errors.Errorf("reply names work %q and %q", header, id)
	}
	required := r.kind == kindRun || r.kind == kindSearch && response.StatusCode == http.StatusOK
	if id == r.workID || id == "" && !required {
		return nil
	}
	return errors.Errorf("reply is for work %q, not %q", id, r.workID)
}

// parseState decodes a state page. It fails if the page has no field draining.
func parseState(body []byte) (*State, error) {
	var page struct {
		Draining  *bool   `json:"draining"`
		Load      float64 `json:"load"`
		Snapshots []struct {
			Index       string   `json:"index"`
			ID          string   `json:"id"`
			Number      uint64   `json:"number"`
			ShardsTotal uint32   `json:"shards_total"`
			Shards      []uint32 `json:"shards"`
		} `json:"snapshots"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, err
	}
	if page.Draining == nil {
		return nil, errors.New("state page does not say whether the upstream is draining")
	}
	state := &State{Draining: *page.Draining, Load: page.Load}
	for _, s := range page.Snapshots {
		state.Snapshots = append(state.Snapshots, peer.HeldSnapshot{
			Index: s.Index, ID: s.ID, Number: s.Number, ShardsTotal: s.ShardsTotal, Shards: s.Shards,
		})
	}
	return state, nil
}
