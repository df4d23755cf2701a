// Package lentilproxy holds the interfaces of the system and the value types that cross them.
//
// Decisions live below lentilproxy/core and take the present time as an argument. Sockets, timers and
// processes live below lentilproxy/io.
package lentilproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lentilproxy/core/spec"
)

// ErrHistoryLost says that a store no longer has the changes that were asked for; a scan has to replace them.
var ErrHistoryLost = errors.New("the store has dropped the requested history")

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the named rows and the rows below the prefixes, all as of one instant.
	Read(ctx context.Context, request ReadRequest) (ReadResult, error)
	// Commit applies all writes of a transaction if every condition holds, and none otherwise.
	// An error means that the effect is unknown.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
}

// Rows is a linearizable store of versioned rows in tables, with a feed of changes. Keys are TABLE/KEY.
type Rows interface {
	// Scan returns all rows of a table.
	Scan(ctx context.Context, table string) (Page, error)
	// Changes returns the rows of a table that changed after a version, deleted ones among them. It waits for a change
	// for a bounded time. It returns ErrHistoryLost if the changes are no longer known.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Commit applies all writes of a transaction if every condition holds, and none otherwise.
	// An error means that the effect is unknown.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
}

// Dialect translates between the wire of callers and backend servers and the project's types.
type Dialect interface {
	// Ask decodes what a caller says of its request.
	Ask(header http.Header) (Ask, error)
	// Outgoing returns the headers for a backend server, made from those of the caller.
	Outgoing(header http.Header, send Send) http.Header
	// Answer decodes what a backend server says of its answer.
	Answer(status int, header http.Header) Answer
	// Returned returns the headers for the caller, made from those of the backend server.
	Returned(header http.Header) http.Header
	// ReadyPath is the path at which the balancer asks whether the host is ready.
	ReadyPath() string
}

// Orders sends orders to backend servers that run models.
type Orders interface {
	// Order sends one order. An error means that the order may be carried out, now or later.
	Order(ctx context.Context, server spec.Server, order Order) (OrderOutcome, error)
	// Report asks a server what it holds. The answer lags by some hundred milliseconds.
	Report(ctx context.Context, server spec.Server) (spec.Report, error)
}

// Source decodes rows of the store into resources.
type Source interface {
	// Tables returns the names of the tables of operators and of backend servers.
	Tables() (operators, servers string)
	// Operator decodes a row of the operators. A row of another kind says nothing.
	Operator(row Row) (spec.Announcement, error)
	// Server decodes the entry of a backend server.
	Server(row Row) (spec.Server, error)
}

// Page is a part of a table as of one version.
type Page struct {
	Rows []Row
	// Version is the newest version of the store when the page was read.
	Version int64
}

// Ask is what a caller says of its request.
type Ask struct {
	// ID identifies one attempt of the caller.
	ID string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	Key      string
	// Model is empty for requests that name none.
	Model spec.AdapterRef
	// PromptTokens and OutputTokens are the sizes of the prompt and the longest answer; 0 if not said.
	PromptTokens int64
	OutputTokens int64
}

// Send is what a host adds to a request for a backend server.
type Send struct {
	Server string
	// Deadline is the time that is left.
	Deadline  time.Duration
	Workspace string
	// Priority is 0 for the most urgent requests; negative if there is none.
	Priority int
	// Version is the adapter version that has to answer; 0 for any.
	Version int64
	// LastEvent is the ID of the event after which a stream goes on, or empty.
	LastEvent string
}

// Answer is what a backend server says of its answer.
type Answer struct {
	// ID is the request that the answer belongs to.
	ID string
	// Signed answers come from a server that ran the request.
	Signed bool
	// NotExecuted says that the server has not run the request and never will.
	NotExecuted bool
}

// OrderKind says what an order asks for.
type OrderKind int

// The kinds of orders.
const (
	Load OrderKind = iota
	Unload
)

// Order asks a backend server to load or unload a model or an adapter.
type Order struct {
	Kind OrderKind
	Ref  spec.AdapterRef
	// Version is the adapter version to load; 0 for the newest.
	Version int64
	// Holder is the host that gives the order, and Token the fencing number of its lease.
	Holder string
	Token  int64
	// Sequence is the number of orders that the server must have accepted before.
	Sequence int64
}

