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

// response is a controller's response. The zero value: none was received.
type response struct {
	status int
	body   []byte
	header http.Header
}

// job decodes the state of a job; the zero state if the body holds none.
func (r response) job() protocol.JobState {
	var state protocol.JobState
	_ = protocol.Decode(r.body, &state)
	return state
}

func (r response) accepted() bool {
	return r.status == http.StatusOK || r.status == http.StatusCreated
}

// send sends one request. body is encoded; nil: none.
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

// jobPath and cancelPath are the users' paths of a job.
func jobPath(id string) string    { return protocol.PathSubmit + "/" + id }
func cancelPath(id string) string { return jobPath(id) + "/cancel" }

const metricsPath = "/metrics"

// controllerLog is a controller's log: on stderr with -v, otherwise nil.
func controllerLog(controller string) *slog.Logger {
	if !testing.Verbose() {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", controller)
}
