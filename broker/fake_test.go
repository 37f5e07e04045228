package broker

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// behaviour is what a fake searcher does with one request for work.
type behaviour struct {
	// hold keeps the work running until it is closed or the work is cancelled.
	hold <-chan struct{}
	// workID replaces the work id of the reply.
	workID string
	status int
	// breaks closes the connection after the request was read, and mute leaves
	// it open without a reply.
	breaks, mute bool
	// stubborn work runs on when it is cancelled.
	stubborn bool
	// copies is how many times more the reply is sent.
	copies int
}

// fake is a searcher that counts what it is given.
type fake struct {
	listener net.Listener

	mu       sync.Mutex
	behave   func(n int, path string) behaviour
	draining bool
	running  int
	most     int
	seen     int
	runs     int
	open     int
	mostOpen int
	deletes  int
	polls    int
	closed   int
	works    map[string]*fakeWork
	conns    map[net.Conn]bool
}

type fakeWork struct{ cancel, done chan struct{} }

func newFake(t *testing.T, behave func(n int, path string) behaviour) *fake {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &fake{listener: l, behave: behave, works: make(map[string]*fakeWork), conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); f.breakAll() })
	return f
}

func (f *fake) address() string { return f.listener.Addr().String() }

// read returns a value under the fake's lock.
func (f *fake) read(value func(*fake) int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return value(f)
}

// script replaces the behaviour and starts counting running work anew.
func (f *fake) script(behave func(n int, path string) behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behave, f.most = behave, 0
}

// breakAll ends all connections, as a restart does.
func (f *fake) breakAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

func (f *fake) serve(c net.Conn) {
	f.mu.Lock()
	f.conns[c] = true
	f.open++
	f.mostOpen = max(f.mostOpen, f.open)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.conns, c)
		f.open--
		f.closed++
		f.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var body map[string]any
		_ = json.NewDecoder(request.Body).Decode(&body)
		switch {
		case request.Method == http.MethodGet:
			f.page(c)
		case request.Method == http.MethodDelete:
			f.delete(c, strings.TrimPrefix(request.URL.Path, "/v1/work/"))
		default:
			if !f.work(c, request, body) {
				return
			}
		}
	}
}

func respond(c net.Conn, status int, body any) {
	text, _ := json.Marshal(body)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
}

// page always says that all is well, unless the fake is told to drain.
func (f *fake) page(c net.Conn) {
	f.mu.Lock()
	f.polls++
	page := map[string]any{"draining": f.draining, "load": 0.0, "snapshots": []map[string]any{
		{"index": "x", "id": "s1", "number": 1, "shards_total": 1, "shards": []int{0}}}}
	f.mu.Unlock()
	respond(c, http.StatusOK, page)
}

func (f *fake) delete(c net.Conn, id string) {
	f.mu.Lock()
	f.deletes++
	w := f.works[id]
	if w != nil {
		select {
		case <-w.cancel:
		default:
			close(w.cancel)
		}
	}
	f.mu.Unlock()
	state := "unknown"
	if w != nil {
		<-w.done
		state = "cancelled"
	}
	respond(c, http.StatusOK, map[string]any{"state": state})
}

// work runs one request and returns false if the connection ends with it.
func (f *fake) work(c net.Conn, request *http.Request, body map[string]any) bool {
	id := request.Header.Get("Wharf-Work-Id")
	w := &fakeWork{cancel: make(chan struct{}), done: make(chan struct{})}
	f.mu.Lock()
	f.seen++
	if request.URL.Path == "/v1/run" {
		f.runs++
	}
	b := f.behave(f.seen, request.URL.Path)
	f.works[id] = w
	f.running++
	f.most = max(f.most, f.running)
	f.mu.Unlock()
	if b.breaks {
		_ = c.Close()
	}
	if b.hold != nil {
		cancel := w.cancel
		if b.stubborn {
			cancel = nil
		}
		select {
		case <-b.hold:
		case <-cancel:
		}
	}
	f.mu.Lock()
	f.running--
	close(w.done)
	f.mu.Unlock()
	if b.mute {
		_, _ = io.Copy(io.Discard, c) // until the broker gives the connection up
	}
	if b.breaks || b.mute {
		return false
	}
	if b.workID != "" {
		id = b.workID
	}
	body["work_id"], body["body"] = id, fmt.Sprint("answer to ", cmp.Or(body["query"], body["item"]))
	if b.status == 0 {
		b.status = http.StatusOK
	}
	for range 1 + b.copies {
		respond(c, b.status, body)
	}
	return true
}

// eventually waits for a condition that has to come true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen in time: %s", what)
		}
	}
}
