package kv

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// ErrCompacted says that the state service does not keep changes from so far back: the keys
// have to be read again.
var ErrCompacted = errors.New("the changes are no longer kept")

// Watch waits until a key with a prefix has changed after a revision, for a time at the
// longest, and gives the changes and the revision to ask from next.
func (s *Client) Watch(ctx context.Context, prefix string, from uint64, wait units.Micros) (protocol.ChangeList, error) {
	q := url.Values{
		"prefix":  {prefix},
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(int64(wait/units.Millisecond), 10)},
	}
	var list protocol.ChangeList
	status, err := s.call(ctx, http.MethodGet, protocol.PathChanges+"?"+q.Encode(), nil, wait+watchMargin, &list)
	switch {
	case err != nil:
		return list, err
	case status == http.StatusGone:
		return list, ErrCompacted
	case status != http.StatusOK:
		return list, fmt.Errorf("changes of %s: status %d", prefix, status)
	}
	s.Revisions.Observe(list.Revision)
	return list, nil
}

// watchMargin is what an answer may take beyond the time that was asked for.
const watchMargin = 1500 * units.Millisecond

// ReadAtRevision reads a key and the revision of the whole store that the answer shows: changes
// are to be asked for from there. A key that does not exist has the version 0.
func (s *Client) ReadAtRevision(ctx context.Context, key string, limit units.Micros) (item protocol.Item, revision uint64, err error) {
	list, err := s.List(ctx, key, "", limit)
	if err != nil {
		return protocol.Item{}, 0, err
	}
	for _, item := range list.Items {
		if item.Key == key {
			return item, list.Revision, nil
		}
	}
	return protocol.Item{}, list.Revision, nil
}
