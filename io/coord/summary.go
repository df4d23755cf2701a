package coord

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"maps"
	"math"
	"math/bits"
	"time"

	"lentilproxy/core/gossip"
	"lentilproxy/core/sched"
	"lentilproxy/core/value"

	"github.com/samber/oops"
)

const (
	// maxLoadedChanges bounds the changes of loaded adapters in a message, over all data centres. Their number after a start of all
	// hosts would exceed what a relay's link carries within callTimeout; the rest follows in the next messages.
	maxLoadedChanges = 3000
	// minPacked is the size in bytes from which on changes are compressed. Names of servers and adapters repeat.
	minPacked = 200
	// maxUnpacked bounds the size in bytes of changes after decompression.
	maxUnpacked = 16 << 20
	// usageBits is the number of leading bits of a sum of usage that are passed on. Smaller changes, by less than 7%, are not sent.
	usageBits = 4
	// removedAdapter is the version in messages of an adapter that was removed.
	removedAdapter = -1
)

// summaryServer is what a server of a data centre has loaded, as its lease holder has reported it. It is never changed.
type summaryServer struct {
	holder string
	update loadedUpdate
}

func (server *summaryServer) equal(other *summaryServer) bool {
	return server == other || server != nil && other != nil && server.holder == other.holder &&
		server.update.StartedMillis == other.update.StartedMillis && sameLoaded(server.update.Loaded, other.update.Loaded)
}

// with returns the server with the adapters that are known of it too. A part of a state does not show that an adapter was removed.
func (server *summaryServer) with(known *summaryServer) *summaryServer {
	if known == nil || known == server || known.update.StartedMillis != server.update.StartedMillis {
		return server
	}
	merged := *server
	merged.update.Loaded.Adapters = maps.Clone(known.update.Loaded.Adapters)
	if merged.update.Loaded.Adapters == nil {
		merged.update.Loaded.Adapters = map[string]int64{}
	}
	maps.Copy(merged.update.Loaded.Adapters, server.update.Loaded.Adapters)
	return &merged
}

// summary is the state of a data centre as this host knows it: the sum of the usage by its hosts, and what the servers that they hold
// have loaded.
type summary struct {
	gossip.Statement
	members int
	// silent are the hosts that do not respond to the relay.
	silent []string
	// usage is replaced as a whole; servers is not.
	usage   map[string]sched.Usage
	servers map[string]*summaryServer
	// updatedAt is when the state was last composed or received.
	updatedAt time.Time
	// outbox is nil unless this host sends the state to others.
	outbox *summaryOutbox
}

func newSummary() *summary { return &summary{servers: map[string]*summaryServer{}} }

// summaryOutbox lists the changes of a summary's state, and keeps them encoded for all peers that need the same.
type summaryOutbox struct {
	epoch   int64
	usage   *gossip.Record[string, sched.Usage]
	loaded  *gossip.Record[loadedKey, loadedValue]
	servers map[string]*summaryServer
	encoded map[changesKey]encodedChanges
	// published is the last statement whose state is in the records.
	published gossip.Statement
}

// loadedKey is a server, or an adapter on a server.
type loadedKey struct {
	server  string
	adapter string
}

// loadedValue describes a server or, if the key has an adapter, is the version of that.
type loadedValue struct {
	holder        string
	startedMillis int64
	model         string
	orderable     bool
	version       int64
}

func (server *summaryServer) head() loadedValue {
	return loadedValue{holder: server.holder, startedMillis: server.update.StartedMillis, model: server.update.Loaded.Model, orderable: server.update.Loaded.Orderable}
}

// changesKey is the state of the receivers that need the same changes.
type changesKey struct {
	position summaryPosition
	most     int
}

type encodedChanges struct {
	content json.RawMessage
	packed  []byte
	next    summaryPosition
	loaded  int
}

// summaryPosition is the state of a summary that a receiver has from a sender: the epoch that identifies the sender's records, and the
// revisions of usage and of loaded adapters.
type summaryPosition [3]int64

