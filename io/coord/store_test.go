package coord

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/lease"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"

	"github.com/matryer/is"
)

// countingStore is a store in memory that counts its calls by purpose.
type countingStore struct {
	mutex   sync.Mutex
	version int64
	rows    map[string]lentilproxy.Row
	history []lentilproxy.Row
	calls   map[string]int
	// cutOff holds the hosts that get no response.
	cutOff map[string]bool
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*countingStore
	host string
}

func newCountingStore() *countingStore {
	return &countingStore{rows: map[string]lentilproxy.Row{}, calls: map[string]int{}, cutOff: map[string]bool{}}
}

// write writes or deletes rows in one transaction.
func (store *countingStore) write(writes ...lentilproxy.Write) {
	store.version++
	for _, write := range writes {
		row := lentilproxy.Row{Key: write.Key, Value: write.Value, Version: store.version, Deleted: write.Delete}
		store.history = append(store.history, row)
		if delete(store.rows, write.Key); !write.Delete {
			store.rows[write.Key] = row
		}
	}
}

func (store *countingStore) put(key, content string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(lentilproxy.Write{Key: key, Value: []byte(content)})
}

func (store *countingStore) takeCalls() map[string]int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	taken := store.calls
	store.calls = map[string]int{}
	return taken
}

func (store *hostStore) begin(purpose string) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls[purpose]++
	if store.cutOff[store.host] {
		return context.DeadlineExceeded
	}
	return nil
}

func inTable(table string, row lentilproxy.Row) (lentilproxy.Row, bool) {
	key, found := strings.CutPrefix(row.Key, table+"/")
	row.Key = key
	return row, found
}

