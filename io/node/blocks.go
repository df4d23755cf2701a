package node

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/io/block"
)

const (
	// prefixBlock starts the keys of the rows of blocks.
	prefixBlock = "block/"
	// blockReadInterval is the time between two reads of these rows, for hosts that their peers cannot reach.
	blockReadInterval = 10 * time.Second
)

// newBlocks returns the exchanger of blocks with the other hosts, and their rows in the table.
func newBlocks(node *Node) (*block.Exchanger, *block.Rows) {
	rows := block.NewRows(prefixBlock, node.table.Commit, node.log)
	return block.New(node.background, node.Name(), node.peers.Call, node.peerAddresses, block.WithLog(node.log), block.WithMetrics(node.metrics),
		block.WithStore(rows)), rows
}

// Blocks returns the blocks of requests that crash backend servers.
func (node *Node) Blocks() *block.Exchanger { return node.blocks }

// peerAddresses returns the addresses of the other hosts by name.
func (node *Node) peerAddresses() map[string]string {
	addresses := map[string]string{}
	for _, known := range node.View().state.Roster().Others(node.Name()) {
		addresses[known.Name] = known.PeerAddress
	}
	return addresses
}

// readBlocks applies the rows of blocks, and deletes one that has ended.
func (control *control) readBlocks(now time.Time, done func()) {
	node := control.node
	cleanup, needCleanup := control.blockRows.Cleanup(now)
	control.background(done, func(ctx context.Context) func(time.Time) {
		if needCleanup {
			if _, err := node.table.Commit(ctx, cleanup); err != nil {
				node.log.Info("failed to delete the row of a block that has ended", "error", err.Error())
			}
		}
		page, err := node.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{prefixBlock}})
		if err != nil {
			node.log.Info("failed to read the rows of blocks", "error", err.Error())
			return func(time.Time) {}
		}
		present := map[string]lentilproxy.Row{}
		for _, row := range page.Rows {
			present[row.Key] = row
		}
		return func(now time.Time) { control.blockRows.Observe(now, node.blocks, present) }
	})
}
