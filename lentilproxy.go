// Package lentilproxy defines the interfaces between the parts of the system and the types that they exchange.
//
// Packages below lentilproxy/core make decisions: they do no input or output and take the current time as an argument.
// Packages below lentilproxy/io handle sockets, timers and processes.
package lentilproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lentilproxy/core/spec"
)

// ErrHistoryLost reports that a store no longer has the requested changes. The caller has to scan the table instead.
var ErrHistoryLost = errors.New("the store has dropped the requested history")

// ErrNoResponse reports that a backend server has not responded to an order that may have reached it.
var ErrNoResponse = errors.New("the server has not responded, and may still carry out the order")

// ErrNotPermitted reports that an order was not sent, since the host's lease had ended before its first byte was sent.
var ErrNotPermitted = errors.New("the host may no longer send the order")

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the named rows and the rows below the prefixes, all as of one point in time.
	Read(ctx context.Context, request ReadRequest) (ReadResult, error)
	// Commit applies all writes of a transaction if every condition holds, and none otherwise.
	// An error means that the effect is unknown.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
}

// RowStore is a linearizable store of versioned rows in tables, with a feed of changes. Keys are TABLE/KEY.
type RowStore interface {
	// Scan returns all rows of a table.
	Scan(ctx context.Context, table string) (Page, error)
	// Changes returns the rows of a table that changed after a version, including deleted ones. If there are none, it
	// waits up to the given time for a change. It returns ErrHistoryLost if the store no longer has the changes.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Commit applies all writes of a transaction if every condition holds, and none otherwise.
	// An error means that the effect is unknown.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
}

// Dialect translates between the HTTP headers of callers and backend servers and the project's types.
type Dialect interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(header http.Header) (RequestInfo, error)
	// RequestHeader returns the headers to send to a backend server, derived from the caller's headers.
	RequestHeader(header http.Header, forward ForwardInfo) http.Header
	// DecodeResponse decodes the status and headers of a backend server's response.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// ResponseHeader returns the headers to send to the caller, derived from the backend server's headers.
	ResponseHeader(header http.Header) http.Header
	// ReadyPath returns the path of the readiness check that the load balancer in front of the hosts calls.
	ReadyPath() string
}

// Orders sends orders to backend servers that run models.
type Orders interface {
	// Order sends one order. It calls permitted right before the first byte is sent; if that returns false, nothing is
	// sent, and the error is ErrNotPermitted. After any other error, the server may still carry the order out, now or
	// later.
	Order(ctx context.Context, server spec.Server, order Order, permitted func() bool) (OrderOutcome, error)
	// Report asks a server which models and adapters it has loaded. The report lags by some hundred milliseconds.
	Report(ctx context.Context, server spec.Server) (spec.Report, error)
	// OnNotice sets the function that is called with the headers of responses in which servers say that they are leaving or
	// want no requests. It must be called before Order and Report.
	OnNotice(handle func(server spec.Server, info ResponseInfo))
}

// RowDecoder decodes rows of the store.
type RowDecoder interface {
	// Tables returns the names of the operators' table and of the table of backend servers.
	Tables() (operators, servers string)
	// DecodeOperator decodes a row of the operators' table. It returns the zero Announcement for a row of another kind.
	DecodeOperator(row Row) (spec.Announcement, error)
	// DecodeServer decodes the registration of a backend server.
	DecodeServer(row Row) (spec.Server, error)
}

// Page holds rows of a table.
type Page struct {
	Rows []Row
	// Version is the version of the store up to which the rows are complete. Some rows may be newer.
	Version int64
}

// RequestInfo is the content of the headers of a caller's request.
type RequestInfo struct {
	// ID identifies one attempt of the caller at a request.
	ID string
	// Timeout is how long the caller waits for the response; 0 if not given.
	Timeout time.Duration
	// Key is the caller's API key, or empty.
	Key string
	// Model is empty for requests that name no model.
	Model spec.AdapterRef
	// PromptTokens is the size of the prompt and OutputTokens the maximum size of the response; 0 if not given.
	PromptTokens int64
	OutputTokens int64
	// EstimatedTokens is the caller's estimate of the size of the response; 0 if not given.
	EstimatedTokens int64
	// SharedTokens is the size of the parts of the prompt that other requests may share.
	SharedTokens int64
	// PromptParts holds the IDs of the parts of the prompt, in order. The last part belongs to this request or its session;
	// other requests may share the parts before it.
	PromptParts []string
}

// ForwardInfo is what a host adds to a request that it forwards to a backend server.
type ForwardInfo struct {
	// Server is the ID of the backend server.
	Server string
	// Timeout is the remaining time for the request.
	Timeout   time.Duration
	Workspace string
	// Priority is 0 for the most urgent requests and negative if none is set.
	Priority int
	// Version is the adapter version that the server must use; 0 for any.
	Version int64
	// LastEventID is the ID of the event after which a stream resumes, or empty.
	LastEventID string
}

