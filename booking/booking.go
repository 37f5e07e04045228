// Package booking runs bookings at most once: it keeps the claims of partitions
// on the platform and dispatches claimed bookings to the owners of searchers.
package booking

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/wisteriawharf/wisteriawharf/claim"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// maxInFlight bounds the bookings that one broker works on at once.
	maxInFlight = 2048
	// inboxCapacity bounds the requests that wait for one bucket.
	inboxCapacity = 1024
	// replyGrace is how long after its deadline a booking is still answered with
	// its true outcome in place of none.
	replyGrace = 250 * time.Millisecond
	// openTimeout bounds the attempt to reach an owner. When a failure domain is
	// lost, a booking can meet all its owners before it is offered elsewhere.
	openTimeout = 250 * time.Millisecond
)

// Caller sends a frame to another process and receives the reply; a peer.Node
// does. A process that is not reached within opening did not get the frame.
type Caller interface {
	CallWithin(ctx context.Context, opening time.Duration, address string, kind peer.Kind, request, response peer.Message) error
}

// Config describes a Service.
type Config struct {
	// ID is the incarnation of this process.
	ID       string
	State    *control.State
	Store    objectstore.Store
	Clock    clock.Clock
	Log      *slog.Logger
	Registry prometheus.Registerer
	// WritesPerSecond bounds the writes of claims that all processes together make
	// on the platform. Each partition has an equal share, which its owner may use.
	// Beyond it more claims share a write.
	WritesPerSecond float64
}

// Validate returns an error that names the first setting that is missing.
func (c Config) Validate() error {
	switch {
	case c.ID == "":
		return errors.New("id is missing")
	case c.State == nil:
		return errors.New("state is missing")
	case c.Store == nil:
		return errors.New("store is missing")
	case c.Clock == nil:
		return errors.New("clock is missing")
	case c.Log == nil:
		return errors.New("log is missing")
	case c.Registry == nil:
		return errors.New("registry is missing")
	case c.WritesPerSecond <= 0:
		return errors.Errorf("writes per second is %v, it must be above 0", c.WritesPerSecond)
	}
	return nil
}

// Service runs the bookings whose claim partitions this process is asked for.
type Service struct {
	config  Config
	limiter *rate.Limiter
	metrics *metrics
	load    *load
	// unreached are owners of searchers that bookings did not reach.
	unreached unreached

	ctx    context.Context
	caller Caller

	mu       sync.Mutex
	draining bool
	buckets  map[string]*bucket
	running  sync.WaitGroup
	slots    chan struct{}
	stop     chan struct{} // closed when no further booking is admitted
}

// New returns a service that refuses bookings until Run is called.
func New(config Config) (*Service, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Service{
		config:    config,
		limiter:   rate.NewLimiter(rate.Limit(config.WritesPerSecond/claim.Partitions), writeBurst),
		metrics:   newMetrics(config.Registry),
		load:      newLoad(),
		unreached: unreached{owners: make(map[string]time.Duration)},
		buckets:   make(map[string]*bucket),
		slots:     make(chan struct{}, maxInFlight),
		stop:      make(chan struct{}),
	}, nil
}

// Handlers returns the handlers of the frames that the service takes.
func (s *Service) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{peer.KindBook: s.serve}
}

// Run works until ctx ends. It then refuses new bookings and returns when those
// in progress have ended.
func (s *Service) Run(ctx context.Context, caller Caller) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.mu.Lock()
	s.ctx, s.caller = work, caller
	s.mu.Unlock()
	s.running.Go(func() { s.followWriteShare(ctx) })
	s.clean(ctx)
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	close(s.stop)
	s.running.Wait()
	return nil
}

func (s *Service) serve(ctx context.Context, stream *peer.Stream) error {
	var request peer.Book
	if err := stream.Receive(&request); err != nil {
		return err
	}
	reply := s.Book(ctx, request)
	s.count(request.Service, reply)
	return stream.Send(&reply)
}

