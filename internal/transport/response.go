package transport

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// bufferedResponse is an http.ResponseWriter that buffers a response and sends it in a single write.
// It is reused for all responses of a connection.
type bufferedResponse struct {
	header http.Header
	status int // 0: not set yet
	body   []byte
	wire   bytes.Buffer
}

// reset discards the response and keeps the buffers.
func (r *bufferedResponse) reset() {
	clear(r.header)
	r.status = 0
	r.body = r.body[:0]
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *bufferedResponse) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *bufferedResponse) Write(content []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, content...)
	return len(content), nil
}

// send writes the response to w, without its body for a HEAD request.
func (r *bufferedResponse) send(w io.Writer, withBody bool) error {
	r.WriteHeader(http.StatusOK)
	r.wire.Reset()
	r.wire.WriteString("HTTP/1.1 ")
	r.wire.WriteString(strconv.Itoa(r.status))
	r.wire.WriteByte(' ')
	r.wire.WriteString(http.StatusText(r.status))
	r.wire.WriteString("\r\nDate: ")
	r.wire.Write(time.Now().UTC().AppendFormat(r.wire.AvailableBuffer(), http.TimeFormat))
	r.wire.WriteString("\r\nContent-Length: ")
	r.wire.Write(strconv.AppendInt(r.wire.AvailableBuffer(), int64(len(r.body)), 10))
	r.wire.WriteString("\r\n")
	_ = r.header.Write(&r.wire) // writes to a bytes.Buffer do not fail
	r.wire.WriteString("\r\n")
	if withBody {
		r.wire.Write(r.body)
	}
	_, err := w.Write(r.wire.Bytes())
	return err
}
