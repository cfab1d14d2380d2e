package admissioncheck

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"dunestand/internal/protocol"
)

// submitTimeout limits the time from sending a submission to the end of its response.
const submitTimeout = 5 * time.Second

// Response is a controller's response to a submission. The zero value means that no response was
// received.
type Response struct {
	Kind       ResponseKind
	Status     int           // HTTP status
	RetryAfter time.Duration // 0: not in the response
}

// Submit sends a submission to the controller at an address (IP:port) and checks the response.
// user identifies the sender in the history.
func (c *Checker) Submit(ctx context.Context, user int, address string, job map[string]any) Response {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	sent := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+protocol.PathSubmit,
		bytes.NewReader(protocol.Encode(job)))
	if err != nil {
		return Response{}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}
	}
	kind, plan := ClassifyResponse(response.StatusCode, body)
	c.ResponseReceived(user, job[protocol.FieldID].(string), sent, kind, plan)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // 0 if the header is missing
	return Response{Kind: kind, Status: response.StatusCode, RetryAfter: time.Duration(seconds) * time.Second}
}
