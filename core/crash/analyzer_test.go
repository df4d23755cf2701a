package crash

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns a point in time, in milliseconds after epoch.
func at(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }

// request returns a request that was sent at a time in milliseconds.
func request(sent int, parts ...string) Request {
	return Request{Parts: Parts(parts, ""), SentAt: at(sent)}
}

func partsOf(names ...string) []Part { return Parts(names, "") }

// step is one event that an analyzer learns of.
type step func(analyzer *Analyzer)

func crashed(milliseconds int, incarnation string, requests ...Request) step {
	return func(analyzer *Analyzer) {
		analyzer.Record(at(milliseconds), at(milliseconds), "server", incarnation, requests)
	}
}

func begun(milliseconds int, part string) step {
	return func(analyzer *Analyzer) {
		analyzer.Observe(PromptPart(part), Sighting{BegunAt: at(milliseconds)})
	}
}

func survived(milliseconds int, part string) step {
	return func(analyzer *Analyzer) {
		analyzer.Observe(PromptPart(part), Sighting{BegunAt: at(milliseconds), SurvivedAt: at(milliseconds)})
	}
}

func responded(milliseconds int, incarnation string) step {
	return func(analyzer *Analyzer) { analyzer.ObserveServer(incarnation, at(milliseconds)) }
}

