package coord

import (
	"encoding/json"
	"maps"
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"

	"github.com/cespare/xxhash/v2"
)

// publish decodes the mirrors and replaces the view with the result.
func (control *control) publish(now time.Time) {
	coordinator := control.coordinator
	last := coordinator.View()
	next := &spec.View{Config: last.Config, Versions: last.Versions, Evacuated: last.Evacuated}
	control.decodeOperators(now, next)
	next.Servers = control.decodeServers(now, last, next.Evacuated)
	control.logServers(last, next)
	control.logEvacuations(now, last, next)
	coordinator.view.Store(next)
	coordinator.traffic.updateView(now, next)
	control.updateControllers(now, next)
}

// decodeOperators applies the rows of the operators' table that have changed. Decoding all of them would take long with
// many adapters and routes.
func (control *control) decodeOperators(now time.Time, next *spec.View) {
	coordinator := control.coordinator
	if control.operators.Revision() == control.operatorsRevision {
		return
	}
	control.operatorsRevision = control.operators.Revision()
	cloned := false
	for key, row := range control.operators.Rows() {
		if row.Deleted || control.decodedVersions[key] == row.Version {
			continue
		}
		control.decodedVersions[key] = row.Version
		announced, err := coordinator.decoder.DecodeOperator(row)
		if err != nil {
			coordinator.log.Error(err, "invalid row in the operators' table; keeping the last valid state", "row", key, "row_version", row.Version,
				"config", next.Config.Version())
			continue
		}
		if config := announced.Config; config != nil && config.Version() > next.Config.Version() {
			coordinator.log.Info("configuration in force", "config", config.Version(), "before", next.Config.Version(), "row_version", row.Version)
			next.Config = config
		}
		if announced.Version > next.Versions[announced.Ref] {
			if !cloned {
				next.Versions, cloned = maps.Clone(next.Versions), true
				control.versionChanges++
			}
			next.Versions[announced.Ref] = announced.Version
			coordinator.log.Info("adapter version announced", "adapter", announced.Ref.String(), "version", announced.Version)
		}
		if announced.Evacuated != "" {
			control.evacuations[key] = announced.Evacuated
		}
	}
	next.Evacuated = control.evacuated(now, next.Evacuated)
}

// decodeServers returns the servers that may get requests. Registrations that expired during an outage of the store are
// kept for a while after it (mirror.LapseGrace), since running servers register again.
func (control *control) decodeServers(now time.Time, last *spec.View, evacuated map[string]time.Time) map[string]spec.Server {
	servers := map[string]spec.Server{}
	for key, row := range control.servers.Rows() {
		if row.Deleted {
			if known, found := last.Servers[key]; found && control.keepLapsed(now, key) {
				servers[key] = known
			}
			continue
		}
		delete(control.lapsedUntil, key)
		if decoded := control.decodeServer(now, row); decoded.valid {
			servers[key] = decoded.server
		}
	}
	for key, server := range servers {
		_, server.Evacuated = evacuated[server.DataCentre]
		servers[key] = server
	}
	maps.DeleteFunc(control.decoded, func(key string, _ decodedServer) bool {
		row, found := control.servers.Rows()[key]
		return !found || row.Deleted
	})
	return servers
}

// decodedServer is the decoded registration of a backend server. It is valid if the row could be decoded.
type decodedServer struct {
	version int64
	server  spec.Server
	valid   bool
}

// decodeServer returns the decoded registration of a row. Each version of a row is decoded once.
func (control *control) decodeServer(now time.Time, row lentilproxy.Row) decodedServer {
	known, found := control.decoded[row.Key]
	if found && known.version == row.Version {
		return known
	}
	server, err := control.coordinator.decoder.DecodeServer(row)
	if err != nil {
		control.coordinator.log.Error(err, "invalid registration of a backend server", "server", row.Key, "row_version", row.Version)
	}
	switch {
	case err != nil:
	case found && known.valid && known.server.SameRegistration(server):
		server = known.server
	case server.ColdRemaining > 0:
		server.ColdUntil = now.Add(server.ColdRemaining)
		if found && known.valid && known.server.Incarnation() == server.Incarnation() && !coldChanged(now, known.server, server) {
			server.ColdUntil = known.server.ColdUntil
		}
	}
	decoded := decodedServer{version: row.Version, server: server, valid: err == nil}
	control.decoded[row.Key] = decoded
	return decoded
}

// registrationHash returns a hash of the relevant content of a row: of the registration of its server. Other changes of a row only
// renew the registration, or change values that the lease holder reports earlier.
func (control *control) registrationHash(row lentilproxy.Row) uint64 {
	server, err := control.coordinator.decoder.DecodeServer(row)
	if err != nil {
		return xxhash.Sum64(row.Value)
	}
	encoded, err := json.Marshal(server.Registration())
	if err != nil {
		panic("cannot encode a registration: " + err.Error())
	}
	return xxhash.Sum64(encoded)
}

// keepLapsed reports whether a server whose registration has expired stays in use. This begins only during the grace
// period after an outage of the store, and lasts until its end.
func (control *control) keepLapsed(now time.Time, server string) bool {
	until, known := control.lapsedUntil[server]
	if grace, pending := control.outage.Grace(now); !known && pending {
		until, known = grace, true
		control.lapsedUntil[server] = until
		time.AfterFunc(until.Sub(now)+time.Millisecond, func() { control.coordinator.post(control.publish) })
	}
	if known && now.Before(until) {
		return true
	}
	delete(control.lapsedUntil, server)
	return false
}

// logServers logs each server that was registered or deregistered, or that began to drain.
func (control *control) logServers(last, next *spec.View) {
	log := control.coordinator.log
	for name, server := range next.Servers {
		known, found := last.Servers[name]
		switch {
		case !found || known.StartedMillis != server.StartedMillis:
			log.Info("server registered", "server", name, "service", server.Service, "address", server.Address, "data_centre", server.DataCentre)
		case server.Draining && !known.Draining:
			log.Info("server drains", "server", name, "remaining_ms", server.Remaining.Milliseconds())
		}
	}
	for name := range last.Servers {
		if _, found := next.Servers[name]; !found {
			log.Info("server gone", "server", name, "row_version", control.servers.Rows()[name].Version)
		}
	}
}
