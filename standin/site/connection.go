package site

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Connection is a connection of a caller, who keeps it and sends one request at a time. Unlike
// an http.Client it never sends a request again on its own.
type Connection struct {
	// Header holds headers that are sent with each request.
	Header http.Header
	conn   net.Conn
	reader *bufio.Reader
}

// Connect opens a connection to an instance.
func Connect(address string) (*Connection, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.conn.Close() }

// Ask sends a request and returns the status of its answer, or zero if the connection ends
// without a whole one. It waits no longer than the deadline and a second. usable says whether
// another request can be sent.
func (c *Connection) Ask(method, path, id string, deadline time.Duration) (status int, usable bool) {
	if c.conn.SetDeadline(time.Now().Add(deadline+time.Second)) != nil {
		return 0, false
	}
	var headers bytes.Buffer
	_ = c.Header.Write(&headers) // a buffer takes all
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n%s\r\n",
		method, path, Host, id, deadline.Milliseconds(), &headers)
	if err != nil {
		return 0, false
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, false
	}
	return response.StatusCode, !response.Close
}
