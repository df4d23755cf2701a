package loans

import (
	"context"
	"errors"
	"testing"
	"time"

	"lentilproxy/core/limit"

	"github.com/matryer/is"
)

// pair holds two exchangers by host and calls their methods directly.
type pair map[string]*Exchanger

// Lenders implements Hosts.
func (pair pair) Lenders(string) []string { return []string{"a", "b"} }

// Address implements Hosts.
func (pair pair) Address(host string) (string, bool) { return host, true }

func (pair pair) call(_ context.Context, address, method string, params, result any) error {
	peer := pair[address]
	if peer == nil {
		return errors.New("host is unavailable")
	}
	switch method {
	case MethodBorrow:
		*result.(*BorrowResult) = peer.Lend(params.(BorrowParams))
	case MethodReturn:
		*result.(*bool) = peer.AcceptReturns(params.(ReturnParams))
	}
	return nil
}

// newPair returns hosts "a" and "b", which share a limit of 100 tokens a second. Host "b" is reachable only if both is
// set.
func newPair(both bool) pair {
	pair := pair{}
	for _, name := range []string{"a", "b"} {
		limiter := limit.New(name, limit.WithOpenTime(time.Now().Add(-time.Second)))
		limiter.Configure(time.Now(), map[string]limit.Entitlement{"w": {Rate: 100, Burst: 100, Fraction: 0.5}})
		limiter.Fill(time.Now(), "w")
		exchanger := New(context.Background(), name, limiter, pair.call, 200*time.Millisecond, func() {
			pair[name].Exchange(time.Now(), pair)
		})
		if name == "a" || both {
			pair[name] = exchanger
		}
	}
	return pair
}

func TestChargeBorrowsFromOtherHost(t *testing.T) {
	is := is.New(t)
	pair := newPair(true)
	_, outcome := pair["a"].Charge(context.Background(), "w", 80) // The share of host "a" is 50.
	is.Equal(outcome, limit.Charged)
	var left float64
	pair["b"].Limiter(func(limiter *limit.Limiter) { left = limiter.Level(time.Now(), "w") })
	is.True(left < 40)
}

func TestChargeIsInsufficientWithoutOtherHost(t *testing.T) {
	is := is.New(t)
	pair := newPair(false)
	startedAt := time.Now()
	_, outcome := pair["a"].Charge(context.Background(), "w", 80)
	is.Equal(outcome, limit.Insufficient)
	is.True(time.Since(startedAt) < time.Second)
	_, outcome = pair["a"].Charge(context.Background(), "w", 30)
	is.Equal(outcome, limit.Charged)
}

func TestExchangesKeepMinimumInterval(t *testing.T) {
	is := is.New(t)
	pair := newPair(true)
	now := time.Now()
	is.Equal(pair["a"].Exchange(now, pair), time.Duration(0))
	is.Equal(pair["a"].Exchange(now, pair), minExchangeInterval)
	is.Equal(pair["a"].Exchange(now.Add(minExchangeInterval), pair), time.Duration(0))
}
