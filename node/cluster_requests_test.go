package node

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// request sends one user request to a controller.
func (c *cluster) request(controller int, method, path string, body any) response {
	return send(c.ctx, http.DefaultClient, method, "http://"+c.controllers[controller].settings.ClientListen+path, body)
}

// metrics returns the metrics of a controller, or "" if it does not respond.
func (c *cluster) metrics(controller int) string {
	return string(c.request(controller, http.MethodGet, metricsPath, nil).body)
}

// leader waits until the metrics of a controller show that it leads, and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	for range 100 {
		for i := range c.controllers {
			if strings.Contains(c.metrics(i), "dunestand_term ") {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("no controller leads")
	return -1
}

// requestUntil repeats a request, to each controller in turn, until wanted accepts a response. It
// fails the test if no response is accepted within 25 s.
func (c *cluster) requestUntil(t *testing.T, description string, controllers []int, method, path string, body any, wanted func(response) bool) {
	t.Helper()
	deadline := time.Now().Add(25 * time.Second)
	var last response
	for try := 0; time.Now().Before(deadline); try++ {
		last = c.request(controllers[try%len(controllers)], method, path, body)
		if wanted(last) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: last response %d %+v", description, last.status, last.job())
}
