package fresh

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy/core/conf"
)

// BenchmarkRecordStatus measures recording a status and computing the proof, by the number of hosts.
func BenchmarkRecordStatus(b *testing.B) {
	for _, hosts := range []int{5, 45, 360} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			roster := &conf.Roster{Settled: true}
			tracker := NewTracker("host-0")
			for number := range hosts {
				roster.Members = append(roster.Members, conf.Member{Name: fmt.Sprintf("host-%d", number)})
			}
			tracker.Hold(1, roster)
			now := epoch
			for index := 0; b.Loop(); index++ {
				now = now.Add(time.Millisecond)
				tracker.RecordStatus(Status{Host: fmt.Sprintf("host-%d", index%hosts), Ready: true, Revision: 1}, now)
				if index%10 == 0 {
					tracker.RecordRead(1, now)
				}
				tracker.ProvenAt()
			}
		})
	}
}
