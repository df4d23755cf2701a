package coord

import (
	"strconv"
	"testing"
	"time"

	"lentilproxy/core/value"

	"github.com/matryer/is"
)

// Guards against a dispatcher on a host that has too little processor time for the messages of all hosts, while there are larger ones.
func TestSmallHostsAreNotChosenForAllHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name       string
		processors map[string]float64
		avoided    []string
		allowed    []string
	}{
		{"not stated", nil, nil, []string{"a", "b", "c", "d"}},
		{"equal", map[string]float64{"a": 0.6, "b": 0.6, "c": 0.6, "d": 0.6}, nil, []string{"a", "b", "c", "d"}},
		{"similar", map[string]float64{"a": 0.45, "b": 0.6, "c": 0.8, "d": 0.8}, nil, []string{"a", "b", "c", "d"}},
		{"small ones", map[string]float64{"a": 0.144, "b": 0.144, "c": 0.6, "d": 0.8}, nil, []string{"c", "d"}},
		{"large ones do not respond", map[string]float64{"a": 0.144, "b": 0.144, "c": 0.6, "d": 0.8}, []string{"c", "d"}, []string{"a", "b"}},
		{"stated by some", map[string]float64{"d": 0.8}, nil, []string{"d"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rank := newHostRank()
			rank.setHosts(map[string]string{"a": "1", "b": "2", "c": "3", "d": "4"})
			rank.setProcessors(test.processors)
			for _, host := range test.avoided {
				rank.avoid(host, now.Add(time.Second))
			}
			chosen := value.Set[string]{}
			for key := range 100 {
				name, _, found := rank.hostFor(now, strconv.Itoa(key))
				is.True(found)
				chosen.Add(name)
			}
			is.Equal(value.Sorted(chosen), test.allowed)
		})
	}
}
