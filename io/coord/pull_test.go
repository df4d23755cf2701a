package coord

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"

	"github.com/matryer/is"
)

// stillRows is a store without rows.
type stillRows struct{}

// Scan implements lentilproxy.RowStore.
func (stillRows) Scan(context.Context, string) (lentilproxy.Page, error) {
	return lentilproxy.Page{Version: 1}, nil
}

// Changes implements lentilproxy.RowStore.
func (stillRows) Changes(context.Context, string, int64, time.Duration) (lentilproxy.Page, error) {
	return lentilproxy.Page{Version: 1}, nil
}

// Commit implements lentilproxy.RowStore.
func (stillRows) Commit(context.Context, lentilproxy.Transaction) (lentilproxy.CommitResult, error) {
	return lentilproxy.CommitResult{Committed: true, Version: 1}, nil
}

// stillSource decodes nothing and counts the operators' rows that it was asked for.
type stillSource struct{ decoded atomic.Int64 }

// Tables implements lentilproxy.RowDecoder.
func (*stillSource) Tables() (operators, servers string) { return "operators", "servers" }

// DecodeOperator implements lentilproxy.RowDecoder.
func (source *stillSource) DecodeOperator(lentilproxy.Row) (spec.Announcement, error) {
	source.decoded.Add(1)
	return spec.Announcement{}, nil
}

// DecodeServer implements lentilproxy.RowDecoder.
func (*stillSource) DecodeServer(lentilproxy.Row) (spec.Server, error) { return spec.Server{}, nil }

// newStill returns a coordinator on a store where nothing happens.
func newStill(t *testing.T) *Coordinator {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	coordinator := New(&setup.Settings{Host: setup.Host{Name: "host-1"}, Bounds: setup.DefaultBounds()},
		Platform{Rows: stillRows{}, Source: &stillSource{}}, listener)
	t.Cleanup(coordinator.Kill)
	return coordinator
}

// However many peers announce newer rows, one of them is asked at a time: a large row would fill the link again and
// again while it is under way.
func TestOnePeerIsAskedForRowsAtATime(t *testing.T) {
	is := is.New(t)
	// A peer that takes calls and never answers them.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	coordinator := newStill(t)
	control := coordinator.traffic.control
	asked := 0
	for range 20 {
		coordinator.do(func(now time.Time) {
			before := control.operators.pulledAt
			peer := &peerState{name: "peer", address: silent.Addr().String(), told: map[string]int64{}}
			control.compareNewest(now, peer, map[string]int64{"operators": 9})
			if control.operators.pulledAt != before {
				asked++
			}
		})
		time.Sleep(rowsInterval / 5)
	}
	// The first question is given up after peerTimeout, as long as this test takes; four fit into that time.
	is.True(asked >= 1 && asked <= 2)
}