func (position summaryPosition) epoch() int64  { return position[0] }
func (position summaryPosition) usage() int64  { return position[1] }
func (position summaryPosition) loaded() int64 { return position[2] }

// summaryMessage is the state of a data centre in a message: what differs from a state that the receiver has.
type summaryMessage struct {
	Source string `json:"source"`
	Stamp  int64  `json:"stamp"`
	// AgeMS is the age of the oldest part of the state.
	AgeMS   int64    `json:"age_ms"`
	Members int      `json:"members,omitempty"`
	Silent  []string `json:"silent,omitempty"`
	// At is the epoch of the sender's records, the revisions of usage and loaded adapters of the state that the receiver has, and those of
	// the state after the changes.
	At [5]int64 `json:"at"`
	// Partial reports whether further changes follow in the next messages.
	Partial bool `json:"partial,omitempty"`
	// Changes are the encoded changes, or Packed the compressed ones.
	Changes json.RawMessage `json:"changes,omitempty"`
	Packed  []byte          `json:"packed,omitempty"`

	decoded summaryChanges
}

// summaryChanges are changes of a summary's state. A usage is empty if there is none any more.
type summaryChanges struct {
	Usage  map[string][]int64       `json:"usage,omitempty"`
	Loaded map[string]*serverChange `json:"held,omitempty"`
}

// serverChange is what differs in a server's loaded adapters. Gone is set if no host of the
// data centre holds the server any more.
type serverChange struct {
	Holder        string           `json:"holder,omitempty"`
	StartedMillis int64            `json:"born,omitempty"`
	Model         string           `json:"model,omitempty"`
	Orderable     bool             `json:"orderable,omitempty"`
	Gone          bool             `json:"gone,omitempty"`
	Adapters      map[string]int64 `json:"adapters,omitempty"`
}

// coarse returns a number of which only the leading bits are kept.
func coarse(number int64) int64 {
	shift := bits.Len64(uint64(max(0, number))) - usageBits
	if shift <= 0 {
		return number
	}
	return number >> shift << shift
}

func coarseUsage(usage sched.Usage) sched.Usage {
	return sched.Usage{Running: int(coarse(int64(usage.Running))), Backlog: coarse(usage.Backlog), Tokens: coarse(usage.Tokens), WorkMillis: coarse(usage.WorkMillis)}
}

// publish records the changes of the state since the last call.
func (summary *summary) publish(now time.Time) *summaryOutbox {
	outbox := summary.outbox
	if outbox == nil {
		outbox = &summaryOutbox{
			epoch: now.UnixNano(), usage: gossip.NewRecord[string, sched.Usage](), loaded: gossip.NewRecord[loadedKey, loadedValue](),
			servers: map[string]*summaryServer{},
		}
		summary.outbox = outbox
	}
	if outbox.published == summary.Statement {
		return outbox
	}
	outbox.published = summary.Statement
	before := outbox.position()
	for server, usage := range summary.usage {
		outbox.usage.Set(server, coarseUsage(usage))
	}
	for server := range outbox.usage.All() {
		if _, found := summary.usage[server]; !found {
			outbox.usage.Delete(server)
		}
	}
	// All of a server comes in a row, so that a message that contains a part of the changes has it whole.
	for name, server := range summary.servers {
		if outbox.servers[name] != server {
			outbox.loaded.Set(loadedKey{server: name}, server.head())
			outbox.setAdapters(name, server)
		}
	}
	for name, server := range outbox.servers {
		if _, found := summary.servers[name]; !found {
			for adapter := range server.update.Loaded.Adapters {
				outbox.loaded.Delete(loadedKey{server: name, adapter: adapter})
			}
			outbox.loaded.Delete(loadedKey{server: name})
			delete(outbox.servers, name)
		}
	}
	if outbox.position() != before || outbox.encoded == nil {
		outbox.encoded = map[changesKey]encodedChanges{}
	}
	return outbox
}

