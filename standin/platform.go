// Package standin provides stand-ins for the systems that wisteriawharf meets,
// for tests and demonstrations: the platform's object service and the
// searchers behind a service. They can be made to fail, and they record facts
// that checks compare with what wisteriawharf reports.
package standin

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

// longestWatch is how long a watch waits for a change.
const longestWatch = 30 * time.Second

// PlatformConfig describes a platform stand-in.
type PlatformConfig struct {
	// Address serves the object service, Control the faults and statistics.
	Address string
	Control string
	// InstanceLag is how far the instance list lags behind at first.
	InstanceLag time.Duration
	// WriteBudget and ReadBudget are calls per second; seconds above them are
	// counted.
	WriteBudget int
	ReadBudget  int
	Log         *slog.Logger
}

// Validate returns an error that names the first setting that is wrong.
func (c PlatformConfig) Validate() error {
	switch {
	case c.Address == "":
		return errors.New("address is missing")
	case c.Control == "":
		return errors.New("control address is missing")
	case c.InstanceLag < 0:
		return errors.Errorf("instance lag %s is negative", c.InstanceLag)
	case c.WriteBudget < 1 || c.ReadBudget < 1:
		return errors.New("budgets must be at least 1 call per second")
	case c.Log == nil:
		return errors.New("log is missing")
	}
	return nil
}

// Platform is the platform stand-in.
type Platform struct {
	config    PlatformConfig
	objects   *objects
	budget    *budget
	instances *instanceList
	control   *server

	mu     sync.Mutex
	faults Faults
	// service is nil while the platform is down.
	service *server
	address string
}

// StartPlatform listens on both addresses and serves until Close.
func StartPlatform(config PlatformConfig) (*Platform, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	p := &Platform{
		config:    config,
		objects:   newObjects(),
		budget:    newBudget(config.WriteBudget, config.ReadBudget),
		instances: newInstanceList(),
		faults:    Faults{LagMs: config.InstanceLag.Milliseconds()},
	}
	service, err := serve(config.Address, http.HandlerFunc(p.serve))
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.service, p.address = service, service.address
	p.control, err = serve(config.Control, p.controlHandler())
	if err != nil {
		service.close()
		return nil, errors.Trace(err)
	}
	return p, nil
}

// Address returns the address of the object service.
func (p *Platform) Address() string { return p.address }

// ControlAddress returns the address of the faults and statistics.
func (p *Platform) ControlAddress() string { return p.control.address }

// Close stops both servers.
func (p *Platform) Close() {
	p.control.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.service != nil {
		p.service.close()
		p.service = nil
	}
}

// serve dispatches without http.ServeMux, which would rewrite object names
// that hold empty or dotted segments.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	name, isObject := strings.CutPrefix(r.URL.Path, "/objects/")
	switch {
	case isObject && name != "" && r.Method == http.MethodGet:
		p.serveGet(w, name)
	case isObject && name != "" && r.Method == http.MethodPut:
		p.servePut(w, r, name)
	case isObject && name != "" && r.Method == http.MethodDelete:
		p.serveDelete(w, r, name)
	case r.URL.Path == "/list" && r.Method == http.MethodGet:
		p.serveList(w, r)
	case r.URL.Path == "/watch" && r.Method == http.MethodGet:
		p.serveWatch(w, r)
	case r.URL.Path == "/instances" && r.Method == http.MethodGet:
		p.budget.count(callRead)
		p.pause()
		writeJSON(w, http.StatusOK, p.instances.at(time.Now(), p.currentFaults().lag()))
	default:
		http.Error(w, "no such path", http.StatusNotFound)
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, name string) {
	p.budget.count(callRead)
	p.pause()
	faults := p.currentFaults()
	stored, ok := p.objects.get(name, faults.StaleReads)
	if !ok || name == faults.Hidden {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", quoted(stored.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(stored.Value)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, name string) {
	p.budget.count(callWrite)
	match, err := precondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		return
	}
	if len(value) > objectstore.MaxValueBytes {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	// The write takes effect although the client may give up meanwhile.
	p.pause()
	version, ok := p.objects.put(name, value, match)
	p.loseReply()
	if !ok {
		http.Error(w, "object has another version", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", quoted(version))
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request, name string) {
	p.budget.count(callWrite)
	match, err := precondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.pause()
	found, removed := p.objects.remove(name, match)
	p.loseReply()
	switch {
	case !found:
		http.Error(w, "no such object", http.StatusNotFound)
	case !removed:
		http.Error(w, "object has another version", http.StatusPreconditionFailed)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

type listRow struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

type watchRow struct {
	listRow
	Value []byte `json:"value"`
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.budget.count(callRead)
	p.pause()
	faults := p.currentFaults()
	found, _ := p.objects.after(r.URL.Query().Get("prefix"), 0, faults.StaleReads)
	rows := make([]listRow, 0, len(found))
	for _, stored := range found {
		if stored.Name != faults.Hidden {
			rows = append(rows, listRow{stored.Name, stored.Version})
		}
	}
	writeJSON(w, http.StatusOK, rows)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	p.budget.count(callWatch)
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	p.pause()
	wait := time.NewTimer(longestWatch)
	defer wait.Stop()
	rows := []watchRow{}
	for len(rows) == 0 {
		found, changed := p.objects.after(r.URL.Query().Get("prefix"), after, false)
		for _, stored := range found {
			rows = append(rows, watchRow{listRow{stored.Name, stored.Version}, stored.Value})
		}
		if len(rows) > 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-wait.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	writeJSON(w, http.StatusOK, rows)
}

// precondition reads If-Match or If-None-Match, one of which is required.
func precondition(r *http.Request) (func(uint64) bool, error) {
	ifMatch, ifNone := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case ifNone == "*" && ifMatch == "" && r.Method == http.MethodPut:
		return func(version uint64) bool { return version == 0 }, nil
	case ifMatch != "" && ifNone == "":
		want, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
		if err != nil || want == 0 {
			return nil, errors.Errorf("If-Match %q is not a version", ifMatch)
		}
		return func(version uint64) bool { return version == want }, nil
	default:
		return nil, errors.New("exactly one of If-Match and If-None-Match: * is required")
	}
}

func quoted(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}

// server is an HTTP server with its listener.
type server struct {
	address string
	http    *http.Server
	done    chan struct{}
}

func serve(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return serveOn(listener, handler), nil
}

func serveOn(listener net.Listener, handler http.Handler) *server {
	s := &server{
		address: listener.Addr().String(),
		http:    &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s
}

// close ends all connections and waits until the port is free.
func (s *server) close() {
	_ = s.http.Close()
	<-s.done
}
