package fake

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"lentilproxy"
	"lentilproxy/io/table"
)

// HostListLag is how long the host list goes on naming a host whose heartbeat row is no longer written.
const HostListLag = 5 * time.Second

// hostPrefix starts the rows by which the stand-in learns which hosts live.
const hostPrefix = "host/"

// TableFault tells the table stand-in how to fail.
type TableFault struct {
	// Away cuts every connection without an effect.
	Away bool `json:"away"`
	// DelayMS delays every call before its effect.
	DelayMS int `json:"delay_ms"`
	// LoseCommits is the number of commits whose answers are lost after they took effect.
	LoseCommits int `json:"lose_commits"`
	// LateCommits is the number of commits that are cut off first and take effect LateByMS later.
	LateCommits int `json:"late_commits"`
	LateByMS    int `json:"late_by_ms"`
	// Only restricts the lost and late commits to those that write a row below a prefix.
	Only string `json:"only"`
	// Leaving are names that the host list shows as leaving.
	Leaving []string `json:"leaving"`
}

// TableStats counts what the table stand-in did.
type TableStats struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Writes  int64 `json:"writes"`
	Rows    int   `json:"rows"`
}

// Table is the stand-in for the platform's table service and host list.
type Table struct {
	mutex   sync.Mutex
	rows    map[string]lentilproxy.Row
	sorted  []string
	version int64
	written map[string]time.Time
	fault   TableFault
	stats   TableStats
	mux     *http.ServeMux
}

// NewTable returns an empty table.
func NewTable() *Table {
	stand := &Table{
		rows: map[string]lentilproxy.Row{}, written: map[string]time.Time{}, mux: http.NewServeMux(),
	}
	stand.mux.HandleFunc("POST "+table.PathRead, stand.handleRead)
	stand.mux.HandleFunc("POST "+table.PathCommit, stand.handleCommit)
	stand.mux.HandleFunc("GET "+table.PathHosts, stand.handleHosts)
	stand.mux.HandleFunc("POST "+PathFault, stand.handleFault)
	stand.mux.HandleFunc("GET "+PathStats, stand.handleStats)
	return stand
}

// ServeHTTP implements http.Handler.
func (stand *Table) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	stand.mux.ServeHTTP(writer, request)
}

// SetFault replaces the faults.
func (stand *Table) SetFault(fault TableFault) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.fault = fault
}

// Stats returns the counts.
func (stand *Table) Stats() TableStats {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.stats.Rows = len(stand.rows)
	return stand.stats
}

func (stand *Table) handleFault(writer http.ResponseWriter, request *http.Request) {
	takeFaults(writer, request, stand.SetFault)
}

func (stand *Table) handleStats(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, stand.Stats())
}

// away waits out the delay and says whether the call is to be cut.
func (stand *Table) away() bool {
	stand.mutex.Lock()
	fault := stand.fault
	stand.mutex.Unlock()
	if fault.DelayMS > 0 {
		time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	}
	return fault.Away
}

func (stand *Table) handleRead(writer http.ResponseWriter, request *http.Request) {
	var query lentilproxy.ReadRequest
	if !readJSON(writer, request, &query) {
		return
	}
	if stand.away() {
		cut(writer)
		return
	}
	writeJSON(writer, http.StatusOK, stand.read(query))
}

func (stand *Table) read(query lentilproxy.ReadRequest) lentilproxy.ReadResult {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.stats.Reads++
	var result lentilproxy.ReadResult
	for _, key := range query.Keys {
		if row, found := stand.rows[key]; found {
			result.Rows = append(result.Rows, row)
		}
	}
	for _, prefix := range query.Prefixes {
		result.Rows = append(result.Rows, stand.scan(prefix, query)...)
	}
	sort.Slice(result.Rows, func(left, right int) bool { return result.Rows[left].Key < result.Rows[right].Key })
	if query.Limit > 0 && len(result.Rows) > query.Limit {
		result.Rows = result.Rows[:query.Limit]
	}
	return result
}

// scan returns the rows below a prefix; it must be called with the mutex held.
func (stand *Table) scan(prefix string, query lentilproxy.ReadRequest) []lentilproxy.Row {
	var rows []lentilproxy.Row
	first, found := slices.BinarySearch(stand.sorted, max(prefix, query.After))
	if found && stand.sorted[first] == query.After {
		first++
	}
	for _, key := range stand.sorted[first:] {
		if !strings.HasPrefix(key, prefix) || (query.Limit > 0 && len(rows) == query.Limit) {
			break
		}
		rows = append(rows, stand.rows[key])
	}
	return rows
}

func (stand *Table) handleCommit(writer http.ResponseWriter, request *http.Request) {
	var transaction lentilproxy.Transaction
	if !readJSON(writer, request, &transaction) {
		return
	}
	if stand.away() {
		cut(writer)
		return
	}
	lose, late, delay := stand.takeFault(transaction)
	if late {
		time.AfterFunc(delay, func() { stand.commit(transaction) })
		cut(writer)
		return
	}
	result := stand.commit(transaction)
	if lose {
		cut(writer)
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

func (stand *Table) takeFault(transaction lentilproxy.Transaction) (lose, late bool, delay time.Duration) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	hit := false
	for _, write := range transaction.Writes {
		hit = hit || strings.HasPrefix(write.Key, stand.fault.Only)
	}
	switch {
	case hit && stand.fault.LoseCommits > 0:
		stand.fault.LoseCommits--
		return true, false, 0
	case hit && stand.fault.LateCommits > 0:
		stand.fault.LateCommits--
		return false, true, time.Duration(stand.fault.LateByMS) * time.Millisecond
	default:
		return false, false, 0
	}
}

func (stand *Table) commit(transaction lentilproxy.Transaction) lentilproxy.CommitResult {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.stats.Commits++
	var result lentilproxy.CommitResult
	for _, condition := range transaction.Conditions {
		row := stand.rows[condition.Key]
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
		stand.stats.Writes++
		stand.version++
		place, found := slices.BinarySearch(stand.sorted, write.Key)
		if write.Delete {
			if found {
				stand.sorted = slices.Delete(stand.sorted, place, place+1)
			}
			delete(stand.rows, write.Key)
			continue
		}
		if !found {
			stand.sorted = slices.Insert(stand.sorted, place, write.Key)
		}
		stand.rows[write.Key] = lentilproxy.Row{Key: write.Key, Value: write.Value, Version: stand.version}
		if name, isHost := strings.CutPrefix(write.Key, hostPrefix); isHost {
			stand.written[name] = time.Now()
		}
	}
	return result
}

func (stand *Table) handleHosts(writer http.ResponseWriter, _ *http.Request) {
	if stand.away() {
		cut(writer)
		return
	}
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.stats.Reads++
	hosts := []lentilproxy.HostStatus{}
	for name, at := range stand.written {
		if time.Since(at) < HostListLag {
			hosts = append(hosts, lentilproxy.HostStatus{Name: name})
		}
	}
	for _, name := range stand.fault.Leaving {
		hosts = append(hosts, lentilproxy.HostStatus{Name: name, Leaving: true})
	}
	sort.Slice(hosts, func(left, right int) bool { return hosts[left].Name < hosts[right].Name })
	writeJSON(writer, http.StatusOK, hosts)
}
