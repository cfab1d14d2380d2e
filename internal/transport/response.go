package transport

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// responseBuffer is a http.ResponseWriter that gathers a whole response, so that it
// goes out in a single write. It is used again for each response of a connection.
type responseBuffer struct {
	header  http.Header
	status  int // 0: not chosen yet
	body    []byte
	message bytes.Buffer
}

func newResponseBuffer() *responseBuffer { return &responseBuffer{header: http.Header{}} }

func (r *responseBuffer) reset() {
	clear(r.header)
	r.status = 0
	r.body = r.body[:0]
}

// Header implements http.ResponseWriter.
func (r *responseBuffer) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseBuffer) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *responseBuffer) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, p...)
	return len(p), nil
}

// send writes the response to w. The answer to a HEAD request has no body.
func (r *responseBuffer) send(w io.Writer, withBody bool) error {
	r.WriteHeader(http.StatusOK)
	r.message.Reset()
	r.message.WriteString("HTTP/1.1 ")
	r.message.WriteString(strconv.Itoa(r.status))
	r.message.WriteByte(' ')
	r.message.WriteString(http.StatusText(r.status))
	r.message.WriteString("\r\nDate: ")
	r.message.Write(time.Now().UTC().AppendFormat(r.message.AvailableBuffer(), http.TimeFormat))
	r.message.WriteString("\r\nContent-Length: ")
	r.message.Write(strconv.AppendInt(r.message.AvailableBuffer(), int64(len(r.body)), 10))
	r.message.WriteString("\r\n")
	_ = r.header.Write(&r.message) // a buffer takes everything
	r.message.WriteString("\r\n")
	if withBody {
		r.message.Write(r.body)
	}
	_, err := w.Write(r.message.Bytes())
	return err
}
