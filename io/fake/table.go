package fake

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"lentilproxy"
	tableclient "lentilproxy/io/table"
)

// HostListLag is how long the host list contains a host after the last write of its heartbeat row.
const HostListLag = 5 * time.Second

// hostPrefix is the key prefix of the hosts' heartbeat rows, from which the host list is derived.
const hostPrefix = "host/"

// TableFault configures the faults of the table.
type TableFault struct {
	// Unreachable closes every connection without processing the call.
	Unreachable bool `json:"away"`
	// DelayMS delays every call before it is processed.
	DelayMS int `json:"delay_ms"`
	// LoseCommitResponses is the number of commits whose responses are lost after they took effect.
	LoseCommitResponses int `json:"lose_commits"`
	// LateCommits is the number of commits whose connection is closed first and that take effect LateByMS later.
	LateCommits int `json:"late_commits"`
	LateByMS    int `json:"late_by_ms"`
	// CommitPrefix restricts the lost and late commits to those that write a row whose key has this prefix.
	CommitPrefix string `json:"only"`
	// Leaving are the names of hosts that the host list reports as leaving.
	Leaving []string `json:"leaving"`
}

// TableStats holds the counters of the table.
type TableStats struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Writes  int64 `json:"writes"`
	Rows    int   `json:"rows"`
}

// Table is a fake of the platform's table service and host list.
type Table struct {
	mutex sync.Mutex
	rows  map[string]lentilproxy.Row
	// sorted holds the keys of all rows in order.
	sorted  []string
	version int64
	// heartbeats holds the time of each host's last heartbeat write.
	heartbeats map[string]time.Time
	fault      TableFault
	stats      TableStats
	mux        *http.ServeMux
}

// NewTable returns an empty table.
func NewTable() *Table {
	table := &Table{
		rows: map[string]lentilproxy.Row{}, heartbeats: map[string]time.Time{}, mux: http.NewServeMux(),
	}
	table.mux.HandleFunc("POST "+tableclient.PathRead, table.handleRead)
	table.mux.HandleFunc("POST "+tableclient.PathCommit, table.handleCommit)
	table.mux.HandleFunc("GET "+tableclient.PathHosts, table.handleHosts)
	table.mux.HandleFunc("POST "+PathFault, table.handleFault)
	table.mux.HandleFunc("GET "+PathStats, table.handleStats)
	return table
}

// ServeHTTP implements http.Handler.
func (table *Table) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	table.mux.ServeHTTP(writer, request)
}

// SetFault replaces the faults.
func (table *Table) SetFault(fault TableFault) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.fault = fault
}

// Stats returns the counters.
func (table *Table) Stats() TableStats {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.stats.Rows = len(table.rows)
	return table.stats
}

func (table *Table) handleFault(writer http.ResponseWriter, request *http.Request) {
	handleSetFault(writer, request, table.SetFault)
}

func (table *Table) handleStats(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, table.Stats())
}

// unreachableAfterDelay waits for the configured delay and reports whether the table was unreachable at the start of
// the wait.
func (table *Table) unreachableAfterDelay() bool {
	table.mutex.Lock()
	fault := table.fault
	table.mutex.Unlock()
	if fault.DelayMS > 0 {
		time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	}
	return fault.Unreachable
}

func (table *Table) handleRead(writer http.ResponseWriter, request *http.Request) {
	var query lentilproxy.ReadRequest
	if !readJSON(writer, request, &query) {
		return
	}
	if table.unreachableAfterDelay() {
		dropConnection(writer)
		return
	}
	writeJSON(writer, http.StatusOK, table.read(query))
}

