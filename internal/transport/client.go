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

// DialFunc opens a connection. Its contract is that of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// idleConnTimeout is how long an unused connection is kept.
const idleConnTimeout = 60 * time.Second

// dialTimeout is how long opening a connection may take.
const dialTimeout = time.Second

// orDefault returns d, or net.Dialer with dialTimeout if d is nil.
func (d DialFunc) orDefault() DialFunc {
	if d != nil {
		return d
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}

// Client sends requests to one server over a pool of connections. It is safe for concurrent use.
type Client struct {
	baseURL   string
	exchanger exchanger
}

// NewClient returns a client of the server at addr (IP:port). It opens at most maxConns connections
// with dial, and accepts responses of at most maxResponseBytes. A nil dial means net.Dialer.
func NewClient(dial DialFunc, addr string, maxConns int, maxResponseBytes int64) *Client {
	t := &http.Transport{
		DialContext:         dial.orDefault(),
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{
		baseURL:   "http://" + addr,
		exchanger: exchanger{client: &http.Client{Transport: t}, maxResponseBytes: maxResponseBytes},
	}
}

// Do sends a request and returns the status and the body of the response. A nil body means a request
// without a body. Do fails after timeout, when ctx ends, or with a *ResponseTooLargeError. After an
// error, the server may or may not have processed the request.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, timeout units.Micros) (int, []byte, error) {
	return c.exchanger.do(ctx, method, c.baseURL+path, body, timeout)
}

// Caller sends requests to many servers, each on a new connection. It is safe for concurrent use.
type Caller struct {
	exchanger exchanger
}

// NewCaller returns a caller that accepts responses of at most maxResponseBytes. A nil dial means
// net.Dialer.
func NewCaller(dial DialFunc, maxResponseBytes int64) *Caller {
	t := &http.Transport{DialContext: dial.orDefault(), DisableKeepAlives: true, DisableCompression: true}
	return &Caller{exchanger{client: &http.Client{Transport: t}, maxResponseBytes: maxResponseBytes}}
}

// Post sends a request to the server at addr (IP:port). Its results and errors are those of
// Client.Do.
func (c *Caller) Post(ctx context.Context, addr, path string, body []byte, timeout units.Micros) (int, []byte, error) {
	return c.exchanger.do(ctx, http.MethodPost, "http://"+addr+path, body, timeout)
}

// ResponseTooLargeError reports a response that exceeds the limit of its client.
type ResponseTooLargeError struct {
	URL        string
	LimitBytes int64
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response of %s exceeds %d bytes", e.URL, e.LimitBytes)
}

// exchanger sends requests and reads their complete responses.
type exchanger struct {
	client           *http.Client
	maxResponseBytes int64
}

// do implements Client.Do and Caller.Post.
func (e exchanger) do(ctx context.Context, method, url string, body []byte, timeout units.Micros) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	request, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, e.maxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(content)) > e.maxResponseBytes {
		return 0, nil, &ResponseTooLargeError{URL: url, LimitBytes: e.maxResponseBytes}
	}
	return response.StatusCode, content, nil
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/cbor")
	// Without GetBody, http.Client cannot resend a request on a new connection after a failure.
	// Only the caller decides on retries.
	request.GetBody = nil
	return request, nil
}
