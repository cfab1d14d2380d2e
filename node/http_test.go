package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"testing"

	"dunestand/internal/protocol"
)

// response is a response from a controller. The zero value means that none was received.
type response struct {
	status int
	body   []byte
	header http.Header
}

// job decodes the job state in the body. It returns the zero state if the body holds none.
func (r response) job() protocol.JobState {
	var state protocol.JobState
	_ = protocol.Decode(r.body, &state)
	return state
}

func (r response) accepted() bool {
	return r.status == http.StatusOK || r.status == http.StatusCreated
}

// send sends one request with the encoded body; nil: no body. It returns the zero response on any
// error.
func send(ctx context.Context, client *http.Client, method, url string, body any) response {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(protocol.Encode(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return response{}
	}
	received, err := client.Do(request)
	if err != nil {
		return response{}
	}
	defer received.Body.Close()
	raw, err := io.ReadAll(received.Body)
	if err != nil {
		return response{}
	}
	return response{received.StatusCode, raw, received.Header}
}

// jobPath and cancelPath return the paths of user requests about a job.
func jobPath(id string) string    { return protocol.PathSubmit + "/" + id }
func cancelPath(id string) string { return jobPath(id) + "/cancel" }

const metricsPath = "/metrics"

// controllerLog returns a logger that writes to standard error if the test runs with -v, and nil
// otherwise.
func controllerLog(controller string) *slog.Logger {
	if !testing.Verbose() {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", controller)
}
