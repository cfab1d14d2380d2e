package fake

import (
	"net"
	"strconv"
	"testing"
)

// A port of a controller under test was taken by an outgoing connection between its choice and its use.
func TestFreeAddressesAreOutsideTheRangeOfOutgoingConnections(t *testing.T) {
	const firstOutgoingPort = 32_768
	seen := map[string]bool{}
	for range 200 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ := net.SplitHostPort(address)
		if n, err := strconv.Atoi(port); err != nil || n >= firstOutgoingPort || seen[address] {
			t.Errorf("%s is returned twice or can be taken by an outgoing connection", address)
		}
		seen[address] = true
	}
}
