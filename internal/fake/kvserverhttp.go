package fake

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunestand/internal/protocol"
)

// ServeHTTP implements the requests of the key-value store's HTTP API that controllers send.
func (s *KVServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.rejects(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case protocol.PathCommit:
		s.serveCommit(w, r)
	case protocol.PathChanges:
		s.serveChanges(w, r)
	case protocol.PathKeys:
		s.serveList(w, r)
	default:
		item, ok := s.Get(strings.TrimPrefix(r.URL.Path, protocol.PathKeys+"/"))
		writeResponse(w, statusOr(ok, http.StatusNotFound), item)
	}
}

// rejects reports whether RejectRequest selects a request.
func (s *KVServer) rejects(r *http.Request) bool {
	s.rejectMu.Lock()
	defer s.rejectMu.Unlock()
	return s.RejectRequest != nil && s.RejectRequest(r.Method, r.URL.Path)
}

// serveCommit applies a transaction. If its response is to be lost, the handler aborts, which
// closes the connection.
func (s *KVServer) serveCommit(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var txn protocol.Txn
	if protocol.Decode(body, &txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := s.checkLimits(txn); status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	s.commits++
	commit := s.commits
	delayed := s.DelayCommit != nil && s.DelayCommit(commit)
	if delayed {
		s.delayedCommits = append(s.delayedCommits, txn)
	}
	s.mu.Unlock()
	if delayed {
		panic(http.ErrAbortHandler)
	}
	response, ok := s.Apply(txn)
	if s.DropResponse != nil && s.DropResponse(commit) {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, statusOr(ok, http.StatusConflict), response)
}

// serveList responds with all items of a prefix after the key "from", in one page.
func (s *KVServer) serveList(w http.ResponseWriter, r *http.Request) {
	// The revision is read before the keys: a watch from it then repeats the changes made while
	// the list is built. Read afterwards, it would let the watch miss them.
	revision := s.Revision()
	list := protocol.ItemList{Items: []protocol.Item{}}
	for _, key := range s.Keys(r.URL.Query().Get("prefix")) {
		if item, ok := s.Get(key); ok && key > r.URL.Query().Get("from") {
			list.Items = append(list.Items, item)
		}
	}
	list.Revision = revision
	writeResponse(w, http.StatusOK, list)
}

// serveChanges responds to a watch as soon as there are changes, or with an empty list after
// wait_ms. A watch from a revision that is no longer retained gets status 410.
func (s *KVServer) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, waitErr := strconv.Atoi(cmp.Or(query.Get("wait_ms"), "0"))
	if err != nil || waitErr != nil || wait < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		list, changed, retained := s.changesSince(query.Get("prefix"), from)
		if !retained {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(list.Changes) > 0 || expired {
			writeResponse(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes to keys with a prefix after a revision, and a channel that
// is closed at the next change of any key. retained is false if some of the changes after the
// revision have been discarded.
func (s *KVServer) changesSince(prefix string, from uint64) (list protocol.ChangeList, changed <-chan struct{}, retained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list = protocol.ChangeList{Revision: s.revision, Changes: []protocol.KeyChange{}}
	if len(s.changes) >= maxRetainedChanges && s.changes[0].Version > from+1 {
		return list, nil, false
	}
	for _, c := range s.changes {
		if c.Version > from && strings.HasPrefix(c.Set+c.Delete, prefix) {
			list.Changes = append(list.Changes, c)
		}
	}
	return list, s.changed, true
}

// statusOr returns status 200 if ok is true, otherwise other.
func statusOr(ok bool, other int) int {
	if ok {
		return http.StatusOK
	}
	return other
}

// writeResponse writes a response with a CBOR body.
func writeResponse(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(body))
}
