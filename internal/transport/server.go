// Package transport provides HTTP servers and clients with limits and timeouts, and connections
// between controllers that carry length-prefixed frames. It does not interpret the contents.
package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"dunestand/internal/units"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 64 << 10

// Request is an HTTP request with its complete body.
type Request struct {
	ID       string // value of the path parameter ":id", if the route has one
	Body     []byte // of a POST request; nil if TooLarge
	TooLarge bool   // the body exceeds MaxBodyBytes
}

// Response is the response to a Request.
type Response struct {
	Status      int
	Body        []byte
	ContentType string // "" means application/cbor
	RetryAfter  int    // seconds for the Retry-After header; 0: no header
}

// Handler returns the response to a request. It must be safe for concurrent use.
type Handler func(ctx context.Context, r Request) Response

// Server is an HTTP server with a limit on its connections. All calls of Handle must precede Serve.
type Server struct {
	router      *echo.Echo
	maxConns    int
	idleTimeout time.Duration
	log         *slog.Logger
}

// NewServer returns a server with at most maxConns connections. It closes connections that have been
// idle for idleTimeout, because clients that fail or are partitioned can leave thousands of
// half-open connections.
func NewServer(maxConns int, idleTimeout units.Micros, log *slog.Logger) *Server {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = sendErrorStatus
	return &Server{router: router, maxConns: maxConns, idleTimeout: idleTimeout.Duration(), log: log}
}

// sendErrorStatus responds to a request that no handler has served, with a status and no body.
func sendErrorStatus(err error, c echo.Context) {
	status := http.StatusInternalServerError
	if httpError, ok := errors.AsType[*echo.HTTPError](err); ok {
		status = httpError.Code
	}
	if !c.Response().Committed {
		_ = c.NoContent(status)
	}
}

// Handle adds a route. The path may contain one parameter, ":id".
func (s *Server) Handle(method, path string, handler Handler) {
	s.router.Add(method, path, func(c echo.Context) error {
		request := Request{ID: c.Param("id")}
		if method == http.MethodPost {
			body, err := readBody(c.Request().Body, c.Request().ContentLength)
			switch {
			case errors.Is(err, errBodyTooLarge):
				request.TooLarge = true
			case err != nil:
				return c.NoContent(http.StatusBadRequest)
			}
			request.Body = body
		}
		response := handler(c.Request().Context(), request)
		if response.RetryAfter > 0 {
			c.Response().Header().Set("Retry-After", strconv.Itoa(response.RetryAfter))
		}
		if response.ContentType == "" {
			response.ContentType = "application/cbor"
		}
		return c.Blob(response.Status, response.ContentType, response.Body)
	})
}

// typicalBodyBytes bounds the memory that is allocated in advance for a body of a declared length.
const typicalBodyBytes = 8 << 10

var errBodyTooLarge = errors.New("body too large")

// readBody reads a complete body. It returns errBodyTooLarge if the body exceeds MaxBodyBytes.
func readBody(reader io.Reader, declaredBytes int64) ([]byte, error) {
	if declaredBytes > MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	// One allocation suffices for most bodies, which are a few KiB long. A declared length alone
	// must not cause a larger one.
	var body bytes.Buffer
	body.Grow(int(min(max(declaredBytes, 0), typicalBodyBytes)) + bytes.MinRead)
	if _, err := body.ReadFrom(io.LimitReader(reader, MaxBodyBytes+1)); err != nil {
		return nil, err
	}
	if body.Len() > MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	return body.Bytes(), nil
}

// Serve responds to requests on listener until ctx ends, which is not an error, or the listener is
// closed. The context of each request ends with ctx. Before Serve returns, it closes its connections
// and waits for running handlers.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return acceptLoop(ctx, listener, s.maxConns, s.log, func(ctx context.Context, conn net.Conn) {
		newConnection(conn, s.router, s.idleTimeout, s.log).serve(ctx)
	})
}
