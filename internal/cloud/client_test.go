package cloud

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
)

// newTestClient returns a client of a fake cloud that responds with serve.
func newTestClient(t *testing.T, serve http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.CloudLimits{RPS: 1e4})
}

// Callers distinguish a lack of capacity from an unknown outcome by the error.
func TestScaleOutErrorDependsOnResponse(t *testing.T) {
	rented := protocol.Encode(protocol.MachineIDs{Machines: []string{"i-000001"}})
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		want   error
	}{
		{"rented", http.StatusOK, rented, nil},
		{"no capacity", http.StatusServiceUnavailable, protocol.Encode(protocol.ErrorResponse{Message: "no capacity"}), ErrNoCapacity},
		{"unavailable", http.StatusServiceUnavailable, protocol.Encode(protocol.ErrorResponse{Message: "later"}), ErrCallFailed},
		{"unavailable without a message", http.StatusServiceUnavailable, nil, ErrCallFailed},
		{"no capacity with another status", http.StatusConflict, protocol.Encode(protocol.ErrorResponse{Message: "no capacity"}), ErrCallFailed},
		{"unreadable", http.StatusOK, []byte{0xff}, ErrCallFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			})
			ids, err := client.ScaleOut(t.Context(), protocol.ScaleOutRequest{})
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if slices.Equal(ids, []string{"i-000001"}) != (c.want == nil) {
				t.Errorf("rented %v", ids)
			}
		})
	}
}

func TestScaleInAcceptsEmptyResponse(t *testing.T) {
	client := newTestClient(t, func(http.ResponseWriter, *http.Request) {})
	if err := client.ScaleIn(t.Context(), []string{"i-000001"}); err != nil {
		t.Error(err)
	}
}

// Each further page begins after the last machine of the previous page.
func TestListMachinesReadsAllPages(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		page := protocol.MachineList{Machines: []protocol.ListedMachine{{ID: "i-000001"}, {ID: "i-000002"}}, More: true}
		if r.URL.Query().Get("from") == "i-000002" {
			page = protocol.MachineList{Machines: []protocol.ListedMachine{{ID: "i-000003"}}}
		}
		_, _ = w.Write(protocol.Encode(page))
	})
	machines, err := client.ListMachines(t.Context())
	var ids []string
	for _, m := range machines {
		ids = append(ids, m.ID)
	}
	if err != nil || !slices.Equal(ids, []string{"i-000001", "i-000002", "i-000003"}) {
		t.Errorf("listed %v, error %v", ids, err)
	}
}
