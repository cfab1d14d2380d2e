package push

import "testing"

// A machine is called twice at most, the second time after a pause.
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
			if got := c.tries.mayRepeat(testNow); got != c.want {
				t.Errorf("may repeat: %v, want %v", got, c.want)
			}
		})
	}
}