func TestDecideBlocks(t *testing.T) {
	three := []step{
		crashed(1000, "s1", request(900, "a", "bad")), crashed(2000, "s2", request(1900, "a", "bad")), crashed(3000, "s3", request(2900, "a", "bad")),
	}
	for name, test := range map[string]struct {
		steps []step
		now   int
		want  [][]string
	}{
		"two crashes":                     {three[:2], 9000, nil},
		"the last crash has not settled":  {three, 3300, nil},
		"always with the same other part": {three, 9000, [][]string{{"a", "bad"}}},
		"the other part has begun":        {append(slices.Clone(three), begun(2500, "a")), 9000, [][]string{{"bad"}}},
		"begun before the first crash":    {append(slices.Clone(three), begun(500, "a")), 9000, [][]string{{"a", "bad"}}},
		"survived since":                  {append(slices.Clone(three), survived(1500, "bad"), survived(1500, "a")), 9000, nil},
		"survived before":                 {append(slices.Clone(three), survived(500, "bad")), 9000, [][]string{{"a", "bad"}}},
		"begun needs more crashes":        {append(slices.Clone(three), begun(1500, "bad"), begun(1500, "a")), 9000, nil},
		"a server responded later":        {append(slices.Clone(three), responded(2400, "s2")), 9000, nil},
		"late bytes of a crashed server":  {append(slices.Clone(three), responded(2100, "s2")), 9000, [][]string{{"a", "bad"}}},
		"requests to a crashed server":    {append(slices.Clone(three), crashed(2500, "s2", request(2400, "other"))), 9000, [][]string{{"a", "bad"}}},
		"a server that had not crashed": {
			[]step{crashed(200, "s2", request(100, "x")), three[0], responded(1500, "s2"), three[1], three[2]}, 9000, [][]string{{"a", "bad"}},
		},
		"reports of one crash":            {[]step{three[0], crashed(1001, "s1", request(950, "a", "bad")), crashed(1002, "s1", request(960, "a", "bad"))}, 9000, nil},
		"servers that fail together":      {[]step{crashed(1000, "s1", request(900, "a")), crashed(1010, "s2", request(900, "a")), crashed(1020, "s3", request(900, "a"))}, 9000, nil},
		"requests that waited long":       {[]step{crashed(1000, "s1", request(0, "bad")), crashed(1400, "s2", request(0, "bad")), crashed(1800, "s3", request(0, "bad"))}, 9000, [][]string{{"bad"}}},
		"five crashes after events began": {append(slices.Clone(three), begun(1500, "bad"), begun(1500, "a"), crashed(4000, "s4", request(3900, "bad")), crashed(5000, "s5", request(4900, "bad"))), 9000, [][]string{{"bad"}}},
		"five servers at three times after events began": {
			[]step{
				crashed(1000, "s1", request(960, "a", "bad")), begun(1500, "bad"), begun(1500, "a"), crashed(1240, "s2", request(1200, "a", "bad")),
				crashed(1241, "s3", request(1201, "bad")), crashed(1480, "s4", request(1440, "bad")), crashed(1481, "s5", request(1440, "bad")),
			}, 9000, [][]string{{"bad"}},
		},
		"four servers at three times after events began": {
			[]step{
				crashed(1000, "s1", request(960, "a", "bad")), begun(1500, "bad"), begun(1500, "a"), crashed(1240, "s2", request(1200, "bad")),
				crashed(1480, "s3", request(1440, "bad")), crashed(1481, "s4", request(1440, "bad")),
			}, 9000, nil,
		},
		"six servers at two times after events began": {
			[]step{
				crashed(1000, "s1", request(960, "a", "bad")), crashed(1001, "s2", request(960, "a", "bad")), crashed(1002, "s3", request(960, "bad")), begun(1500, "bad"), begun(1500, "a"),
				crashed(1480, "s4", request(1440, "bad")), crashed(1481, "s5", request(1440, "bad")), crashed(1482, "s6", request(1440, "bad")),
			}, 9000, nil,
		},
		"sound requests on the same server": {
			[]step{
				crashed(1000, "s1", request(900, "a", "bad"), request(900, "a")), crashed(2000, "s2", request(1900, "a", "bad"), request(1900, "a")),
				crashed(3000, "s3", request(2900, "a"), request(2950, "a", "bad")),
			}, 9000, [][]string{{"a", "bad"}},
		},
		"a neighbour at some of the crashes": {
			[]step{
				crashed(1000, "s1", request(900, "bad")), crashed(1500, "s2", request(1400, "bad"), request(1400, "rare")),
				crashed(2000, "s3", request(1900, "bad"), request(1950, "rare")), crashed(2500, "s4", request(2400, "bad"), request(2400, "rare")),
			}, 9000, [][]string{{"bad"}},
		},
		"a request to a server that had just crashed": {
			[]step{
				crashed(1000, "s1", request(900, "a", "bad", "b")), begun(1500, "a"), crashed(2000, "s2", request(1900, "a", "bad", "b")),
				crashed(3000, "s3", request(2900, "a", "bad", "c"), request(2950, "a", "bad", "d"), request(3187, "a", "b")),
			}, 9000, [][]string{{"bad"}},
		},
		"requests to servers that had just crashed, at more crashes": {
			[]step{
				crashed(500, "s0", request(450, "b")), crashed(1000, "s1", request(900, "a", "bad", "b")), begun(1500, "a"),
				crashed(2000, "s2", request(1900, "a", "bad"), request(2100, "a", "b")), crashed(3000, "s3", request(2900, "a", "bad"), request(3187, "a", "b")),
			}, 9000, [][]string{{"bad"}},
		},
		"reports that take different times": {
			[]step{
				crashed(1000, "s1", request(950, "a"), request(1040, "bad", "b")), crashed(2000, "s2", request(1950, "a"), request(2040, "bad", "b")),
				crashed(3000, "s3", request(2950, "c"), request(3040, "bad"), request(3187, "b")),
			}, 9000, [][]string{{"bad"}},
		},
		"requests that always seem to be sent after the crash": {
			[]step{
				crashed(1000, "s1", request(950, "a"), request(1200, "bad")), crashed(2000, "s2", request(1950, "b"), request(2200, "bad")),
				crashed(3000, "s3", request(2950, "c"), request(3200, "bad")),
			}, 9000, [][]string{{"bad"}},
		},
		"another crash beside": {
			[]step{
				crashed(500, "s0", request(400, "a")), crashed(1000, "s1", request(900, "a", "bad"), request(900, "a")),
				crashed(2000, "s2", request(1900, "a", "bad")), crashed(3000, "s3", request(2900, "a", "bad")),
			}, 9000, [][]string{{"a", "bad"}},
		},
		"two parts at once": {
			[]step{
				crashed(1000, "s1", request(900, "a", "bad")), crashed(1500, "s2", request(1400, "a", "worse")), crashed(2000, "s3", request(1900, "a", "bad")),
				crashed(2500, "s4", request(2400, "a", "worse")), crashed(3000, "s5", request(2900, "a", "bad")), crashed(3500, "s6", request(3400, "a", "worse")),
				begun(2600, "a"),
			}, 9000, [][]string{{"bad"}, {"worse"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			analyzer := NewAnalyzer()
			for _, step := range test.steps {
				step(analyzer)
			}
			var got, want []string
			for _, block := range analyzer.Decide(at(test.now), nil) {
				is.True(block.valid())
				got = append(got, block.Key())
			}
			for _, names := range test.want {
				want = append(want, Block{Parts: partsOf(names...)}.Key())
			}
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(got, want)
		})
	}
}

// A part that was blocked only together with another one is blocked alone once it crashes a server without that one.
func TestBlockIsWidenedByAFurtherCrash(t *testing.T) {
	is := is.New(t)
	analyzer := NewAnalyzer()
	for number := range 3 {
		crashed(1000*(number+1), fmt.Sprint("s", number), request(1000*number+900, "a", "bad"), request(1000*number+900, "a"))(analyzer)
	}
	blocks := analyzer.Decide(at(5000), nil)
	is.Equal(len(blocks), 1)
	is.Equal(blocks[0].Parts, partsOf("a", "bad"))
	is.Equal(blocks[0].Core, partsOf("bad"))
	is.Equal(len(analyzer.Decide(at(6000), blocks)), 0) // The block explains all crashes.
	crashed(7000, "s9", request(6900, "b", "bad"), request(6900, "b"))(analyzer)
	wider := analyzer.Decide(at(8000), blocks)
	is.Equal(len(wider), 1)
	is.Equal(wider[0].Parts, partsOf("bad"))
}

// Servers that close connections for other reasons do not displace the evidence once they are seen to live.
func TestServersThatLiveMakeRoom(t *testing.T) {
	is := is.New(t)
	analyzer := NewAnalyzer()
	for number := range maxCrashes {
		is.True(!analyzer.Full())
		crashed(number, fmt.Sprint("s", number), request(0, fmt.Sprint(number)))(analyzer)
	}
	is.True(analyzer.Full())
	is.Equal(len(analyzer.Incarnations()), maxCrashes)
	for _, incarnation := range analyzer.Incarnations() {
		responded(5000, incarnation)(analyzer)
	}
	is.Equal(len(analyzer.Incarnations()), 0)
}

// Guards against callers who invent parts: their requests must not displace the one that crashed the server.
func TestRequestsWithManyPartsMakeRoom(t *testing.T) {
	const manyParts = 256
	for _, position := range []string{"first", "in between", "last"} {
		t.Run(position, func(t *testing.T) {
			is := is.New(t)
			analyzer := NewAnalyzer()
			for number := range CrashesToBlock {
				sent := 1000 * (number + 1)
				var requests []Request
				for index := range 2 * maxCrashParts / manyParts {
					invented := make([]string, manyParts)
					for part := range invented {
						invented[part] = fmt.Sprint("invented-", number, "-", index, "-", part)
					}
					requests = append(requests, request(sent, invented...))
				}
				where := map[string]int{"first": 0, "in between": len(requests) / 2, "last": len(requests)}[position]
				requests = slices.Insert(requests, where, request(sent, "a", "bad"))
				crashed(sent+100, fmt.Sprint("s", number), requests...)(analyzer)
			}
			for _, known := range analyzer.crashes {
				is.True(known.size <= maxCrashParts)
			}
			blocks := analyzer.Decide(at(9000), nil)
			is.Equal(len(blocks), 1)
			is.Equal(blocks[0].Parts, partsOf("a", "bad"))
		})
	}
}

// A repeated request can be suspended after its second crash, and only that request.
func TestRepeatedRequests(t *testing.T) {
	is := is.New(t)
	analyzer := NewAnalyzer()
	repeated := Parts([]string{"a"}, "digest")
	for number := range 2 {
		is.Equal(len(analyzer.Repeated(at(9000), nil)), 0)
		at := at(1000 * (number + 1))
		analyzer.Record(at, at, "server", fmt.Sprint("s", number), []Request{{Parts: repeated, SentAt: at}})
	}
	parts := analyzer.Repeated(at(9000), nil)
	is.Equal(parts, Parts(nil, "digest"))
	analyzer.Observe(parts[0], Sighting{BegunAt: at(1500)})
	is.Equal(analyzer.Repeated(at(9000), nil), parts) // It may have crashed its server later.
	list := NewBlocklist()
	is.True(list.Suspend(epoch, parts[0]))
	is.True(!list.Suspend(epoch, PromptPart("a"))) // Parts of prompts are shared by other requests.
	_, refused := list.Refuses(epoch, repeated)
	is.True(refused)
	_, refused = list.Refuses(epoch, Parts([]string{"a"}, "other"))
	is.True(!refused)
	_, refused = list.Refuses(epoch.Add(SuspensionDuration), repeated)
	is.True(!refused)
}

// Guards against repeats of a request that crashes servers after its first event: it must be blocked after three crashes,
// unlike a part that other requests have too.
func TestRepeatedRequestThatHasBegunIsBlocked(t *testing.T) {
	is := is.New(t)
	analyzer := NewAnalyzer()
	repeated := Parts([]string{"a"}, "digest")
	for number := range CrashesToBlock {
		at := at(1000 * (number + 1))
		for _, part := range repeated {
			analyzer.Observe(part, Sighting{BegunAt: at})
		}
		analyzer.Record(at, at, "server", fmt.Sprint("s", number), []Request{{Parts: repeated, SentAt: at}})
	}
	blocks := analyzer.Decide(at(9000), nil)
	is.Equal(len(blocks), 1)
	is.True(blocks[0].Refuses(repeated))
	is.True(!blocks[0].Refuses(Parts([]string{"a"}, "other")))
}

// A suspended request stays a suspect after its suspension, until it has survived.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	list := NewBlocklist()
	parts := Parts([]string{"a"}, "digest")
	whole := Parts(nil, "digest")[0]
	is.Equal(len(list.Suspects(epoch, parts)), 0)
	is.True(list.Suspend(epoch, whole))
	is.Equal(list.Suspects(epoch.Add(SuspensionDuration), parts), []Part{whole})
	later := epoch.Add(SuspensionDuration)
	is.True(list.Suspend(later, whole)) // The next suspension is longer.
	remaining, _ := list.Refuses(later, parts)
	is.Equal(remaining, 2*SuspensionDuration)
	is.True(!list.Suspend(later.Add(SuspensionDuration), whole))
	is.True(list.Suspend(later.Add(SuspensionDuration+time.Millisecond), whole)) // It crashed another server meanwhile.
	list.Release(whole)
	is.True(list.Suspend(epoch, whole))
	is.Equal(len(list.Suspects(epoch.Add(SuspensionDuration+RefusalDuration), parts)), 0)
	list.Release(whole)
	is.Equal(len(list.Suspects(epoch, parts)), 0)
	_, refused := list.Refuses(epoch, parts)
	is.True(!refused)
	is.True(list.Suspend(epoch, whole))
}

