package autoscaler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

// The demand is compared with the capacity of the whole fleet. Waiting tasks can nevertheless have
// no room: what is free may be in a zone that has its share of the job's tasks, on a machine that
// the job avoids, or split among machines. CheckRoom of the scheduler finds these tasks.

// Times for which a job's tasks wait without room before machines are ordered for them. Tasks of
// job arrays soon get the room of others that end; a replica that is missing is an outage.
const (
	arrayRoomDelay   = 5 * units.Second
	serviceRoomDelay = units.Second
)

// checkRoom returns which waiting tasks have no room and on which machines the others are going to
// be placed.
func (as *Autoscaler) checkRoom(now units.Micros) scheduler.RoomCheck {
	return as.Scheduler.CheckRoom(now, func(m *cluster.Machine) bool { return as.providesRoom(m, now) })
}

// providesRoom reports whether waiting tasks may count on the free capacity of a machine. Nothing is
// placed on a machine that has been silent for its lease, that ignores commands, or that hears no
// response and so does not show the leader's token. Such a machine may be kept for minutes.
func (as *Autoscaler) providesRoom(m *cluster.Machine, now units.Micros) bool {
	silent := m.Registered && now-max(m.LastHeartbeat, as.ElectedAt) > as.Detector.WorkerLease()
	deaf := m.FencingToken != as.Token && now-max(m.LaunchedAt, as.ElectedAt) > as.bootGrace(m)
	return as.countsAsCapacity(m, now) && !silent && !deaf && !m.IgnoresCommands()
}

// addOverdueTasks adds to a view the tasks for which machines are to be ordered because they have
// waited without room for too long.
func (as *Autoscaler) addOverdueTasks(view *CapacityView, now units.Micros) {
	check := as.checkRoom(now)
	view.QuotaLeft = check.QuotaLeft
	view.Unplaceable = slices.DeleteFunc(check.Unplaceable, func(tasks scheduler.UnplaceableTasks) bool {
		return now-tasks.WaitingSince < roomDelay(tasks.Spec)
	})
}

// TasksWithoutRoom returns the number of waiting tasks for which no machine has room.
func (as *Autoscaler) TasksWithoutRoom(now units.Micros) int {
	count := 0
	for _, tasks := range as.checkRoom(now).Unplaceable {
		if !tasks.Fallback {
			count += tasks.Count
		}
	}
	return count
}

// roomDelay returns the time for which a job's tasks wait without room before machines are ordered.
func roomDelay(spec *protocol.JobSpec) units.Micros {
	if spec.Kind == protocol.Service {
		return serviceRoomDelay
	}
	return arrayRoomDelay
}
