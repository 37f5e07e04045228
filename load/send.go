package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

type searchRequest struct {
	Query      string `json:"query"`
	DeadlineMs int64  `json:"deadline_ms"`
}

type bookingRequest struct {
	Item       string `json:"item"`
	DeadlineMs int64  `json:"deadline_ms"`
}

func (g *generator) search(a arrival, intended time.Time) {
	query := fmt.Sprintf("query-%s-%d", g.name, a.number)
	body := searchRequest{Query: query, DeadlineMs: g.config.SearchDeadline.Milliseconds()}
	var got answer
	g.launch(a, intended, func() verdict {
		var err error
		got, err = g.post("/v1/search/"+a.service.Service, a, body, "", g.config.SearchDeadline)
		if err != nil {
			return failedSend(err)
		}
		return checkSearch(got, query)
	}, func(s sample) {
		if s.verdict.class == classPartial || s.verdict.class == classRefused {
			g.searches.add(query, s, claimOf(got))
		}
	})
}

// book sends a booking and, if the arrival says so, sends it again with the
// same key.
func (g *generator) book(a arrival, intended time.Time) {
	key, err := uuid.NewV7()
	if err != nil {
		g.recorder.add(sample{service: a.service.Service, intended: intended, verdict: failed(kindConnect)})
		return
	}
	b := booking{key: key.String(), item: fmt.Sprintf("item-%s-%d", g.name, a.number)}
	if a.repeat && a.concurrent {
		g.attempt(a, b, intended, func() {})
		g.attempt(a, b, intended, func() {})
		return
	}
	g.attempt(a, b, intended, func() {
		if !a.repeat {
			return
		}
		time.Sleep(a.pause)
		g.attempt(a, b, time.Now(), func() {})
	})
}

type booking struct {
	key  string
	item string
}

func (g *generator) attempt(a arrival, b booking, intended time.Time, then func()) {
	body := bookingRequest{Item: b.item, DeadlineMs: g.config.BookingDeadline.Milliseconds()}
	g.launch(a, intended, func() verdict {
		got, err := g.post("/v1/book/"+a.service.Service, a, body, b.key, g.config.BookingDeadline)
		if err != nil {
			return failedSend(err)
		}
		return checkBooking(got, b.key, b.item)
	}, func(s sample) {
		g.bookings.add(b.key, s)
		then()
	})
}

// post sends one request and waits until its deadline and the grace have
// passed.
func (g *generator) post(path string, a arrival, body any, key string, deadline time.Duration) (answer, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	by := time.Now().Add(deadline + g.config.Grace)
	// An interrupted run still waits for the answers of its requests.
	ctx := context.Background()
	return g.addresses.send(ctx, by, func(address string) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
		if err != nil {
			return nil, errors.Trace(err)
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Wharf-Caller", fmt.Sprintf("caller-%d", a.number%uint64(g.config.Callers)))
		if key != "" {
			request.Header.Set("Idempotency-Key", key)
		}
		return request, nil
	})
}
