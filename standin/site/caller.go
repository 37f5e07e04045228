package site

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Caller is a stand-in of a caller with its own connections.
type Caller struct {
	// Header holds headers that are sent with each request.
	Header http.Header
	client *http.Client
}

// NewCaller returns a caller without connections.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// Close ends the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Resolve asks an instance for addresses.
func (c *Caller) Resolve(ctx context.Context, directory, domain string) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/resolve?name="+Host+"&region=r&zone="+domain, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	return answer.Addresses, json.NewDecoder(response.Body).Decode(&answer)
}

// Answer is what a caller got.
type Answer struct {
	Status    int
	Body      string
	Signature string
	// Parts are the signatures of the shards in the answer, Missing is the number of
	// those that are not.
	Parts   []string
	Missing int
}

// Ask sends one request.
func (c *Caller) Ask(ctx context.Context, address, method, path, id string, deadline time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return Answer{}, err
	}
	if c.Header != nil {
		request.Header = c.Header.Clone()
	}
	request.Host = Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Status: response.StatusCode, Body: string(body), Signature: response.Header.Get("Server-Seal")}
	if parts := response.Header.Get("Part-Seals"); parts != "" {
		a.Parts = strings.Split(parts, ", ")
	}
	if text := response.Header.Get("Missing-Parts"); text != "" {
		if a.Missing, err = strconv.Atoi(text); err != nil {
			return Answer{}, err
		}
	}
	return a, nil
}
