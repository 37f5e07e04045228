package peer

//go:generate go tool msgp -o frames_gen.go -tests=false

// Batch carries the parts of one query that go to searchers of one broker.
// The broker answers with one PartReply per part, in the order in which parts
// finish. DeadlineUnixMs is absolute, RemainingMs is what was left when the
// frame was sent; a receiver uses the earlier of the two.
type Batch struct {
	QueryID        string `msg:"q"`
	Service        string `msg:"s"`
	Query          string `msg:"b"`
	DeadlineUnixMs int64  `msg:"d"`
	RemainingMs    int64  `msg:"r"`
	Parts          []Part `msg:"p"`
}

// Part asks one searcher for one shard of the pinned snapshot. ID is unique
// within its query over all attempts, so that a reply belongs to one attempt.
type Part struct {
	ID       uint32 `msg:"i"`
	Searcher string `msg:"s"`
	Index    string `msg:"x"`
	Shard    uint32 `msg:"h"`
	Snapshot string `msg:"n"`
}

// PartReply is the outcome of one Part. Code and Run are those of package
// result; State is the searcher's state after the part.
type PartReply struct {
	QueryID  string        `msg:"q"`
	PartID   uint32        `msg:"i"`
	Code     uint16        `msg:"c"`
	Run      uint8         `msg:"r"`
	Detail   string        `msg:"d"`
	Shard    uint32        `msg:"h"`
	Snapshot string        `msg:"n"`
	Body     string        `msg:"b"`
	State    SearcherState `msg:"t"`
}

// Cancel withdraws parts of the batch whose stream carries it.
type Cancel struct {
	PartIDs []uint32 `msg:"p"`
}

// SearcherState is what a broker reports of a searcher that it owns.
type SearcherState struct {
	Searcher    string         `msg:"s"`
	QueueWaitUs int64          `msg:"w"`
	Free        int32          `msg:"f"`
	Cold        bool           `msg:"c"`
	Draining    bool           `msg:"d"`
	Usable      bool           `msg:"u"`
	Snapshots   []HeldSnapshot `msg:"n"`
}

// HeldSnapshot is a snapshot, its layout and the shards of it that one
// searcher holds. Number orders the snapshots of an index: higher is newer.
type HeldSnapshot struct {
	Index       string   `msg:"x"`
	ID          string   `msg:"i"`
	Number      uint64   `msg:"n"`
	ShardsTotal uint32   `msg:"t"`
	Shards      []uint32 `msg:"s"`
}

// StatusRequest subscribes to the states of all searchers that the receiving
// broker owns, repeated every IntervalMs.
type StatusRequest struct {
	IntervalMs int64 `msg:"i"`
}

// Status lists the searchers that the sending broker owns.
type Status struct {
	Broker    string          `msg:"b"`
	Searchers []SearcherState `msg:"s"`
}

// Book asks the owner of a claim partition to claim and run a booking.
type Book struct {
	Service        string `msg:"s"`
	Key            string `msg:"k"`
	Item           string `msg:"i"`
	DeadlineUnixMs int64  `msg:"d"`
	RemainingMs    int64  `msg:"r"`
}

// BookReply is the outcome of a Book. Repeated says that the outcome is that
// of an earlier request with the same key.
type BookReply struct {
	Code     uint16 `msg:"c"`
	Run      uint8  `msg:"r"`
	Detail   string `msg:"d"`
	Body     string `msg:"b"`
	Repeated bool   `msg:"p"`
}

// Run asks the owner of a searcher to dispatch a claimed booking once.
type Run struct {
	Service        string `msg:"s"`
	Searcher       string `msg:"u"`
	Key            string `msg:"k"`
	Item           string `msg:"i"`
	DeadlineUnixMs int64  `msg:"d"`
	RemainingMs    int64  `msg:"r"`
}

// RunReply is the outcome of a Run.
type RunReply struct {
	Code   uint16 `msg:"c"`
	Run    uint8  `msg:"r"`
	Detail string `msg:"d"`
	Body   string `msg:"b"`
}

// Heartbeat is sent to the coordinator of the record of a failure domain.
// Domain is the sender's own failure domain; Record is that of the record, which
// differs if the sender adopts the searchers of another domain. BoottimeNs is the sender's own clock, which the reply returns once a lease
// counted from it is confirmed by the platform.
type Heartbeat struct {
	ID              string `msg:"i"`
	Role            string `msg:"r"`
	Domain          string `msg:"d"`
	Record          string `msg:"n"`
	PeerAddress     string `msg:"p"`
	CallerAddress   string `msg:"c"`
	OperatorAddress string `msg:"o"`
	Leaving         bool   `msg:"l"`
	// Drained says that the sender dispatches nothing any more to searchers of the
	// record's domain, so that it can be taken out of the record at once.
	Drained    bool  `msg:"z"`
	BoottimeNs int64 `msg:"t"`
	// Epoch is the newest epoch of the domain's record that the sender knows.
	Epoch uint64 `msg:"e"`
}

