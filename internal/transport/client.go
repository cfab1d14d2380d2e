package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dunestand/internal/units"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// idleConnection is how long an unused connection is kept.
const idleConnection = 60 * time.Second

// dialTimeout is how long opening a connection may take.
const dialTimeout = time.Second

// or gives the machine's own network where no other is given.
func (d DialFunc) or() DialFunc {
	if d != nil {
		return d
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}

// Client sends requests to one server over a few kept connections.
type Client struct {
	base string
	http *http.Client
	most int64
}

// NewClient makes a client for the server at addr (IP:port). It opens at most
// conns connections, by dial, and reads answers of at most maxAnswer bytes.
func NewClient(dial DialFunc, addr string, conns int, maxAnswer int64) *Client {
	t := &http.Transport{
		DialContext:         dial.or(),
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleConnection,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: t}, most: maxAnswer}
}

// Do sends one request and reads the whole answer. An error means that the
// request may or may not have been carried out.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, limit units.Micros) (int, []byte, error) {
	return do(ctx, c.http, method, c.base+path, body, limit, c.most)
}

// Caller sends single requests to many servers, each on a connection of its own.
type Caller struct {
	http *http.Client
	most int64
}

// NewCaller makes a caller that reads answers of at most maxAnswer bytes.
func NewCaller(dial DialFunc, maxAnswer int64) *Caller {
	t := &http.Transport{DialContext: dial.or(), DisableKeepAlives: true, DisableCompression: true}
	return &Caller{http: &http.Client{Transport: t}, most: maxAnswer}
}

// Post sends one request to the server at addr (IP:port).
func (c *Caller) Post(ctx context.Context, addr, path string, body []byte, limit units.Micros) (int, []byte, error) {
	return do(ctx, c.http, http.MethodPost, "http://"+addr+path, body, limit, c.most)
}

func do(ctx context.Context, client *http.Client, method, url string, body []byte, limit units.Micros, most int64) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/cbor")
		// The standard client repeats a request on a fresh connection when it
		// thinks that safe. Here a repeat is the caller's decision alone.
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(answer)) > most {
		return 0, nil, fmt.Errorf("answer of %s is over %d bytes", url, most)
	}
	return resp.StatusCode, answer, nil
}
