package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// ErrNotKnown reports that the process knows nothing of the request.
const ErrNotKnown = errors.ConstError("request is not known")

// maxAnswerBytes bounds the answer that a client reads.
const maxAnswerBytes = 16 << 20

// Client talks to operator ports.
type Client struct {
	http *http.Client
}

// NewClient returns a client with the operator's identity. timeout bounds one
// call.
func NewClient(id *identity.Identity, timeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{TLSClientConfig: id.Client([]string{protocol})},
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the status of the process at address.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, address, "/v1/status", nil, &s)
}

// Instances returns the processes that the one at address knows of.
func (c *Client) Instances(ctx context.Context, address string) ([]control.Instance, error) {
	var all []control.Instance
	return all, c.call(ctx, http.MethodGet, address, "/v1/instances", nil, &all)
}

// Order gives an order directly to the process at address.
func (c *Client) Order(ctx context.Context, address string, o control.Order) (Held, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Held{}, errors.Trace(err)
	}
	var h Held
	return h, c.call(ctx, http.MethodPost, address, "/v1/orders", body, &h)
}

// Explain returns, as JSON, what the process at address knows of a request. It
// fails with ErrNotKnown if that is nothing.
func (c *Client) Explain(ctx context.Context, address, id string) (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.call(ctx, http.MethodGet, address, "/v1/explain/"+url.PathEscape(id), nil, &raw)
}

func (c *Client) call(ctx context.Context, method, address, path string, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return errors.Annotatef(err, "operator port %s", address)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return errors.Annotatef(err, "operator port %s", address)
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Annotatef(refusal(answer.StatusCode, text), "operator port %s", address)
	}
	return errors.Annotatef(json.Unmarshal(text, into), "operator port %s", address)
}

func refusal(status int, text []byte) error {
	var f failure
	if err := json.Unmarshal(text, &f); err == nil && f.Code != result.OK {
		return &result.Error{Code: f.Code, Run: parseRun(f.Run), Detail: f.Text}
	}
	if status == http.StatusNotFound {
		return ErrNotKnown
	}
	return errors.Errorf("status %d: %s", status, f.Text)
}

func parseRun(text string) result.Run {
	for _, r := range []result.Run{result.RunNo, result.RunYes} {
		if r.String() == text {
			return r
		}
	}
	return result.RunUnknown
}
