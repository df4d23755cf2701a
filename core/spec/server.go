package spec

import (
	"reflect"
	"time"
)

// Server is a registered backend server.
type Server struct {
	// ID and StartedMillis together identify one incarnation of the server.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// StartedMillis is the Unix time in milliseconds at which the server started.
	StartedMillis int64
	Draining      bool
	// Remaining is the time until the server shuts down; 0 means that no shutdown is announced.
	Remaining time.Duration
	// Models are the models that the server reported when it registered; they may be out of date.
	Models []LoadedModel
	// Sequence is the number of orders that the server had accepted when it registered.
	Sequence int64
	// ColdRemaining is how much longer the server stays cold, as of its registration.
	ColdRemaining time.Duration
	// ColdUntil is the end of that time by the clock of the host that read the registration.
	ColdUntil time.Time
	// Evacuated reports whether the server's data centre is evacuated. The server then gets nothing.
	Evacuated bool
}

// Registration returns the entry without the number of accepted orders and the loaded versions and adapters, for which the
// server's lease holder has newer values, and without what the host has added. The cold time is in whole seconds, so that a
// change of it shows, whichever rows were read before.
func (server Server) Registration() Server {
	models := make([]LoadedModel, 0, len(server.Models))
	for _, model := range server.Models {
		models = append(models, LoadedModel{Model: model.Model})
	}
	server.Models, server.Sequence = models, 0
	server.ColdRemaining = (server.ColdRemaining + time.Second - 1).Truncate(time.Second)
	server.ColdUntil, server.Evacuated = time.Time{}, false
	return server
}

// SameRegistration reports whether two entries have the same Registration.
func (server Server) SameRegistration(other Server) bool {
	return reflect.DeepEqual(server.Registration(), other.Registration())
}

// Incarnation identifies one start of a server.
type Incarnation struct {
	ID            string `json:"id"`
	StartedMillis int64  `json:"born"`
}

// Incarnation returns the server's incarnation.
func (server Server) Incarnation() Incarnation {
	return Incarnation{ID: server.ID, StartedMillis: server.StartedMillis}
}

// LoadedModel is a model that a server has loaded, with its adapters.
type LoadedModel struct {
	Model   string
	Version int64
	// Adapters maps names of adapters to their versions.
	Adapters map[string]int64
}

// Report is the state that a server reports on request.
type Report struct {
	Models []LoadedModel
	// Pending are the adapters that the server is loading.
	Pending       []AdapterRef
	Busy          bool
	Sequence      int64
	StartedMillis int64
}

// AdapterRef names an adapter of a model; an empty adapter refers to the model itself.
type AdapterRef struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// String returns model/adapter.
func (ref AdapterRef) String() string { return ref.Model + "/" + ref.Adapter }

// View is an immutable snapshot of a host's copy of the deployment's state.
type View struct {
	Config *Config
	// Servers maps the IDs of the servers that may get requests to the servers.
	Servers map[string]Server
	// Versions maps adapters to their newest announced versions.
	Versions map[AdapterRef]int64
	// Evacuated maps the data centres that are evacuated to the times at which this host learned of it.
	Evacuated map[string]time.Time
}

// Announcement is the content of a row of the operators' table: a configuration, the newest version of an adapter, or an evacuation.
type Announcement struct {
	// Config is nil in other announcements.
	Config *Config
	Ref    AdapterRef
	// Version is the adapter's version; 0 in other announcements.
	Version int64
	// Evacuated is the data centre that is evacuated as long as the row exists; empty in other announcements.
	Evacuated string
}

// EmptyView returns the view of a host that has not read any row yet.
func EmptyView() *View {
	return &View{Config: NewConfig(Resources{}), Servers: map[string]Server{}, Versions: map[AdapterRef]int64{}}
}

// AllEvacuated reports whether a service has servers, all of which are in evacuated data centres.
func (view *View) AllEvacuated(service string) bool {
	if len(view.Evacuated) == 0 {
		return false
	}
	evacuated := false
	for _, server := range view.Servers {
		if server.Service == service {
			if !server.Evacuated {
				return false
			}
			evacuated = true
		}
	}
	return evacuated
}

// Ready reports whether the view has a configuration.
func (view *View) Ready() bool { return view.Config.Version() > 0 }
