package controller

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
)

// modelController is a controller, of the version before or of the new one.
type modelController struct {
	upgraded        bool
	formatAnnounced bool // it has stored that it reads the new format
}

func controllerName(i int) string { return fmt.Sprintf("n%d", i) }

// formats returns the formats that the controllers have announced, and the fleet's format, by
// key.
func (m *model) formats() map[string]recordformat.StoredFormat {
	formats := map[string]recordformat.StoredFormat{}
	for key, item := range m.store.items {
		var record storage.FormatRecord
		if strings.HasPrefix(key, storage.PrefixFormats) && protocol.Decode(item.Value, &record) == nil {
			formats[key] = recordformat.StoredFormat{Format: record.Format, Version: item.Version}
		}
	}
	return formats
}

// upgrade starts a controller with the new version, which announces so a while later;
// if it leads, there is a failover.
func (m *model) upgrade() {
	// The first one is mostly drawn late, long after the others.
	i := rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2}).Draw(m.t, "controller")
	switch controller := &m.controllers[i]; {
	case !controller.upgraded:
		controller.upgraded = true
		if rapid.IntRange(0, 2).Draw(m.t, "it led") == 0 {
			m.failOver()
		}
	case !controller.formatAnnounced:
		m.announceFormat(i)
	}
}

// announceFormat stores that a controller reads the new format.
func (m *model) announceFormat(i int) {
	m.controllers[i].formatAnnounced = true
	m.store.put(storage.KeyFormat(controllerName(i)), storage.FormatRecord{Format: storage.NewestFormat})
}

// upgradeAll upgrades all controllers, and has them announce it.
func (m *model) upgradeAll() {
	for i := range m.controllers {
		m.controllers[i].upgraded = true
		m.announceFormat(i)
	}
}

// raiseFormat has a leader of the new version raise the fleet's format as far as it can.
// It may die before it learns of it, or learn of it only later.
func (m *model) raiseFormat() {
	formats := m.formats()
	level := formats[storage.KeyFleetFormat].Format
	if !m.leaderUpgraded {
		return
	}
	var names []string
	for i := range m.controllers {
		names = append(names, controllerName(i))
	}
	if supported := recordformat.SupportedByAll(names, formats); supported > max(level, storage.FormatOld) {
		level = supported
		m.store.put(storage.KeyFleetFormat, storage.FormatRecord{Format: level})
	}
	if m.faultsEnded || rapid.Bool().Draw(m.t, "the leader learns of it") {
		m.learnFormat(level)
	}
}

// learnFormat has the leader learn of the fleet's format.
func (m *model) learnFormat(level storage.Format) {
	if level > m.leader.Format.Current() {
		m.leader.setFormat(level)
	}
	m.leader.state.UpgradeFormat(m.leader.Format.Current(), m.clock.Now)
}

// lowerLimits lowers the limits of the key-value store, some time after the upgrade.
func (m *model) lowerLimits() {
	if m.formats()[storage.KeyFleetFormat].Format >= storage.FormatNew {
		m.store.limits = m.store.limits.Lowest()
	}
}

// finishUpgrade upgrades the controllers that are left, on most days, and has the limits
// lowered.
func (m *model) finishUpgrade() {
	if rapid.IntRange(0, 3).Draw(m.t, "the upgrade ends") == 0 {
		return
	}
	m.upgradeAll()
	if !m.leaderUpgraded {
		m.failOver()
	}
	m.raiseFormat()
	m.lowerLimits()
}
