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

// Client sends requests to one server over a few kept connections. It may be used from
// several goroutines.
type Client struct {
	baseURL   string
	exchanger exchanger
}

// NewClient makes a client for the server at addr (IP:port). It opens at most
// maxConns connections, by dial, and reads responses of at most maxResponseBytes. A nil
// dial stands for the machine's own network.
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

// Do sends one request and returns the status and the whole body of the response; a nil
// body stands for none. It gives up after timeout, or when ctx ends. An error, such as a
// *ResponseTooLargeError, means that the request may or may not have been carried out.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, timeout units.Micros) (int, []byte, error) {
	return c.exchanger.do(ctx, method, c.baseURL+path, body, timeout)
}

// Caller sends single requests to many servers, each on a connection of its own.
// It may be used from several goroutines.
type Caller struct {
	exchanger exchanger
}

// NewCaller makes a caller that reads responses of at most maxResponseBytes. A nil dial
// stands for the machine's own network.
func NewCaller(dial DialFunc, maxResponseBytes int64) *Caller {
	t := &http.Transport{DialContext: dial.orDefault(), DisableKeepAlives: true, DisableCompression: true}
	return &Caller{exchanger{client: &http.Client{Transport: t}, maxResponseBytes: maxResponseBytes}}
}

// Post sends one request to the server at addr (IP:port). Its results and errors are those
// of Client.Do.
func (c *Caller) Post(ctx context.Context, addr, path string, body []byte, timeout units.Micros) (int, []byte, error) {
	return c.exchanger.do(ctx, http.MethodPost, "http://"+addr+path, body, timeout)
}

// ResponseTooLargeError reports a response that is longer than its client reads.
type ResponseTooLargeError struct {
	URL        string
	LimitBytes int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response of %s is over %d bytes", e.URL, e.LimitBytes)
}

// exchanger sends requests and reads their responses whole.
type exchanger struct {
	client           *http.Client
	maxResponseBytes int64
}

// do sends one request; a nil body stands for none.
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
	// The standard client repeats a request on a fresh connection when it
	// thinks that safe. Here a repeat is the caller's decision alone.
	request.GetBody = nil
	return request, nil
}
