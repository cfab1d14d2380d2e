package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"dunestand/internal/protocol"
)

// serve runs a server on the simulated network until the deployment ends.
func (d *deployment) serve(addr string, h http.Handler) {
	server := &http.Server{Handler: h}
	listener := d.network.Listen(addr)
	d.background.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(d.ctx, func() { _ = server.Close() })
}

// kvLatency is the response time of the key-value store without faults.
const kvLatency = 5 * time.Millisecond

// kvHandler serves the key-value store to one controller, with the faults injected into it.
func (d *deployment) kvHandler(controller int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		responseDelay := d.kvResponseDelay
		rejected, delay, listDelay := d.kvDown || d.controllers[controller].kvRejects, d.kvDelay, d.kvListDelay
		late := r.URL.Path == protocol.PathCommit && d.random.Float64() < d.lateCommitShare
		commitDelay := 2*time.Second + time.Duration(d.random.Int64N(int64(10*time.Second)))
		d.mu.Unlock()
		switch {
		case rejected:
			w.WriteHeader(http.StatusServiceUnavailable)
		case late:
			body, _ := io.ReadAll(r.Body)
			var txn protocol.Txn
			if protocol.Decode(body, &txn) == nil {
				time.AfterFunc(commitDelay, func() { d.kv.Apply(txn) })
			}
			panic(http.ErrAbortHandler)
		default:
			if r.URL.Path == protocol.PathKeys {
				delay += listDelay
			}
			time.Sleep(kvLatency + delay)
			if responseDelay == nil {
				d.kv.ServeHTTP(w, r)
				return
			}
			d.serveKVDelayed(w, r, func(body []byte) <-chan time.Time { return responseDelay(controller, r, body) })
		}
	})
}

// serveKVDelayed executes a request at once and withholds its response until the channel
// returned by delay is ready.
func (d *deployment) serveKVDelayed(w http.ResponseWriter, r *http.Request, delay func(body []byte) <-chan time.Time) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	d.kv.ServeHTTP(recorder, r)
	if release := delay(body); release != nil {
		select {
		case <-release:
		case <-d.ctx.Done():
		}
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}
