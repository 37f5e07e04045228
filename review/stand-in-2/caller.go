package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "lanes.example"

// reply is what a caller got for a request.
type reply struct {
	status int
	header http.Header
	body   []byte
	// closes says that the gateway closes the connection after the answer.
	closes bool
	// err is set if the answer is not complete.
	err error
}

// callerConn is a connection of a caller.
type callerConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// header holds lines that are sent with each request, each with its end.
	header string
}

// connect opens a connection to a gateway.
func connect(g *gateway) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", g.address(callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request.
func (c *callerConn) send(method, path, id string, limit time.Duration, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, host, id, limit.Milliseconds(), c.header)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second)) // fails only if the connection is closed
	_, err := c.conn.Write(b.Bytes())
	return err
}

// receive reads the answer to a request.
func (c *callerConn) receive(method string) reply {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body, err: err, closes: response.Close}
}

// ask sends a request on a new connection and returns the answer.
func ask(g *gateway, method, path, id string, limit time.Duration, body []byte) reply {
	c, err := connect(g)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	if err := c.send(method, path, id, limit, body); err != nil {
		return reply{err: err}
	}
	return c.receive(method)
}
