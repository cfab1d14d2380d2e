package kv

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// watchMargin is what a response may take beyond the time that was asked for.
const watchMargin = 1500 * units.Millisecond

// Watch waits until a key with a prefix has changed after a revision, for a time at the
// longest, and returns the changes and the revision to ask from next. It fails with
// ErrCompacted if changes from so far back are no longer kept.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, wait units.Micros) (protocol.ChangeList, error) {
	q := url.Values{
		"prefix":  {prefix},
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(int64(wait/units.Millisecond), 10)},
	}
	var list protocol.ChangeList
	status, err := c.call(ctx, http.MethodGet, protocol.PathChanges+"?"+q.Encode(), nil, wait+watchMargin, &list)
	switch {
	case err != nil:
		return list, err
	case status == http.StatusGone:
		return list, ErrCompacted
	case status != http.StatusOK:
		return list, &StatusError{Request: "changes of " + prefix, Status: status}
	}
	c.Revisions.Observe(list.Revision)
	return list, nil
}
