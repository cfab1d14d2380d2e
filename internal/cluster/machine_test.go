package cluster

import "testing"

func TestLeastRecentlyUsedImageIsEvicted(t *testing.T) {
	m := &Machine{ImageCache: 10}
	m.touchImage("a", 4)
	m.touchImage("b", 4)
	m.touchImage("a", 4)
	m.touchImage("c", 4) // evicts b
	if !m.HasImage("a") || m.HasImage("b") || !m.HasImage("c") {
		t.Fatalf("holds %v", m.images)
	}
}
