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

// emptyStore is a store without rows.
type emptyStore struct{}

// Scan implements lentilproxy.RowStore.
func (emptyStore) Scan(context.Context, string) (lentilproxy.Page, error) {
	return lentilproxy.Page{Version: 1}, nil
}

// Changes implements lentilproxy.RowStore.
func (emptyStore) Changes(context.Context, string, int64, time.Duration) (lentilproxy.Page, error) {
	return lentilproxy.Page{Version: 1}, nil
}

// Commit implements lentilproxy.RowStore.
func (emptyStore) Commit(context.Context, lentilproxy.Transaction) (lentilproxy.CommitResult, error) {
	return lentilproxy.CommitResult{Committed: true, Version: 1}, nil
}

// countingDecoder counts the operators' rows that it decodes. Each of them evacuates a data centre, or has no content if that is empty.
type countingDecoder struct {
	decoded   atomic.Int64
	evacuated string
}

// Tables implements lentilproxy.RowDecoder.
func (*countingDecoder) Tables() (operators, servers string) { return "operators", "servers" }

// DecodeOperator implements lentilproxy.RowDecoder.
func (decoder *countingDecoder) DecodeOperator(lentilproxy.Row) (spec.Announcement, error) {
	decoder.decoded.Add(1)
	return spec.Announcement{Evacuated: decoder.evacuated}, nil
}

// DecodeServer implements lentilproxy.RowDecoder.
func (*countingDecoder) DecodeServer(lentilproxy.Row) (spec.Server, error) { return spec.Server{}, nil }

// noOrders is never called for orders or reports.
type noOrders struct{ lentilproxy.Orders }

// OnNotice implements lentilproxy.Orders.
func (noOrders) OnNotice(func(server spec.Server, info lentilproxy.ResponseInfo)) {}

// newIdleCoordinator returns a coordinator with an empty store that never changes.
func newIdleCoordinator(t *testing.T) *Coordinator {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	coordinator := New(&setup.Settings{Host: setup.Host{Name: "host-1"}, Bounds: setup.DefaultBounds()},
		Platform{Store: emptyStore{}, Decoder: &countingDecoder{}, Orders: noOrders{}}, listener)
	t.Cleanup(coordinator.Kill)
	return coordinator
}

// Rows must be pulled from one peer at a time, however many peers announce newer ones: while a large row is in transit,
// further requests for it would congest the link.
func TestRowsArePulledFromOnePeerAtATime(t *testing.T) {
	is := is.New(t)
	// The peer accepts calls and never responds.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	coordinator := newIdleCoordinator(t)
	control := coordinator.traffic.control
	pulls := 0
	for range 20 {
		coordinator.do(func(now time.Time) {
			before := control.operators.pulledAt
			peer := &peerState{name: "peer", address: silent.Addr().String(), ackedRevisions: map[string]int64{}}
			control.compareVersions(now, peer, map[string]int64{"operators": 9}, nil)
			if control.operators.pulledAt != before {
				pulls++
			}
		})
		time.Sleep(rowsPullInterval / 5)
	}
	// The first pull times out after callTimeout, about as long as this test takes; rowsPullInterval alone would allow
	// four pulls in that time.
	is.True(pulls >= 1 && pulls <= 2)
}