// HeartbeatReply grants a lease counted from GrantedNs, on the clock of the
// heartbeat's sender. A GrantedNs of zero grants nothing.
type HeartbeatReply struct {
	Coordinator bool `msg:"c"`
	// Left says that the coordinator's record does not name the sender.
	Left      bool   `msg:"x"`
	Epoch     uint64 `msg:"e"`
	GrantedNs int64  `msg:"g"`
}

// Probe asks the receiver to test whether it reaches Address.
type Probe struct {
	Address string `msg:"a"`
}

// ProbeReply says whether the probed address answered.
type ProbeReply struct {
	Reached bool `msg:"r"`
}

// Confirm asks whether the receiver knows a newer epoch of the failure domain
// than Epoch, and whether it reaches the platform.
type Confirm struct {
	Domain string `msg:"d"`
	Epoch  uint64 `msg:"e"`
	ID     string `msg:"i"`
}

// ConfirmReply confirms Epoch only if Confirmed: the sender knows no newer
// epoch and does not reach the platform. ID is the incarnation that answers,
// because an address may have passed to another one.
type ConfirmReply struct {
	ID        string `msg:"i"`
	Confirmed bool   `msg:"c"`
	Epoch     uint64 `msg:"e"`
}

// Acknowledge tells a confirmer of a new epoch. After its reply the receiver
// never confirms an older epoch of that failure domain.
type Acknowledge struct {
	Domain string `msg:"d"`
	Epoch  uint64 `msg:"e"`
	Record []byte `msg:"r"`
	// Version is the version of the platform's object that holds Record.
	Version uint64 `msg:"v"`
}

// AcknowledgeReply carries the newest epoch that the receiver knows.
type AcknowledgeReply struct {
	ID    string `msg:"i"`
	Epoch uint64 `msg:"e"`
}

// Release hands searchers to their next owner. The sender dispatches nothing
// to them from before it sends the frame.
type Release struct {
	Domain    string             `msg:"d"`
	Epoch     uint64             `msg:"e"`
	From      string             `msg:"f"`
	Searchers []ReleasedSearcher `msg:"s"`
}

// ReleasedSearcher is one searcher of a Release with its cold-start state. An
// Allowance below zero says that the sender never used the searcher.
type ReleasedSearcher struct {
	ID        string `msg:"i"`
	Cold      bool   `msg:"c"`
	Allowance int32  `msg:"a"`
}

// ReleaseReply says whether the release was taken.
type ReleaseReply struct {
	Accepted bool `msg:"a"`
}

// Item is one piece of control state. Items of one name are ordered by Major,
// then Minor; the greater replaces the smaller.
type Item struct {
	Name  string `msg:"n"`
	Major uint64 `msg:"a"`
	Minor uint64 `msg:"i"`
	Value []byte `msg:"v"`
	// Change takes the place of Minor between processes, if it is not zero.
	Change uint64 `msg:"c"`
}

// Exchange compares control state. The first one of a stream carries only the
// digest of the sender's state. If the receiver's is another, a second one with
// Full set offers the state by name and order, without values.
type Exchange struct {
	ID      string `msg:"i"`
	Digest  uint64 `msg:"d"`
	Full    bool   `msg:"f"`
	Summary []Item `msg:"s"`
}

// ExchangeReply says whether the digests are the same. In answer to a full
// Exchange it carries items that are newer at the receiver and names those that
// are newer at the sender, which then sends them as an ExchangePush. Serving says
// that the receiver knows the settings that were the newest when it started.
type ExchangeReply struct {
	Serving bool     `msg:"v"`
	Same    bool     `msg:"s"`
	Newer   []Item   `msg:"n"`
	Wanted  []string `msg:"w"`
}

// ExchangePush carries the items that an ExchangeReply asked for, or the parts
// of settings that an ExchangeParts asked for, and asks for parts by digest. The
// sender ends the exchange when it has none of these to send.
type ExchangePush struct {
	Items  []Item         `msg:"i"`
	Parts  []SettingsPart `msg:"p"`
	Wanted []string       `msg:"w"`
}

// ExchangeParts answers an ExchangePush with the parts that it asked for, as far
// as the sender holds them, and asks for those of a revision that it received.
type ExchangeParts struct {
	Parts  []SettingsPart `msg:"p"`
	Wanted []string       `msg:"w"`
}

// SettingsPart is the packed content of a service settings file.
type SettingsPart struct {
	Digest string `msg:"d"`
	Packed []byte `msg:"c"`
}
