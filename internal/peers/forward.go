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
	// forwardTimeout leaves the user some of the 2 s within which a poll must be answered.
	forwardTimeout = 1700 * units.Millisecond
	// forwardSubmitTimeout is short, so that this controller has the time to accept the job itself if
	// the leader does not respond.
	forwardSubmitTimeout = 200 * units.Millisecond
	// maxStatus is the highest valid HTTP status.
	maxStatus = 599
)

// ErrNoResponse means that the connection to the leader was lost before a response arrived, or that
// the frame that arrived was not a valid response. The leader may have executed the request.
var ErrNoResponse = errors.New("no response from the leader")

// Forward forwards a user's request about a job to the named peer and returns the peer's response. It
// fails with transport.ErrLinkDown if the request was not sent, with ErrNoResponse, or with a context
// error if ctx ends or the timeout for the kind of request expires. After ErrNoResponse or a
// context error, the peer may have executed the request.
func (p *Peers) Forward(ctx context.Context, name string, kind protocol.FrameKind, job string, body []byte) (transport.Response, error) {
	l := p.links[name]
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

// timeoutOf returns the timeout for the response to a forwarded request.
func timeoutOf(kind protocol.FrameKind) units.Micros {
	if kind == protocol.FrameSubmit {
		return forwardSubmitTimeout
	}
	return forwardTimeout
}

// isResponse reports whether a frame is a response with a valid final HTTP status.
func isResponse(frame protocol.Frame) bool {
	return frame.Kind == protocol.FrameResponse && frame.Status >= http.StatusOK && frame.Status <= maxStatus
}

// RespondToFrame returns the encoded response to a frame from a peer. A ping is answered with leader,
// which is the name of this controller if it leads and "" otherwise; a request is answered by serve.
// For a frame of another kind, which a later version may send, it returns nil and no error. It fails
// if the frame is malformed.
func RespondToFrame(ctx context.Context, data []byte, leader string, serve func(context.Context, protocol.Frame) transport.Response) ([]byte, error) {
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
