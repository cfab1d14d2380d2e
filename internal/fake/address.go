package fake

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Range of the ports that FreeAddress returns. It is below the range from which Linux takes the ports of
// outgoing connections, which could otherwise take a port between its choice and its use.
const (
	firstFreePort = 10_000
	freePorts     = 22_000
)

var errNoFreePort = errors.New("no free port")

// nextFreePort is the offset of the next port to try. It starts at random, since the tests of several
// packages run at the same time.
var nextFreePort atomic.Uint32

func init() { nextFreePort.Store(rand.Uint32N(freePorts)) }

// FreeAddress returns a loopback address whose port is unused and that it has not returned recently. It is
// safe for concurrent use.
func FreeAddress() (string, error) {
	for range freePorts {
		port := firstFreePort + nextFreePort.Add(1)%freePorts
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errNoFreePort
}
