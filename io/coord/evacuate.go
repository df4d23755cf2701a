package coord

import (
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"
)

// coldTolerance is by how much the end of a server's cold time may differ from the known one for a row that only renews its
// registration. Such rows are read some time after they were written.
const coldTolerance = time.Second

// coldChanged reports whether a row changes the end of its server's cold time.
func coldChanged(now time.Time, known, row spec.Server) bool {
	until := now.Add(row.ColdRemaining)
	if !now.Before(known.ColdUntil) {
		return row.ColdRemaining > 0 && until.Sub(known.ColdUntil) > coldTolerance
	}
	return until.Sub(known.ColdUntil).Abs() > coldTolerance
}

// evacuated returns the data centres that are evacuated, and since when this host knows. An evacuation ends when its row no longer
// exists, also if the row was deleted before a scan. A row that has become invalid changes nothing.
func (control *control) evacuated(now time.Time, last map[string]time.Time) map[string]time.Time {
	next := map[string]time.Time{}
	for key, dataCentre := range control.evacuations {
		if row, found := control.operators.Rows()[key]; !found || row.Deleted {
			delete(control.evacuations, key)
			delete(control.decodedVersions, key)
			continue
		}
		next[dataCentre] = now
		if since, known := last[dataCentre]; known {
			next[dataCentre] = since
		}
	}
	return next
}

// logEvacuations logs the evacuations that began or ended.
func (control *control) logEvacuations(now time.Time, last, next *spec.View) {
	log := control.coordinator.log
	for _, dataCentre := range value.Sorted(next.Evacuated) {
		if _, known := last.Evacuated[dataCentre]; !known {
			servers, running := control.evacuatedLoad(now, next, dataCentre)
			log.Info("data centre evacuated", "data_centre", dataCentre, "servers", servers, "running", running)
		}
		// Before both tables have been read, servers and hosts may just not be known yet.
		if !control.servers.provenAt.IsZero() && !control.fleet.provenAt.IsZero() && !control.unknownLogged.Has(dataCentre) && !control.knowsDataCentre(next, dataCentre) {
			control.unknownLogged.Add(dataCentre)
			log.Info("evacuation of an unknown data centre", "data_centre", dataCentre)
		}
	}
	for _, dataCentre := range value.Sorted(last.Evacuated) {
		if _, found := next.Evacuated[dataCentre]; !found {
			delete(control.unknownLogged, dataCentre)
			servers, running := control.evacuatedLoad(now, next, dataCentre)
			log.Info("evacuation ended", "data_centre", dataCentre, "servers", servers, "running", running,
				"after_ms", now.Sub(last.Evacuated[dataCentre]).Milliseconds())
			control.gaugeEvacuation(dataCentre, 0, 0)
		}
	}
}

func (control *control) knowsDataCentre(view *spec.View, dataCentre string) bool {
	for _, server := range view.Servers {
		if server.DataCentre == dataCentre {
			return true
		}
	}
	for _, host := range control.registry.Hosts() {
		if host.DataCentre == dataCentre {
			return true
		}
	}
	return control.coordinator.settings.Host.DataCentre == dataCentre
}

// evacuatedLoad returns the number of servers in a data centre, and of this host's requests that run there.
func (control *control) evacuatedLoad(now time.Time, view *spec.View, dataCentre string) (servers, running int) {
	usage := control.coordinator.traffic.ownUsage(now)
	for name, server := range view.Servers {
		if server.DataCentre == dataCentre {
			servers++
			running += usage[name].Running
		}
	}
	return servers, running
}

// reportEvacuations sets the metrics of the evacuations in force.
func (control *control) reportEvacuations(now time.Time) {
	view := control.coordinator.View()
	for dataCentre, since := range view.Evacuated {
		_, running := control.evacuatedLoad(now, view, dataCentre)
		control.gaugeEvacuation(dataCentre, max(1, now.Sub(since).Seconds()), running)
	}
}

// gaugeEvacuation sets the metrics of one data centre. The seconds are 0 after the end of the evacuation.
func (control *control) gaugeEvacuation(dataCentre string, seconds float64, running int) {
	scope := control.coordinator.metrics.Tagged(map[string]string{"data_centre": dataCentre})
	scope.Gauge("evacuated_seconds").Update(seconds)
	scope.Gauge("evacuated_requests").Update(float64(running))
}

// evacuated reports whether the data centre of a server is evacuated.
func (coordinator *Coordinator) evacuated(server spec.Server) bool {
	_, evacuated := coordinator.View().Evacuated[server.DataCentre]
	return evacuated
}

// proveHosts records that the rows of all hosts are known as of a time.
func (traffic *Traffic) proveHosts(provenAt time.Time) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.gate.Prove(provenAt)
}

// extendCold records that a server has said in a response how much longer it stays cold.
func (traffic *Traffic) extendCold(now time.Time, server spec.Server, remaining time.Duration) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.gate.Extend(now, server.Incarnation(), now.Add(remaining))
}

// TakeCold reports whether a request may be sent to a server, and counts it if the server is cold. It must be called right before the
// request is sent.
func (traffic *Traffic) TakeCold(now time.Time, service spec.Service, server spec.Server) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	taken := traffic.gate.Take(now, service, server)
	if !taken {
		traffic.coordinator.metrics.Counter("cold_requests_held").Inc(1)
	}
	return taken
}

// recordExpulsion records that other hosts have removed this host's row, and recordJoin that it has added its row.
func (traffic *Traffic) recordExpulsion() {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.gate.Leave()
}

func (traffic *Traffic) recordJoin(now time.Time) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.gate.Join(now)
}