// ResponseInfo is the content of the headers of a backend server's response.
type ResponseInfo struct {
	// ID identifies the request that the response belongs to.
	ID string
	// Signed marks responses of a server that ran the request.
	Signed bool
	// NotExecuted reports that the server has not run the request and never will.
	NotExecuted bool
	// Leaving reports that the server will end soon and wants no further requests.
	Leaving bool
	// Pause is how long the server wants no requests from this host; 0 if it does not say so.
	Pause time.Duration
	// Cold is how much longer the server stays cold; 0 if it does not say so.
	Cold time.Duration
}

// OrderKind is the operation that an order requests.
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
	// Holder is the lease holder that sends the order, and Token the fencing token of its lease.
	Holder string
	Token  int64
	// Sequence is the number of orders that the server must have accepted before this one.
	Sequence int64
	// Poll is set if the order repeats a load that the server has accepted, to learn whether it is complete. An outcome that
	// belongs to an earlier poll does no harm.
	Poll bool
}

// OrderOutcome is a server's response to an order.
type OrderOutcome int

// The outcomes of orders.
const (
	// OrderSatisfied means that the server is in the requested state.
	OrderSatisfied OrderOutcome = iota
	// OrderAccepted means that the server is carrying the order out.
	OrderAccepted
	// OrderConflict means that another order is in progress, or that the sequence differs.
	OrderConflict
	// OrderFenced means that a later lease holder has sent orders.
	OrderFenced
	// OrderMisdirected means that another server responded at the address.
	OrderMisdirected
	// OrderInvalid means that the server cannot carry the order out.
	OrderInvalid
)

// HostList is the platform's list of hosts. It may be out of date.
type HostList interface {
	// Hosts returns the hosts that the platform lists.
	Hosts(ctx context.Context) ([]HostStatus, error)
}

// Engine carries out orders on one backend server that runs models.
type Engine interface {
	// Load loads an instance, so that it can serve requests.
	Load(ctx context.Context, order LoadOrder) error
	// Unload unloads an instance and frees its slot.
	Unload(ctx context.Context, order UnloadOrder) error
	// Instances returns the loaded instances.
	Instances(ctx context.Context) ([]string, error)
}

// PlacementPolicy chooses the engine that loads an adapter and the instance to evict there.
type PlacementPolicy interface {
	// Choose returns the engine for an adapter and the instance to evict there. It returns false if no engine fits.
	Choose(now time.Time, demand Demand, engines []EngineState) (Choice, bool)
}

// Row is one row of the table service; version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	// Deleted marks a row that this version deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// ReadRequest names the rows to read.
type ReadRequest struct {
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
	// After and Limit page through one prefix; a limit of 0 means no limit.
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

// Condition requires a version of a row; version 0 requires that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write puts or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect only if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult reports whether a transaction was committed, and the rows whose conditions failed.
type CommitResult struct {
	Committed bool  `json:"committed"`
	Conflicts []Row `json:"conflicts,omitempty"`
	// Version is the version of the rows that were put, if the store reports it.
	Version int64 `json:"version,omitempty"`
}

// HostStatus is one entry of the platform's list of hosts.
type HostStatus struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving,omitempty"`
}

// LoadOrder asks an engine to load an instance.
type LoadOrder struct {
	Instance string
	// Source is the name of the object in the weight store.
	Source string
	// FencingToken is the epoch of the owner that sends the order.
	FencingToken int64
}

// UnloadOrder asks an engine to unload an instance.
type UnloadOrder struct {
	Instance     string
	FencingToken int64
}

// Demand describes the adapter that needs a slot.
type Demand struct {
	Adapter   string
	BaseModel string
	// Replicas is the number of engines that already have the adapter.
	Replicas int
}

// EngineState is the state of one engine as tracked by the owner of the pool.
type EngineState struct {
	Name      string
	BaseModel string
	// Slots is the number of instances that the owner may load on the engine.
	Slots int
	// InFlight is the number of requests in flight.
	InFlight int
	Held     []HeldInstance
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

// Choice is the decision of a placement policy. Evict is empty if a slot is free.
type Choice struct {
	Engine string
	Evict  string
}

// Recorder collects samples for reports on service levels.
type Recorder interface {
	// Record records a finished request.
	Record(now time.Time, sample Sample)
}

// Sample describes one finished request.
type Sample struct {
	Workspace string
	// Good marks requests that got a complete response, or were refused for a reason on the caller's side.
	Good bool
	// FirstToken is the time from the request to its first token, or 0 if there was none.
	FirstToken time.Duration
	// Stall is the time that the request waited for its adapter to load.
	Stall time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
}