// Book claims and runs one booking. It returns when the outcome is known, and
// at the latest shortly after the deadline. A booking goes on when ctx ends, so
// that a repeat finds its outcome.
func (s *Service) Book(ctx context.Context, request peer.Book) peer.BookReply {
	job, err := s.admit(request)
	if err != nil {
		return refusal(err)
	}
	wait := time.NewTimer(job.remaining(s.config.Clock) + replyGrace)
	defer wait.Stop()
	select {
	case reply := <-job.reply:
		return reply
	case <-wait.C:
		return refusal(result.MayHaveRun(result.OutcomeUnknown, "no outcome by the deadline"))
	case <-ctx.Done():
		return refusal(result.MayHaveRun(result.OutcomeUnknown, "the request was given up"))
	}
}

// job is one booking request on its way through a bucket.
type job struct {
	claim.Request
	book  peer.Book
	reply chan peer.BookReply
}

func (j *job) remaining(c clock.Clock) time.Duration { return j.Deadline - c.Boottime() }

// admit checks the request and hands it to its bucket.
func (s *Service) admit(request peer.Book) (*job, *result.Error) {
	if err := s.check(request); err != nil {
		return nil, err
	}
	now := s.config.Clock.Now()
	issued, err := claim.IssueTime(request.Key, now)
	if err != nil {
		return nil, result.From(err)
	}
	remaining := time.Duration(request.RemainingMs) * time.Millisecond
	if absolute := time.UnixMilli(request.DeadlineUnixMs).Sub(now); absolute < remaining {
		remaining = absolute
	}
	if remaining <= 0 {
		return nil, result.NotRun(result.DeadlinePast, "%d ms ago", -remaining.Milliseconds())
	}
	if remaining > settings.MaxDeadline {
		remaining = settings.MaxDeadline
	}
	attempt, err := uuid.NewRandom()
	if err != nil {
		return nil, result.NotRun(result.Overloaded, "%v", err)
	}
	j := &job{
		Request: claim.Request{
			Key:      request.Key,
			Attempt:  attempt.String(),
			Digest:   claim.Digest(request.Item),
			Deadline: s.config.Clock.Boottime() + remaining,
		},
		book:  request,
		reply: make(chan peer.BookReply, 1),
	}
	return j, s.enqueue(j, claim.ObjectName(request.Service, claim.Partition(request.Key), issued))
}

// count keeps names that are not services out of the labels, because a caller
// could otherwise create any number of them.
func (s *Service) count(service string, reply peer.BookReply) {
	if reply.Code == uint16(result.UnknownService) || reply.Code == uint16(result.SettingsUnknown) {
		service = ""
	}
	s.metrics.replies.WithLabelValues(service, codeLabel(reply.Code)).Inc()
}

func (s *Service) check(request peer.Book) *result.Error {
	set := s.config.State.View().Settings
	if set == nil {
		return result.NotRun(result.SettingsUnknown, "")
	}
	service := set.Services[request.Service]
	if service == nil {
		return result.NotRun(result.UnknownService, "%q", request.Service)
	}
	if service.Kind != settings.KindBooking {
		return result.NotRun(result.WrongKind, "%q is a %s service", request.Service, service.Kind)
	}
	return nil
}

func (s *Service) enqueue(j *job, name string) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.caller == nil || s.draining {
		return result.NotRun(result.Stopping, "")
	}
	select {
	case s.slots <- struct{}{}:
	default:
		return result.NotRun(result.Overloaded, "%d bookings are in progress", maxInFlight)
	}
	b := s.buckets[name]
	if b == nil {
		b = newBucket(s, name)
		s.buckets[name] = b
		s.running.Add(1)
		go b.run(s.ctx)
	}
	if !b.inbox.Push(j) {
		<-s.slots
		return result.NotRun(result.QueueFull, "claims of %s", name)
	}
	return nil
}

// finish answers a job and frees its place.
func (s *Service) finish(j *job, reply peer.BookReply) {
	j.reply <- reply
	<-s.slots
}

// retire removes a bucket that has nothing to do. It reports false if requests
// came in the meantime.
func (s *Service) retire(b *bucket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.inbox.Len() > 0 {
		return false
	}
	delete(s.buckets, b.name)
	return true
}

func (s *Service) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// started reports whether Run was called.
func (s *Service) started() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caller != nil
}

func refusal(err *result.Error) peer.BookReply {
	return peer.BookReply{Code: uint16(err.Code), Run: uint8(err.Run), Detail: err.Detail}
}
