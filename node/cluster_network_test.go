package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"dunestand/internal/fake"
)

// dialer opens the outgoing connections of one controller and can partition it from addresses.
// Partitions are one-way: connections that others open to the controller still work.
type dialer struct {
	mu          sync.Mutex
	partitioned map[string]bool
	conns       map[net.Conn]string // opened connections, with their addresses
}

func newDialer() *dialer {
	return &dialer{partitioned: map[string]bool{}, conns: map[net.Conn]string{}}
}

func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	partitioned := d.partitioned[addr]
	d.mu.Unlock()
	if partitioned {
		<-ctx.Done() // a partition drops packets, so dialing hangs
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[conn] = addr
	return conn, nil
}

// setPartitioned starts or ends the partition from an address. Starting it closes the connections
// that the controller has opened to the address.
func (d *dialer) setPartitioned(addr string, partitioned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned[addr] = partitioned
	for conn, to := range d.conns {
		if partitioned && to == addr {
			_ = conn.Close()
			delete(d.conns, conn)
		}
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
