package coord

import (
	"time"

	"lentilproxy"
	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

// RecordNotices records what a server has said of itself in a response to a request or an order. A server that is leaving or
// wants no requests gets no orders either, and loads on it are not waited for.
func (coordinator *Coordinator) RecordNotices(server spec.Server, info lentilproxy.ResponseInfo) {
	now, first := clock.Now(), false
	if info.Cold > 0 {
		coordinator.traffic.extendCold(now, server, info.Cold)
	}
	if !info.Leaving && info.Pause == 0 {
		return
	}
	coordinator.traffic.UpdateScheduler(func(scheduler *sched.Scheduler) {
		if info.Leaving {
			first = scheduler.RecordLeaving(now, server.Incarnation())
		}
		if info.Pause > 0 {
			scheduler.RecordPause(now, server.Incarnation(), info.Pause)
		}
	})
	if first {
		coordinator.log.Info("backend server is leaving", "server", server.ID, "born", server.StartedMillis)
	}
	control := coordinator.traffic.control
	coordinator.post(func(time.Time) {
		if controller := control.controllers[server.ID]; controller != nil {
			control.notifyChange(controller)
		}
	})
}