// Scan implements lentilproxy.RowStore.
func (store *hostStore) Scan(_ context.Context, table string) (lentilproxy.Page, error) {
	if err := store.begin("scan " + table); err != nil {
		return lentilproxy.Page{}, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	page := lentilproxy.Page{Version: store.version}
	for _, row := range store.rows {
		if row, found := inTable(table, row); found {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// Changes implements lentilproxy.RowStore.
func (store *hostStore) Changes(_ context.Context, table string, after int64, _ time.Duration) (lentilproxy.Page, error) {
	if err := store.begin("changes " + table); err != nil {
		return lentilproxy.Page{}, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	page := lentilproxy.Page{Version: store.version}
	for _, row := range store.history {
		if row, found := inTable(table, row); found && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// Commit implements lentilproxy.RowStore.
func (store *hostStore) Commit(ctx context.Context, transaction lentilproxy.Transaction) (lentilproxy.CommitResult, error) {
	if err := store.begin(string(lentilproxy.StorePurposeOf(ctx))); err != nil {
		return lentilproxy.CommitResult{}, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var conflicts []lentilproxy.Row
	for _, condition := range transaction.Conditions {
		if row := store.rows[condition.Key]; row.Version != condition.Version {
			row.Key = condition.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return lentilproxy.CommitResult{Conflicts: conflicts}, nil
	}
	store.write(transaction.Writes...)
	return lentilproxy.CommitResult{Committed: true, Version: store.version}, nil
}

// jsonDecoder decodes servers' rows from JSON; operators' rows have no content.
type jsonDecoder struct{ countingDecoder }

// DecodeServer implements lentilproxy.RowDecoder.
func (*jsonDecoder) DecodeServer(row lentilproxy.Row) (spec.Server, error) {
	server := spec.Server{ID: row.Key}
	err := json.Unmarshal(row.Value, &server)
	return server, err
}

// startHosts starts coordinators that share a store, in data centres by turns.
func startHosts(t *testing.T, store *countingStore, hosts int, dataCentres ...string) []*Coordinator {
	t.Helper()
	dataCentres = append(dataCentres, "")
	var coordinators []*Coordinator
	for number := range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("host-%02d", number)
		settings := &setup.Settings{Host: setup.Host{Name: name, DataCentre: dataCentres[number%max(1, len(dataCentres)-1)]}, Bounds: setup.DefaultBounds()}
		settings.Listen.AdvertisePeers = listener.Addr().String()
		coordinator := New(settings, Platform{Store: &hostStore{countingStore: store, host: name}, Decoder: &jsonDecoder{}, Orders: noOrders{}}, listener)
		t.Cleanup(coordinator.Kill)
		coordinators = append(coordinators, coordinator)
	}
	return coordinators
}

// slowest returns how long it takes until all hosts have a server with a number of slots.
func slowest(coordinators []*Coordinator, server string, slots int) time.Duration {
	begun := time.Now()
	for time.Since(begun) < 5*time.Second {
		known := 0
		for _, coordinator := range coordinators {
			if coordinator.View().Servers[server].Slots == slots {
				known++
			}
		}
		if known == len(coordinators) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// Guards against hosts that read each table by themselves although they hear of it from peers: the servers' table changes with each
// heartbeat of a server, and the table of hosts with each renewal. Hosts that do not reach the store get changes from peers.
func TestFewCallsToTheStoreWithManyHosts(t *testing.T) {
	is := is.New(t)
	const hosts, servers = 24, 30
	store := newCountingStore()
	heartbeat := func(slots int) {
		for number := range servers {
			store.put(fmt.Sprint("servers/s", number), fmt.Sprintf(`{"Slots": %d, "Sequence": %d}`, slots, time.Now().UnixNano()))
		}
	}
	heartbeat(1)
	coordinators := startHosts(t, store, hosts)
	is.True(slowest(coordinators, "s29", 1) < 3*time.Second)
	time.Sleep(5 * time.Second)
	store.mutex.Lock()
	store.cutOff["host-03"] = true
	store.mutex.Unlock()
	store.takeCalls()
	const rounds = 5
	for range rounds {
		heartbeat(1)
		time.Sleep(1200 * time.Millisecond)
	}
	calls, reads := store.takeCalls(), 0
	for purpose, number := range calls {
		if strings.HasPrefix(purpose, "changes") || strings.HasPrefix(purpose, "scan") {
			reads += number
		}
	}
	rate := float64(reads) / (rounds * 1.2) / hosts
	t.Logf("%.2f reads a second and host: %v", rate, calls)
	heartbeat(2)
	late := slowest(coordinators, "s29", 2)
	t.Logf("a change is known on all hosts after %v", late)
	is.True(late < 2*time.Second)
	for _, coordinator := range coordinators {
		is.Equal(coordinator.traffic.hostCount(), hosts)
	}
	is.True(rate < 0.6)
}

// leased reports whether a host's lease is in force.
func leased(coordinator *Coordinator) bool {
	held := false
	coordinator.do(func(now time.Time) { held = coordinator.traffic.control.registry.Leased(now) })
	return held
}

// Guards against hosts that lose their leases when the host that writes their renewals stops responding, against a writer whose
// transaction fails as a whole since one of its hosts was expelled, and against expelled hosts that do not find out.
func TestHostsKeepTheirLeasesWithoutTheirWriter(t *testing.T) {
	is := is.New(t)
	const hosts = 14
	store := newCountingStore()
	coordinators := startHosts(t, store, hosts)
	time.Sleep(5 * time.Second)
	var names []string
	for _, coordinator := range coordinators {
		is.True(leased(coordinator))
		names = append(names, coordinator.settings.Host.Name)
	}
	writer := slices.Index(names, lease.Writer(names[0], names))
	expelled := (writer + 1) % hosts

	store.mutex.Lock()
	before := store.rows["fleet/host:"+names[expelled]].Version
	store.write(lentilproxy.Write{Key: "fleet/host:" + names[expelled], Delete: true})
	store.mutex.Unlock()
	// A host adds its row again only if it knows that it has lost its lease: its renewals have the version of the old row.
	joined := false
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !joined; time.Sleep(5 * time.Millisecond) {
		store.mutex.Lock()
		joined = store.rows["fleet/host:"+names[expelled]].Version > before
		store.mutex.Unlock()
	}
	is.True(joined)

	// The writer freezes: it accepts renewals and never writes them.
	coordinators[writer].traffic.control.renewals.mutex.Lock()
	defer coordinators[writer].traffic.control.renewals.mutex.Unlock()
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for number, coordinator := range coordinators {
			if number != writer && number != expelled {
				is.True(leased(coordinator))
			}
		}
	}
	is.True(!leased(coordinators[writer]))
}