// Only a response shows that a request is a repeat, not one to another request with the same parts of the prompt.
func TestHistoryOfRepeatedRequests(t *testing.T) {
	is := is.New(t)
	history := NewHistory()
	history.Survived(epoch, Parts([]string{"a"}, "digest"))
	is.True(history.Repeated(Parts([]string{"a"}, "digest")))
	is.True(!history.Repeated(Parts([]string{"a"}, "other")))
	is.Equal(Shared(Parts([]string{"a"}, "digest")), partsOf("a"))
}

func TestBlocklist(t *testing.T) {
	is := is.New(t)
	list := NewBlocklist()
	block := Block{Parts: partsOf("a", "bad"), Core: partsOf("bad")}
	is.True(list.Add(epoch, block, epoch.Add(BlockDuration)))
	is.True(!list.Add(epoch, block, epoch.Add(BlockDuration)))
	for _, invalid := range []Block{{}, {Parts: partsOf("a")}, {Parts: partsOf("a"), Core: partsOf("b")}, {Parts: []Part{2, 1}, Core: []Part{1}}} {
		is.True(!list.Add(epoch, invalid, epoch.Add(BlockDuration)))
	}
	remaining, refused := list.Refuses(epoch.Add(time.Minute), partsOf("bad", "x", "a"))
	is.True(refused)
	is.Equal(remaining, BlockDuration-time.Minute)
	_, refused = list.Refuses(epoch, partsOf("bad", "x"))
	is.True(!refused)
	_, refused = list.Refuses(epoch.Add(BlockDuration), partsOf("bad", "a"))
	is.True(!refused)
	is.True(list.Add(epoch.Add(BlockDuration), block, epoch.Add(2*BlockDuration)))
	is.True(list.Remove(block))
	is.True(!list.Remove(block))
	is.True(!list.Has(epoch, block))
	is.True(!list.Add(epoch, block, epoch)) // A verdict of another host that has ended.
	is.True(list.Add(epoch, block, epoch.Add(time.Minute)))
	is.Equal(list.Remaining(epoch.Add(time.Second), block), 59*time.Second)
	is.True(list.Remove(block))
	is.True(list.Add(epoch, block, epoch.Add(time.Hour)))
	is.Equal(list.Remaining(epoch, block), BlockDuration)
	is.True(list.Remove(block))
	for number := range 2 * MaxBlocks {
		parts := partsOf(fmt.Sprint(number))
		now := epoch.Add(time.Duration(number) * time.Millisecond)
		is.True(list.Add(now, Block{Parts: parts, Core: parts}, now.Add(BlockDuration)))
	}
	is.Equal(len(list.All(epoch.Add(time.Second))), MaxBlocks)
}

