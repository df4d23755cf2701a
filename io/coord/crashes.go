package coord

import (
	"context"
	"strings"
	"time"

	"lentilproxy"
	"lentilproxy/core/lease"
	"lentilproxy/io/block"
	"lentilproxy/io/clock"
)

// prefixBlock starts the keys of the rows of blocks in the table of hosts, which all hosts mirror.
const prefixBlock = "block:"

// newBlocks returns the exchanger of blocks with the other hosts, and their rows in the store.
func newBlocks(coordinator *Coordinator) (*block.Exchanger, *block.Rows) {
	rows := block.NewRows(lease.Table+"/"+prefixBlock, coordinator.store.Commit, coordinator.log)
	return block.New(coordinator.ctx, coordinator.settings.Host.Name, coordinator.peers.Call, coordinator.traffic.peerAddresses,
		block.WithClock(clock.Now), block.WithLog(coordinator.log), block.WithMetrics(coordinator.metrics), block.WithStore(rows),
		block.WithProbe(coordinator.responds)), rows
}

// responds reports whether a server that runs a model answers a request for its report as the given incarnation.
func (coordinator *Coordinator) responds(ctx context.Context, incarnation string) bool {
	view := coordinator.View()
	server, found := view.Servers[incarnation[:max(0, strings.LastIndex(incarnation, "/"))]]
	if !found || block.Incarnation(server.ID, server.StartedMillis) != incarnation {
		return false
	}
	if server.Draining || server.Evacuated || coordinator.traffic.Wait(clock.Now(), server.Incarnation()) > 0 {
		// It wants no requests for reports either.
		return false
	}
	if service, known := view.Config.Service(server.Service); !known || service.Engine == nil {
		return false
	}
	report, err := coordinator.orders.Report(ctx, server)
	return err == nil && report.StartedMillis == server.StartedMillis
}

// Blocks returns the blocks of requests that crash backend servers.
func (coordinator *Coordinator) Blocks() *block.Exchanger { return coordinator.blocks }

// peerAddresses returns the addresses of the other hosts by name.
func (traffic *Traffic) peerAddresses() map[string]string {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.lenders.addresses
}

// observeBlocks applies the mirrored rows of blocks.
func (control *control) observeBlocks(now time.Time) {
	present := map[string]lentilproxy.Row{}
	for key, row := range control.fleet.Rows() {
		if strings.HasPrefix(key, prefixBlock) && !row.Deleted {
			present[key] = row
		}
	}
	control.blockRows.Observe(now, control.coordinator.blocks, present)
}

// expiredBlock returns a transaction that deletes the row of a block that has ended, if there is one. Only the first reader
// of the table deletes them.
func (control *control) expiredBlock(now time.Time) (lentilproxy.Transaction, bool) {
	if control.rank(now, control.fleet) > 0 {
		return lentilproxy.Transaction{}, false
	}
	return control.blockRows.Cleanup(now)
}