// OrderOutcome is a server's answer to an order.
type OrderOutcome int

// The outcomes of orders.
const (
	// OrderHolds means that the state that was asked for holds already.
	OrderHolds OrderOutcome = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderConflict means that another order is under way, or that the sequence differs.
	OrderConflict
	// OrderFenced means that a later holder has given orders.
	OrderFenced
	// OrderMisdirected means that another server has the address.
	OrderMisdirected
	// OrderInvalid means that the server cannot carry the order out.
	OrderInvalid
)

// HostList is the platform's lagging list of hosts.
type HostList interface {
	// Hosts returns the hosts that the platform believes to exist.
	Hosts(ctx context.Context) ([]HostStatus, error)
}

// Engine takes orders for one backend server that runs models.
type Engine interface {
	// Load makes an instance ready to serve.
	Load(ctx context.Context, order LoadOrder) error
	// Unload frees the slot of an instance.
	Unload(ctx context.Context, order UnloadOrder) error
	// Instances lists what is loaded.
	Instances(ctx context.Context) ([]string, error)
}

// PlacementPolicy chooses the engine for a load and the instance that makes room for it.
type PlacementPolicy interface {
	// Choose returns the engine for an adapter, and what has to be evicted there.
	Choose(now time.Time, demand Demand, engines []EngineState) (Choice, bool)
}

// Row is one row of the table service; version 0 stands for a row that does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	// Deleted marks a row that was removed by the change of this version.
	Deleted bool `json:"deleted,omitempty"`
}

// ReadRequest names the rows to read.
type ReadRequest struct {
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
	// After and Limit page through one prefix; a limit of 0 stands for no limit.
	After string `json:"after,omitempty"`
	Limit int    `json:"limit,omitempty"`
}

// ReadResult holds the rows that exist, sorted by key.
type ReadResult struct {
	Rows []Row `json:"rows"`
}

// Row returns the row with a key, with version 0 if there is none.
func (result ReadResult) Row(key string) Row {
	for _, row := range result.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// Condition asks for the version of a row; 0 asks that it does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write puts a row, or deletes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that depends on a set of conditions.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult says whether the conditions held, and the rows that broke them.
type CommitResult struct {
	Committed bool  `json:"committed"`
	Conflicts []Row `json:"conflicts,omitempty"`
	// Version is the version of the rows that were put, if the store says so.
	Version int64 `json:"version,omitempty"`
}

// HostStatus is one entry of the platform's list.
type HostStatus struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving,omitempty"`
}

// LoadOrder asks an engine for an instance.
type LoadOrder struct {
	Instance string
	Source   string
	Fencing  int64
}

// UnloadOrder asks an engine to free the slot of an instance.
type UnloadOrder struct {
	Instance string
	Fencing  int64
}

// Demand describes the adapter that needs a slot.
type Demand struct {
	Adapter   string
	BaseModel string
	// Replicas is the number of engines that already hold the adapter.
	Replicas int
}

// EngineState is what the placement owner knows of one engine.
type EngineState struct {
	Name      string
	BaseModel string
	Slots     int
	InFlight  int
	Held      []HeldInstance
}

// HeldInstance is one loaded or loading instance.
type HeldInstance struct {
	Instance string
	Adapter  string
	LastUse  time.Time
	// Rate is the recent demand in requests per second.
	Rate float64
	// Busy instances must not be evicted.
	Busy bool
}

// Choice is the decision of a placement policy; Evict is empty if a slot is free.
type Choice struct {
	Engine string
	Evict  string
}

// Recorder takes what reports on service levels need.
type Recorder interface {
	// Record records the end of a request.
	Record(now time.Time, sample Sample)
}

// Sample describes one finished request.
type Sample struct {
	Workspace string
	// Good requests were answered in full, or refused for a reason that lies with the caller.
	Good bool
	// FirstToken is the time from the request to its first token, or 0 if there was none.
	FirstToken time.Duration
	// Stall is the time that the request waited for its adapter.
	Stall time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
}
