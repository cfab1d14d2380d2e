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

// idleConnTimeout is how long an unused connection is kept.
const idleConnTimeout = 60 * time.Second

// dialTimeout is how long opening a connection may take.
const dialTimeout = time.Second

// orDefault returns d, or a dialer on the machine's own network if d is nil.
func (d DialFunc) orDefault() DialFunc {
	if d != nil {
		return d
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}

// Client sends requests to one server over a few kept connections.
type Client struct {
	baseURL          string
	http             *http.Client
	maxResponseBytes int64
}

// NewClient makes a client for the server at addr (IP:port). It opens at most
// maxConns connections, by dial, and reads responses of at most maxResponseBytes.
func NewClient(dial DialFunc, addr string, maxConns int, maxResponseBytes int64) *Client {
	t := &http.Transport{
		DialContext:         dial.orDefault(),
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: t}, maxResponseBytes: maxResponseBytes}
}

// Do sends one request and reads the whole response. An error means that the
// request may or may not have been carried out.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, timeout units.Micros) (int, []byte, error) {
	return do(ctx, c.http, method, c.baseURL+path, body, timeout, c.maxResponseBytes)
}

// Caller sends single requests to many servers, each on a connection of its own.
type Caller struct {
	http             *http.Client
	maxResponseBytes int64
}

// NewCaller makes a caller that reads responses of at most maxResponseBytes.
func NewCaller(dial DialFunc, maxResponseBytes int64) *Caller {
	t := &http.Transport{DialContext: dial.orDefault(), DisableKeepAlives: true, DisableCompression: true}
	return &Caller{http: &http.Client{Transport: t}, maxResponseBytes: maxResponseBytes}
}

// Post sends one request to the server at addr (IP:port).
func (c *Caller) Post(ctx context.Context, addr, path string, body []byte, timeout units.Micros) (int, []byte, error) {
	return do(ctx, c.http, http.MethodPost, "http://"+addr+path, body, timeout, c.maxResponseBytes)
}

func do(ctx context.Context, client *http.Client, method, url string, body []byte, timeout units.Micros, maxResponseBytes int64) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/cbor")
		// The standard client repeats a request on a fresh connection when it
		// thinks that safe. Here a repeat is the caller's decision alone.
		request.GetBody = nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(content)) > maxResponseBytes {
		return 0, nil, fmt.Errorf("answer of %s is over %d bytes", url, maxResponseBytes)
	}
	return response.StatusCode, content, nil
}
