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

// MaxBody is the largest body that is read or written, in bytes.
const MaxBody = 64 << 10

// Request is an HTTP request whose body was read whole.
type Request struct {
	ID       string // the path's {id}, if the route has one
	Body     []byte
	TooLarge bool
}

// Response is the answer to a Request. RetryAfter, in seconds, is sent when
// it is positive.
type Response struct {
	Status      int
	Body        []byte
	ContentType string
	RetryAfter  int
}

// Handler answers requests.
type Handler func(ctx context.Context, r Request) Response

// Server is an HTTP server with a bound on its connections.
type Server struct {
	echo  *echo.Echo
	conns int
	idle  time.Duration
	log   *slog.Logger
}

// NewServer makes a server that holds at most conns connections, and closes
// those on which nothing was asked for the time given: half of a connection is
// left when its client was cut off or gave up, and thousands may be at once.
func NewServer(conns int, idle units.Micros, log *slog.Logger) *Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		if !c.Response().Committed {
			_ = c.NoContent(status)
		}
	}
	return &Server{echo: e, conns: conns, idle: idle.Duration(), log: log}
}

// Handle adds a route. A path may hold one parameter, ":id".
func (s *Server) Handle(method, path string, h Handler) {
	s.echo.Add(method, path, func(c echo.Context) error {
		r := Request{ID: c.Param("id")}
		if method == http.MethodPost {
			body, err := readBounded(c.Request().Body, c.Request().ContentLength)
			switch {
			case errors.Is(err, errTooLarge):
				r.TooLarge = true
			case err != nil:
				return c.NoContent(http.StatusBadRequest)
			}
			r.Body = body
		}
		resp := h(c.Request().Context(), r)
		if resp.RetryAfter > 0 {
			c.Response().Header().Set("Retry-After", strconv.Itoa(resp.RetryAfter))
		}
		if resp.ContentType == "" {
			resp.ContentType = "application/cbor"
		}
		return c.Blob(resp.Status, resp.ContentType, resp.Body)
	})
}

const usualBody = 8 << 10

var errTooLarge = errors.New("body too large")

func readBounded(r io.Reader, declared int64) ([]byte, error) {
	if declared > MaxBody {
		return nil, errTooLarge
	}
	// Most bodies are a few KiB long and get room for all of it at once; no more is
	// set aside for what has only been declared.
	var body bytes.Buffer
	body.Grow(int(min(max(declared, 0), usualBody)) + bytes.MinRead)
	if _, err := body.ReadFrom(io.LimitReader(r, MaxBody+1)); err != nil {
		return nil, err
	}
	if body.Len() > MaxBody {
		return nil, errTooLarge
	}
	return body.Bytes(), nil
}

// Serve answers requests on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return acceptLoop(ctx, l, s.conns, s.log, func(conn net.Conn) {
		newConnection(conn, s.echo, s.idle, s.log).serve(ctx)
	})
}
