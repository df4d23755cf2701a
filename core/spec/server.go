package spec

import (
	"reflect"
	"time"
)

// Server is a registered backend server.
type Server struct {
	// ID names one life of the server together with Born.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Born is the Unix millisecond of the server's start.
	Born     int64
	Draining bool
	// Remaining is the time until a server that was given notice is gone; 0 stands for no notice.
	Remaining time.Duration
	// Holdings are what the server said of itself when it registered; they may be old.
	Holdings []Holding
	// Sequence is the number of orders that the server had accepted.
	Sequence int64
}

// Same says whether an entry says the same as another one, but for its counts and the adapters, which its holder knows
// better.
func (server Server) Same(other Server) bool {
	if len(server.Holdings) != len(other.Holdings) {
		return false
	}
	for index, holding := range server.Holdings {
		if holding.Model != other.Holdings[index].Model {
			return false
		}
	}
	server.Holdings, other.Holdings, server.Sequence, other.Sequence = nil, nil, 0, 0
	return reflect.DeepEqual(server, other)
}

// Life identifies one start of a server.
type Life struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// Life returns the identity of this start of the server.
func (server Server) Life() Life { return Life{ID: server.ID, Born: server.Born} }

// Holding is a model that a server has loaded, with its adapters.
type Holding struct {
	Model   string
	Version int64
	// Adapters maps names of adapters to their versions.
	Adapters map[string]int64
}

// Report is what an engine says of itself on demand.
type Report struct {
	Holdings []Holding
	// Pending are adapters in transit to the server.
	Pending  []AdapterRef
	Busy     bool
	Sequence int64
	Born     int64
}

// AdapterRef names an adapter of a model; an empty adapter stands for the model itself.
type AdapterRef struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// String returns model/adapter.
func (ref AdapterRef) String() string { return ref.Model + "/" + ref.Adapter }

// View is an immutable snapshot of what a host believes about the deployment.
type View struct {
	Config *Config
	// Servers holds the servers that may get requests, by ID.
	Servers map[string]Server
	// Versions holds the newest announced versions of adapters.
	Versions map[AdapterRef]int64
}

// Announcement is what a row of the operators says: either a configuration or the newest version of an adapter.
type Announcement struct {
	// Config is nil in announcements of adapters.
	Config *Config
	Ref    AdapterRef
	// Version is that of the adapter; 0 in a configuration.
	Version int64
}

// EmptyView returns the view of a host that knows nothing yet.
func EmptyView() *View {
	return &View{Config: NewConfig(Resources{}), Servers: map[string]Server{}, Versions: map[AdapterRef]int64{}}
}

// Ready says whether the host knows a configuration.
func (view *View) Ready() bool { return view.Config.Version() > 0 }