func (outbox *summaryOutbox) setAdapters(name string, server *summaryServer) {
	if known := outbox.servers[name]; known != nil {
		for adapter := range known.update.Loaded.Adapters {
			if _, found := server.update.Loaded.Adapters[adapter]; !found {
				outbox.loaded.Delete(loadedKey{server: name, adapter: adapter})
			}
		}
	}
	for adapter, version := range server.update.Loaded.Adapters {
		outbox.loaded.Set(loadedKey{server: name, adapter: adapter}, loadedValue{version: version})
	}
	outbox.servers[name] = server
}

// position returns the position of a receiver that has all changes.
func (outbox *summaryOutbox) position() summaryPosition {
	return summaryPosition{outbox.epoch, outbox.usage.Revision(), outbox.loaded.Revision()}
}

// since returns the encoded changes since a receiver's position, with a bounded number of changes of loaded adapters.
func (outbox *summaryOutbox) since(position summaryPosition, most int) (base summaryPosition, changes encodedChanges, err error) {
	base = summaryPosition{outbox.epoch}
	if position.epoch() == outbox.epoch {
		base = summaryPosition{outbox.epoch, outbox.usage.Base(position.usage()), outbox.loaded.Base(position.loaded())}
	}
	key := changesKey{position: base, most: most}
	if known, found := outbox.encoded[key]; found {
		return base, known, nil
	}
	changed := summaryChanges{Usage: map[string][]int64{}, Loaded: map[string]*serverChange{}}
	usages, usageEnd := outbox.usage.Since(base.usage(), math.MaxInt)
	for _, change := range usages {
		changed.Usage[change.Key] = change.Value.Compact()
	}
	loaded, loadedEnd := outbox.loaded.Since(base.loaded(), most)
	for _, change := range loaded {
		changed.addLoaded(change)
	}
	next := encodedChanges{next: summaryPosition{outbox.epoch, usageEnd, loadedEnd}, loaded: len(loaded)}
	if len(usages)+len(loaded) > 0 {
		if next.content, next.packed, err = changed.encode(); err != nil {
			return base, next, err
		}
	}
	outbox.encoded[key] = next
	return base, next, nil
}

func (changes *summaryChanges) addLoaded(change gossip.Change[loadedKey, loadedValue]) {
	server := changes.Loaded[change.Key.server]
	if server == nil {
		server = &serverChange{}
		changes.Loaded[change.Key.server] = server
	}
	switch {
	case change.Key.adapter != "":
		if server.Adapters == nil {
			server.Adapters = map[string]int64{}
		}
		server.Adapters[change.Key.adapter] = change.Value.version
		if change.Deleted {
			server.Adapters[change.Key.adapter] = removedAdapter
		}
	case change.Deleted:
		server.Gone = true
	default:
		server.Holder, server.StartedMillis = change.Value.holder, change.Value.startedMillis
		server.Model, server.Orderable = change.Value.model, change.Value.orderable
	}
}

// encode returns the encoded changes: as they are if they are short, else compressed.
func (changes *summaryChanges) encode() (content json.RawMessage, packed []byte, err error) {
	content, err = json.Marshal(changes)
	if err != nil || len(content) < minPacked {
		return content, nil, err
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, nil, err
	}
	if _, err := writer.Write(content); err != nil {
		return nil, nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, nil, err
	}
	return nil, buffer.Bytes(), nil
}

// unpack decodes the changes in a message.
func (message *summaryMessage) unpack() error {
	content := []byte(message.Changes)
	if len(message.Packed) > 0 {
		unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(message.Packed)), maxUnpacked))
		if err != nil {
			return oops.Wrap(err)
		}
		content = unpacked
	}
	if len(content) == 0 {
		return nil
	}
	return oops.Wrap(json.Unmarshal(content, &message.decoded))
}

