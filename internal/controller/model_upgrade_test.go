package controller

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
)

// modelController is a controller of the previous or the new version.
type modelController struct {
	upgraded        bool
	formatAnnounced bool // the controller has stored the newest record format that it reads
}

func controllerName(i int) string { return fmt.Sprintf("n%d", i) }

// formats returns the record formats that the controllers have announced and the fleet's record
// format, by key.
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

// upgrade restarts a controller with the new version, or has an upgraded controller announce
// its format. If the upgraded controller led, there is a failover.
func (m *model) upgrade() {
	// Controller 0 has a low weight, so that it is usually upgraded long after the others.
	i := rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2}).Draw(m.t, "controller")
	switch controller := &m.controllers[i]; {
	case !controller.upgraded:
		controller.upgraded = true
		if rapid.IntRange(0, 2).Draw(m.t, "upgraded controller led") == 0 {
			m.failOver()
		}
	case !controller.formatAnnounced:
		m.announceFormat(i)
	}
}

// announceFormat stores the newest record format that a controller reads.
func (m *model) announceFormat(i int) {
	m.controllers[i].formatAnnounced = true
	m.store.put(storage.KeyFormat(controllerName(i)), storage.FormatRecord{Format: storage.NewestFormat})
}

// upgradeAll upgrades all controllers and has each announce its format.
func (m *model) upgradeAll() {
	for i := range m.controllers {
		m.controllers[i].upgraded = true
		m.announceFormat(i)
	}
}

// raiseFormat has a leader of the new version raise the fleet's record format to the newest
// that all controllers support. The leader may learn of the raised format only later, or
// fail before that.
func (m *model) raiseFormat() {
	formats := m.formats()
	fleetFormat := formats[storage.KeyFleetFormat].Format
	if !m.leaderUpgraded {
		return
	}
	var names []string
	for i := range m.controllers {
		names = append(names, controllerName(i))
	}
	if supported := recordformat.SupportedByAll(names, formats); supported > max(fleetFormat, storage.FormatV1) {
		fleetFormat = supported
		m.store.put(storage.KeyFleetFormat, storage.FormatRecord{Format: fleetFormat})
	}
	if m.faultsEnded || rapid.Bool().Draw(m.t, "the leader learns of it") {
		m.setLeaderFormat(fleetFormat)
	}
}

// setLeaderFormat has the leader use the given record format, unless it already uses a newer
// one.
func (m *model) setLeaderFormat(format storage.Format) {
	if format > m.leader.Format.Current() {
		m.leader.setFormat(format)
	}
	m.leader.state.UpgradeFormat(m.leader.Format.Current(), m.clock.Now)
}

// lowerLimits lowers the limits of the key-value store once all controllers are upgraded.
func (m *model) lowerLimits() {
	if m.formats()[storage.KeyFleetFormat].Format >= storage.FormatV2 {
		m.store.limits = m.store.limits.Lowest()
	}
}

// finishUpgrade upgrades the remaining controllers and lowers the limits, in most runs.
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
