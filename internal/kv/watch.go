package kv

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// watchMargin is the time that a response may take beyond the wait that its request asks for.
const watchMargin = 1500 * units.Millisecond

// Watch waits, for at most the given time, until a key that begins with prefix has changed after the
// revision from. It returns the changes and the revision from which to watch next. It fails with
// ErrCompacted if the store no longer keeps changes from the revision on.
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
