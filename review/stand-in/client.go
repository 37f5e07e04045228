package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "records.example"

// resolve asks a gateway which front addresses the clients of a zone are to use.
func resolve(directory, zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + directory + "/resolve?name=" + host + "&region=area&zone=" + zone)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addrs []string `json:"addrs"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, err
	}
	return body.Addrs, nil
}

// clientConn is a kept connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// client sends requests and keeps its connections to each address.
type client struct {
	mu   sync.Mutex
	idle map[string][]*clientConn
}

func newClient() *client { return &client{idle: make(map[string][]*clientConn)} }

// outcome is what a client saw of one attempt.
type outcome struct {
	status   int
	header   http.Header
	body     []byte
	retry    string
	reused   bool
	err      error
	sentAt   time.Time
	answered time.Time
}

// dial opens a connection within one second.
func dial(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *client) take(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return conn
}

func (c *client) keep(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], conn)
}

// ask sends one attempt on a kept connection or on a new one.
func (c *client) ask(address, method, path, id string, limit time.Duration, body string) outcome {
	conn := c.take(address)
	reused := conn != nil
	if conn == nil {
		var err error
		if conn, err = dial(address); err != nil {
			return outcome{err: fmt.Errorf("connect: %w", err), sentAt: time.Now()}
		}
	}
	o := exchange(conn, method, path, id, limit, body)
	o.reused = reused
	if o.err == nil && o.header.Get("Connection") != "close" {
		c.keep(address, conn)
	} else {
		_ = conn.Close()
	}
	return o
}

// exchange sends one attempt on a connection and waits for the answer until the time limit.
func exchange(conn *clientConn, method, path, id string, limit time.Duration, body string) outcome {
	o := outcome{sentAt: time.Now()}
	_ = conn.SetDeadline(o.sentAt.Add(limit + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, limit.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, o.err = io.WriteString(conn, text+"\r\n"+body); o.err != nil {
		o.answered = time.Now()
		return o
	}
	var response *http.Response
	if response, o.err = http.ReadResponse(conn.reader, &http.Request{Method: method}); o.err == nil {
		o.status, o.header, o.retry = response.StatusCode, response.Header, response.Header.Get("Retry-After")
		if response.Close {
			o.header.Set("Connection", "close")
		}
		o.body, o.err = io.ReadAll(response.Body)
	}
	o.answered = time.Now()
	return o
}
