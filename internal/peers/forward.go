package peers

import (
	"context"
	"errors"
	"net/http"

	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

const (
	// forwardTimeout leaves some of the 2 s that users wait for a poll.
	forwardTimeout = 1700 * units.Millisecond
	// forwardSubmitTimeout is short: after it the controller can still accept a job by itself.
	forwardSubmitTimeout = 200 * units.Millisecond
	// maxStatus is the greatest status that a response may have.
	maxStatus = 599
)

// ErrNoResponse says that the connection to the leader was lost before a response came, or that
// what came was none. The leader may have carried the request out.
var ErrNoResponse = errors.New("no response from the leader")

// Forward forwards a user's request about a job to a peer and returns its response. It fails with
// transport.ErrLinkDown if the request was not sent, with ErrNoResponse, or with the error of a
// context: of ctx, or of the time limit for the kind of request. After the latter two the peer may
// have carried the request out.
func (p *Peers) Forward(ctx context.Context, node string, kind protocol.FrameKind, job string, body []byte) (transport.Response, error) {
	l := p.links[node]
	if l == nil {
		return transport.Response{}, transport.ErrLinkDown
	}
	id := l.lastID.Add(1)
	response := l.pending.add(id)
	defer l.pending.remove(id)
	request := protocol.Frame{ID: id, Kind: kind, Job: job, Body: body}
	if err := l.link.Send(protocol.EncodeFrame(request)); err != nil {
		return transport.Response{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(kind).Duration())
	defer cancel()
	select {
	case frame, ok := <-response:
		if !ok || !isResponse(frame) {
			return transport.Response{}, ErrNoResponse
		}
		return transport.Response{Status: frame.Status, Body: frame.Body, RetryAfter: frame.RetryAfter}, nil
	case <-ctx.Done():
		return transport.Response{}, ctx.Err()
	}
}

// timeoutOf returns how long a forwarded request is waited for.
func timeoutOf(kind protocol.FrameKind) units.Micros {
	if kind == protocol.FrameSubmit {
		return forwardSubmitTimeout
	}
	return forwardTimeout
}

// isResponse reports whether a frame is a response with a possible status.
func isResponse(frame protocol.Frame) bool {
	return frame.Kind == protocol.FrameResponse && frame.Status >= http.StatusOK && frame.Status <= maxStatus
}

// AnswerFrame answers a peer's frame: a ping with leader, the name of this controller if it leads
// and "" otherwise, and a request by serve. It returns no answer, and no error, for a frame that is
// no request or is of a later version. It fails if the frame is malformed.
func AnswerFrame(ctx context.Context, data []byte, leader string, serve func(context.Context, protocol.Frame) transport.Response) ([]byte, error) {
	request, err := protocol.DecodeFrame(data)
	if err != nil {
		return nil, err
	}
	response := protocol.Frame{ID: request.ID, Kind: protocol.FrameResponse, Status: http.StatusOK}
	switch request.Kind {
	case protocol.FramePing:
		response.Job = leader
	case protocol.FrameSubmit, protocol.FramePoll, protocol.FrameCancel:
		r := serve(ctx, request)
		response.Status, response.Body, response.RetryAfter = r.Status, r.Body, r.RetryAfter
	default:
		return nil, nil
	}
	return protocol.EncodeFrame(response), nil
}