// Whatever callers invent, the evidence stays bounded.
func TestEvidenceStaysBounded(t *testing.T) {
	for _, crashes := range []int{1, maxCrashes - 1, maxCrashes, 3 * maxCrashes} {
		for _, requestsPerCrash := range []int{1, 7, 20} {
			for _, partsPerRequest := range []int{1, 2, 107, 300} {
				t.Run(fmt.Sprintf("%d crashes, %d requests, %d parts", crashes, requestsPerCrash, partsPerRequest), func(t *testing.T) {
					is := is.New(t)
					analyzer := NewAnalyzer()
					for number := range crashes {
						var requests []Request
						for index := range requestsPerCrash {
							parts := make([]Part, partsPerRequest)
							for position := range parts {
								parts[position] = Part(number<<32 + index<<16 + position)
								analyzer.Observe(parts[position], Sighting{BegunAt: epoch})
							}
							requests = append(requests, Request{Parts: parts, SentAt: at(number)})
						}
						analyzer.Record(at(number), at(number), "server", fmt.Sprint("s", number), requests)
						is.True(len(analyzer.crashes) <= maxCrashes)
						is.True(len(analyzer.sightings) <= maxSightings)
					}
					for _, known := range analyzer.crashes {
						is.True(known.size <= maxCrashParts)
					}
					parts, _ := analyzer.Suspects(at(crashes), nil)
					is.True(len(parts) <= maxSuspects)
				})
			}
		}
	}
}