func (table *Table) read(query lentilproxy.ReadRequest) lentilproxy.ReadResult {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.stats.Reads++
	var result lentilproxy.ReadResult
	for _, key := range query.Keys {
		if row, found := table.rows[key]; found {
			result.Rows = append(result.Rows, row)
		}
	}
	for _, prefix := range query.Prefixes {
		result.Rows = append(result.Rows, table.scan(prefix, query)...)
	}
	sort.Slice(result.Rows, func(left, right int) bool { return result.Rows[left].Key < result.Rows[right].Key })
	if query.Limit > 0 && len(result.Rows) > query.Limit {
		result.Rows = result.Rows[:query.Limit]
	}
	return result
}

// scan returns the rows whose keys have a prefix. The mutex must be held.
func (table *Table) scan(prefix string, query lentilproxy.ReadRequest) []lentilproxy.Row {
	var rows []lentilproxy.Row
	first, found := slices.BinarySearch(table.sorted, max(prefix, query.After))
	if found && table.sorted[first] == query.After {
		first++
	}
	for _, key := range table.sorted[first:] {
		if !strings.HasPrefix(key, prefix) || (query.Limit > 0 && len(rows) == query.Limit) {
			break
		}
		rows = append(rows, table.rows[key])
	}
	return rows
}

func (table *Table) handleCommit(writer http.ResponseWriter, request *http.Request) {
	var transaction lentilproxy.Transaction
	if !readJSON(writer, request, &transaction) {
		return
	}
	if table.unreachableAfterDelay() {
		dropConnection(writer)
		return
	}
	lose, late, delay := table.nextCommitFault(transaction)
	if late {
		time.AfterFunc(delay, func() { table.commit(transaction) })
		dropConnection(writer)
		return
	}
	result := table.commit(transaction)
	if lose {
		dropConnection(writer)
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

// nextCommitFault consumes and returns the fault that applies to a commit, if any.
func (table *Table) nextCommitFault(transaction lentilproxy.Transaction) (lose, late bool, delay time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	matches := false
	for _, write := range transaction.Writes {
		matches = matches || strings.HasPrefix(write.Key, table.fault.CommitPrefix)
	}
	switch {
	case matches && table.fault.LoseCommitResponses > 0:
		table.fault.LoseCommitResponses--
		return true, false, 0
	case matches && table.fault.LateCommits > 0:
		table.fault.LateCommits--
		return false, true, time.Duration(table.fault.LateByMS) * time.Millisecond
	default:
		return false, false, 0
	}
}

func (table *Table) commit(transaction lentilproxy.Transaction) lentilproxy.CommitResult {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.stats.Commits++
	var result lentilproxy.CommitResult
	for _, condition := range transaction.Conditions {
		row := table.rows[condition.Key]
		if row.Version != condition.Version {
			row.Key = condition.Key
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	result.Committed = true
	for _, write := range transaction.Writes {
		table.stats.Writes++
		table.version++
		index, found := slices.BinarySearch(table.sorted, write.Key)
		if write.Delete {
			if found {
				table.sorted = slices.Delete(table.sorted, index, index+1)
			}
			delete(table.rows, write.Key)
			continue
		}
		if !found {
			table.sorted = slices.Insert(table.sorted, index, write.Key)
		}
		table.rows[write.Key] = lentilproxy.Row{Key: write.Key, Value: write.Value, Version: table.version}
		if name, isHost := strings.CutPrefix(write.Key, hostPrefix); isHost {
			table.heartbeats[name] = time.Now()
		}
	}
	return result
}

func (table *Table) handleHosts(writer http.ResponseWriter, _ *http.Request) {
	if table.unreachableAfterDelay() {
		dropConnection(writer)
		return
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.stats.Reads++
	hosts := []lentilproxy.HostStatus{}
	for name, at := range table.heartbeats {
		if time.Since(at) < HostListLag {
			hosts = append(hosts, lentilproxy.HostStatus{Name: name})
		}
	}
	for _, name := range table.fault.Leaving {
		hosts = append(hosts, lentilproxy.HostStatus{Name: name, Leaving: true})
	}
	sort.Slice(hosts, func(left, right int) bool { return hosts[left].Name < hosts[right].Name })
	writeJSON(writer, http.StatusOK, hosts)
}
