package federation

import (
	"errors"
	"testing"
)

func TestMalformedMessageIsRejected(t *testing.T) {
	good := Message{Kind: MessageRenew, Transfer: transfer, Run: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, mutate := range map[string]func(*Message){
		"kind 0":            func(m *Message) { m.Kind = 0 },
		"unknown kind":      func(m *Message) { m.Kind = messageKindCount },
		"no origin":         func(m *Message) { m.Transfer.Origin = "" },
		"slash in origin":   func(m *Message) { m.Transfer.Origin = "a/b" },
		"invalid job":       func(m *Message) { m.Transfer.Job = "x" },
		"no incarnation":    func(m *Message) { m.Transfer.Incarnation = 0 },
		"negative work":     func(m *Message) { m.Work = -1 },
		"renew without run": func(m *Message) { m.Run = 0 },
		"run above maximum": func(m *Message) { m.Run = maxRun + 1 },
		"negative run":      func(m *Message) { m.Run = -1 },
		"grant without run": func(m *Message) { m.Kind, m.Run = MessageGrant, 0 },
		"name with spaces":  func(m *Message) { m.Transfer.Origin = "the mill" },
	} {
		t.Run(name, func(t *testing.T) {
			message := good
			mutate(&message)
			if err := message.Check(); !errors.Is(err, ErrMalformedMessage) {
				t.Errorf("error is %v, want %v", err, ErrMalformedMessage)
			}
		})
	}
}