// summaryStream is the state of a summary that a peer sends, as of a position. It is partial until the peer has sent all of it once.
type summaryStream struct {
	position summaryPosition
	complete bool
	// usage is replaced as a whole; servers is not.
	usage   map[string]sched.Usage
	servers map[string]*summaryServer
	// updatedAt is when the last changes arrived.
	updatedAt time.Time
}

// apply applies the changes in a message. It reports false if they refer to a state that this host does not have.
func (stream *summaryStream) apply(message *summaryMessage) bool {
	base, next := summaryPosition(message.At[:3]), summaryPosition{message.At[0], message.At[3], message.At[4]}
	if base.epoch() != stream.position.epoch() {
		*stream = summaryStream{position: summaryPosition{base.epoch()}}
	}
	if base.usage() > stream.position.usage() || base.loaded() > stream.position.loaded() {
		return false
	}
	// A base of 0 stands for an empty state.
	usage, loaded := stream.position.usage(), stream.position.loaded()
	if base.usage() == 0 && next.usage() > 0 || stream.usage == nil {
		stream.usage, usage = map[string]sched.Usage{}, 0
	}
	if base.loaded() == 0 && next.loaded() > 0 || stream.servers == nil {
		stream.servers, loaded, stream.complete = map[string]*summaryServer{}, 0, false
	}
	stream.applyUsage(message.decoded.Usage)
	for name, change := range message.decoded.Loaded {
		stream.applyLoaded(name, change)
	}
	stream.position = summaryPosition{next.epoch(), max(usage, next.usage()), max(loaded, next.loaded())}
	stream.complete = stream.complete || !message.Partial
	return true
}

func (stream *summaryStream) applyUsage(changes map[string][]int64) {
	if len(changes) > 0 {
		stream.usage = maps.Clone(stream.usage)
	}
	for server, values := range changes {
		if stream.usage[server] = sched.ExpandUsage(values); len(values) == 0 {
			delete(stream.usage, server)
		}
	}
}

func (stream *summaryStream) applyLoaded(name string, change *serverChange) {
	if change.Gone {
		delete(stream.servers, name)
		return
	}
	next := &summaryServer{}
	if known := stream.servers[name]; known != nil {
		*next = *known
	}
	if change.Holder != "" {
		next.holder, next.update.StartedMillis = change.Holder, change.StartedMillis
		next.update.Loaded.Model, next.update.Loaded.Orderable = change.Model, change.Orderable
	}
	if len(change.Adapters) > 0 {
		adapters := make(map[string]int64, len(next.update.Loaded.Adapters)+len(change.Adapters))
		maps.Copy(adapters, next.update.Loaded.Adapters)
		for adapter, version := range change.Adapters {
			if adapters[adapter] = version; version == removedAdapter {
				delete(adapters, adapter)
			}
		}
		next.update.Loaded.Adapters = adapters
	}
	stream.servers[name] = next
}

// accept replaces the state of the summary by that of a stream, and returns the servers whose state has changed.
func (summary *summary) accept(stream *summaryStream) map[string]*summaryServer {
	summary.usage = stream.usage
	changed := map[string]*summaryServer{}
	for name, server := range stream.servers {
		known := summary.servers[name]
		if !stream.complete {
			server = server.with(known)
		}
		switch {
		case known == server:
		case server.holder == "":
			// The description of the server follows in a later message.
		case known.equal(server):
			if stream.complete {
				stream.servers[name] = known // Both relays state the same; it is kept once.
			}
		default:
			summary.servers[name], changed[name] = server, server
		}
	}
	if stream.complete {
		maps.DeleteFunc(summary.servers, func(name string, _ *summaryServer) bool { return stream.servers[name] == nil })
	}
	return changed
}

// heldIn returns the servers of a summary that have the holder that another source states.
func (summary *summary) heldIn(holderOf func(server string) string) map[string]*summaryServer {
	held := map[string]*summaryServer{}
	for _, name := range value.Sorted(summary.servers) {
		if server := summary.servers[name]; holderOf(name) == server.holder {
			held[name] = server
		}
	}
	return held
}