// Guards against requests that are left out since another request on the same server ended long before its crash, the time of
// which is not known exactly.
func TestInferredCrashes(t *testing.T) {
	const interval = 20_000
	epoch := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		// record records one crash, of a server that ran the culprit from 2,000 ms and another request from 0 ms on.
		record  func(analyzer *Analyzer, server string, at func(milliseconds int) time.Time, culprit, other []Request)
		blocked bool
	}{
		"of two hosts": {func(analyzer *Analyzer, server string, at func(int) time.Time, culprit, other []Request) {
			analyzer.RecordInferred(at(9000), at(100), server, server, other)
			analyzer.RecordInferred(at(9000), at(2300), server, server, culprit)
			analyzer.ObserveServer(server, at(2050))
		}, true},
		"server responded before its crash": {func(analyzer *Analyzer, server string, at func(int) time.Time, culprit, _ []Request) {
			analyzer.RecordInferred(at(9000), at(2300), server, server, culprit)
			analyzer.ObserveServer(server, at(2050))
		}, true},
		"server responded later": {func(analyzer *Analyzer, server string, at func(int) time.Time, culprit, _ []Request) {
			analyzer.RecordInferred(at(9000), at(2300), server, server, culprit)
			analyzer.ObserveServer(server, at(2301).Add(AbandonedTime))
		}, false},
		"server responded while it may have gone on with the request": {func(analyzer *Analyzer, server string, at func(int) time.Time, culprit, _ []Request) {
			analyzer.RecordInferred(at(9000), at(2300), server, server, culprit)
			analyzer.ObserveServer(server, at(3000))
		}, true},
		"server responded after the discovery": {func(analyzer *Analyzer, server string, at func(int) time.Time, culprit, _ []Request) {
			analyzer.RecordInferred(at(2600), at(2300), server, server, culprit)
			analyzer.ObserveServer(server, at(2601).Add(AliveSlack))
		}, false},
		"seen by another host": {func(analyzer *Analyzer, server string, at func(int) time.Time, culprit, other []Request) {
			analyzer.RecordInferred(at(9000), at(8000), server, server, culprit)
			analyzer.Record(at(9000), at(2100), server, server, other)
			analyzer.RecordInferred(at(9000), at(8500), server, server, culprit)
			analyzer.ObserveServer(server, at(2200))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			analyzer := NewAnalyzer()
			for number := range CrashesToBlock {
				at := func(milliseconds int) time.Time {
					return epoch.Add(time.Duration(number*interval+milliseconds) * time.Millisecond)
				}
				culprit := []Request{{Parts: Parts(nil, "culprit"), SentAt: at(2000)}}
				other := []Request{{Parts: Parts(nil, fmt.Sprint("other ", number)), SentAt: at(0)}}
				test.record(analyzer, fmt.Sprint("s", number), at, culprit, other)
			}
			blocks := analyzer.Decide(epoch.Add(CrashesToBlock*interval*time.Millisecond), nil)
			is.Equal(len(blocks) == 1 && blocks[0].Refuses(Parts(nil, "culprit")), test.blocked)
		})
	}
}

// Guards against prompt parts that are blocked because callers gave up requests with them on servers that crashed later, after
// responses to others.
func TestAbandonedRequestsCountAsAWholeOnly(t *testing.T) {
	for name, test := range map[string]struct {
		respondedAt int
		blocked     bool
	}{
		"no response since": {2200, true}, "a response since": {3000, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			analyzer := NewAnalyzer()
			for number := range CrashesToBlock {
				at := func(milliseconds int) time.Time { return at(number*5000 + milliseconds) }
				server := fmt.Sprint("s", number)
				analyzer.RecordInferred(at(4000), at(2300), server, server, []Request{{Parts: Parts([]string{"a"}, server), SentAt: at(2250)}})
				analyzer.ObserveServer(server, at(test.respondedAt))
			}
			blocks := analyzer.Decide(at(20_000), nil)
			is.Equal(len(blocks) == 1 && blocks[0].Refuses(Parts([]string{"a"}, "another")), test.blocked)
		})
	}
}
