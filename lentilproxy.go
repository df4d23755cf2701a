// Package lentilproxy holds the interfaces of the system and the value types that cross them.
//
// Decisions live below lentilproxy/core and take the present time as an argument. Sockets, timers and
// processes live below lentilproxy/io.
package lentilproxy

import (
	"context"
	"time"
)

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the named rows and the rows below the prefixes, all as of one instant.
	Read(ctx context.Context, request ReadRequest) (ReadResult, error)
	// Commit applies all writes of a transaction if every condition holds, and none otherwise.
	// An error means that the effect is unknown.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
}

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
