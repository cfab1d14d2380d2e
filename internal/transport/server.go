// Package transport moves bytes: HTTP servers and clients with limits and
// timeouts, and length-prefixed frames between controllers. It knows nothing
// of what the bytes mean.
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

// MaxBodyBytes is the largest body that is read or written, in bytes.
const MaxBodyBytes = 64 << 10

// Request is an HTTP request whose body was read whole.
type Request struct {
	ID       string // the path's {id}, if the route has one
	Body     []byte // of a POST request; nil if TooLarge
	TooLarge bool   // the body is over MaxBodyBytes
}

// Response is the answer to a Request.
type Response struct {
	Status      int
	Body        []byte
	ContentType string // "": application/cbor
	RetryAfter  int    // in seconds, sent if positive
}

// Handler answers requests. It is called from several goroutines at once.
type Handler func(ctx context.Context, r Request) Response

// Server is an HTTP server with a bound on its connections. Routes are added before Serve
// is called.
type Server struct {
	router      *echo.Echo
	maxConns    int
	idleTimeout time.Duration
	log         *slog.Logger
}

// NewServer makes a server that holds at most maxConns connections, and closes
// those on which nothing was asked for idleTimeout: half of a connection is
// left when its client was cut off or gave up, and thousands may be at once.
func NewServer(maxConns int, idleTimeout units.Micros, log *slog.Logger) *Server {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = sendErrorStatus
	return &Server{router: router, maxConns: maxConns, idleTimeout: idleTimeout.Duration(), log: log}
}

// sendErrorStatus answers a request that no handler has answered with its status alone.
func sendErrorStatus(err error, c echo.Context) {
	status := http.StatusInternalServerError
	if httpError, ok := errors.AsType[*echo.HTTPError](err); ok {
		status = httpError.Code
	}
	if !c.Response().Committed {
		_ = c.NoContent(status)
	}
}

// Handle adds a route. A path may hold one parameter, ":id".
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

// typicalBodyBytes is as much as is set aside at once for a body that declares its length.
const typicalBodyBytes = 8 << 10

var errBodyTooLarge = errors.New("body too large")

// readBody reads a whole body. It returns errBodyTooLarge if that is over MaxBodyBytes.
func readBody(reader io.Reader, declaredBytes int64) ([]byte, error) {
	if declaredBytes > MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	// Most bodies are a few KiB long and get room for all of it at once; no more is
	// set aside for what has only been declared.
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

// Serve answers requests on listener until ctx ends, whose end it does not report as an
// error, or the listener fails for good. The context of each request ends with ctx. Serve
// closes its connections and waits for the handlers that still run, so that none is left
// behind.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return acceptLoop(ctx, listener, s.maxConns, s.log, func(ctx context.Context, conn net.Conn) {
		newConnection(conn, s.router, s.idleTimeout, s.log).serve(ctx)
	})
}
