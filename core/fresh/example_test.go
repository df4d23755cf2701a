package fresh_test

import (
	"fmt"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
)

// In a roster of three, a host is fresh while the table or a majority of the hosts reports no newer revision.
func ExampleTracker() {
	now := time.Unix(1_700_000_000, 0)
	roster := &conf.Roster{Members: []conf.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Settled: true}
	tracker := fresh.NewTracker("a")
	tracker.Hold(7, roster)
	tracker.RecordRead(7, now)
	fmt.Println("after a read of the table:", tracker.Fresh(now.Add(time.Second)))
	now = now.Add(10 * time.Second)
	fmt.Println("long after it:", tracker.Fresh(now))
	tracker.RecordStatus(fresh.Status{Host: "b", Ready: true, Revision: 7}, now)
	fmt.Println("with one of two others:", tracker.Fresh(now))
	// Output:
	// after a read of the table: true
	// long after it: false
	// with one of two others: true
}
