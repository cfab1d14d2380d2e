package controller

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
)

// modelNode is a controller.
type modelNode struct {
	upgraded bool
	told     bool // it has said, durably, that it reads the new form
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// put writes a key of the state service.
func (m *model) put(key string, value any) {
	m.store.revision++
	m.store.items[key] = protocol.Item{Key: key, Value: protocol.Encode(value), Version: m.store.revision}
}

// formats gives what the controllers have said, and the fleet's format.
func (m *model) formats() map[string]recordformat.StoredFormat {
	known := map[string]recordformat.StoredFormat{}
	for key, item := range m.store.items {
		var r storage.FormatRecord
		if strings.HasPrefix(key, storage.PrefixFormats) && protocol.Decode(item.Value, &r) == nil {
			known[key] = recordformat.StoredFormat{Format: r.Format, Version: item.Version}
		}
	}
	return known
}

// upgrade starts a controller with the new version, which says so a while later;
// if it leads, its term ends.
func (m *model) upgrade() {
	// The first one mostly gets its turn late, long after the others.
	i := rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2}).Draw(m.t, "controller")
	switch n := &m.nodes[i]; {
	case !n.upgraded:
		n.upgraded = true
		if rapid.IntRange(0, 2).Draw(m.t, "it led") == 0 {
			m.crash()
		}
	case !n.told:
		n.told = true
		m.put(storage.KeyFormat(nodeName(i)), storage.FormatRecord{Format: storage.NewestFormat})
	}
}

// raise has a leader of the new version do what it can about the fleet's format.
// It may die, or hear of it only later.
func (m *model) raise() {
	known := m.formats()
	level := known[storage.KeyFleetFormat].Format
	if !m.leadsNew {
		return
	}
	var names []string
	for i := range m.nodes {
		names = append(names, nodeName(i))
	}
	if all := recordformat.SupportedByAll(names, known); all > max(level, storage.FormatOld) {
		level = all
		m.put(storage.KeyFleetFormat, storage.FormatRecord{Format: level})
	}
	if m.calm || rapid.Bool().Draw(m.t, "the leader hears of it") {
		m.learn(level)
	}
}

func (m *model) learn(level storage.Format) {
	if level > m.leader.Format.Current() {
		m.leader.setFormat(level)
	}
	m.leader.state.UpgradeFormat(m.leader.Format.Current(), m.clock.Now)
}

// fall lowers the limits of the state service, some time after the upgrade.
func (m *model) fall() {
	if m.formats()[storage.KeyFleetFormat].Format >= storage.FormatNew {
		m.store.limits = m.store.limits.Both()
	}
}

// finishUpgrade upgrades the controllers that are left, if the day is one of
// those on which that happens, and has the limits fall.
func (m *model) finishUpgrade() {
	if rapid.IntRange(0, 3).Draw(m.t, "the upgrade ends") == 0 {
		return
	}
	for i := range m.nodes {
		m.nodes[i].upgraded, m.nodes[i].told = true, true
		m.put(storage.KeyFormat(nodeName(i)), storage.FormatRecord{Format: storage.NewestFormat})
	}
	if !m.leadsNew {
		m.crash()
	}
	m.raise()
	m.fall()
}
