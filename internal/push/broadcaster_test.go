package push

import "testing"

// A machine is called at most twice, the second time not before broadcastRetryDelay.
func TestBroadcastIsRepeatedOnceAfterAPause(t *testing.T) {
	for _, c := range []struct {
		name  string
		tries broadcastTries
		want  bool
	}{
		{"first", broadcastTries{}, true},
		{"again at once", broadcastTries{count: 1, last: testNow}, false},
		{"again after the pause", broadcastTries{count: 1, last: testNow - broadcastRetryDelay}, true},
		{"a third time", broadcastTries{count: 2, last: testNow - broadcastRetryDelay}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.tries.allowsAnother(testNow); got != c.want {
				t.Errorf("allows another call: %v, want %v", got, c.want)
			}
		})
	}
}
