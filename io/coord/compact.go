package coord

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// compactMessage is the form of a gossip message between two hosts whose messages stay within data centres. Most of these messages say
// little, so that names of fields and repeated values would be most of their bytes.
type compactMessage struct {
	Host string `json:"host"`
	// Numbers are ID, ReceivedID, Members, and how much less UsageBase is than ID, and UsageReceived than ReceivedID.
	Numbers [5]int64 `json:"n"`
	// Stated reports whether the message contains the sender's own state, as changes.
	Stated        bool                          `json:"own,omitempty"`
	UsageChanges  map[string][]int64            `json:"usage,omitempty"`
	LoadedChanges map[string]loadedChange       `json:"held,omitempty"`
	Demand        map[string]map[string]float64 `json:"used,omitempty"`
	Running       map[string]map[string]int     `json:"running,omitempty"`
	// ContentsHash is a hash of the digests of all tables. It is empty if the message asks for no proofs.
	ContentsHash      string                     `json:"contents,omitempty"`
	Relay             bool                       `json:"relay,omitempty"`
	Summaries         map[string]*summaryMessage `json:"summaries,omitempty"`
	SummariesReceived map[string]summaryPosition `json:"has,omitempty"`
}

// compactCall contains a compact message.
type compactCall struct {
	Message compactMessage `json:"c"`
}

// compactResult is the response to a compact message.
type compactResult struct {
	Proofs map[string]proof `json:"proofs,omitempty"`
	Same   []tableProof     `json:"same,omitempty"`
	Call   compactCall      `json:"digest"`
}

// tableProof is the age of a proof in milliseconds, and the versions AsOf and Newest. The digest is that of the caller.
type tableProof [3]int64

// compacted returns the compact form of a message.
func (message *gossipMessage) compacted() compactMessage {
	return compactMessage{
		Host: message.Host, Numbers: [5]int64{message.ID, message.ReceivedID, int64(message.Members), message.ID - message.UsageBase, message.ReceivedID - message.UsageReceived},
		Stated: message.UsageChanges != nil, UsageChanges: message.UsageChanges, LoadedChanges: message.LoadedChanges, Demand: message.Demand, Running: message.Running,
		ContentsHash: message.ContentsHash, Relay: message.Relay, Summaries: message.Summaries, SummariesReceived: message.SummariesReceived,
	}
}

// expanded returns the message of a compact form.
func (compact *compactMessage) expanded() gossipMessage {
	message := gossipMessage{
		Host: compact.Host, ID: compact.Numbers[0], ReceivedID: compact.Numbers[1], Members: int(compact.Numbers[2]),
		UsageBase: compact.Numbers[0] - compact.Numbers[3], UsageReceived: compact.Numbers[1] - compact.Numbers[4],
		Demand: compact.Demand, Running: compact.Running, ContentsHash: compact.ContentsHash,
		Support: summariesInUse, Relay: compact.Relay, Summaries: compact.Summaries, SummariesReceived: compact.SummariesReceived,
	}
	if compact.Stated {
		message.UsageChanges, message.LoadedChanges = map[string][]int64{}, map[string]loadedChange{}
		if compact.UsageChanges != nil {
			message.UsageChanges = compact.UsageChanges
		}
		if compact.LoadedChanges != nil {
			message.LoadedChanges = compact.LoadedChanges
		}
	}
	return message
}

// wire returns what is sent for a message in a call.
func (message *gossipMessage) wire() any {
	if message.compact {
		return compactCall{Message: message.compacted()}
	}
	return *message
}

// wire returns what is sent for a response.
func (result *gossipResult) wire() any {
	if result.Message.compact {
		return compactResult{Proofs: result.Proofs, Same: result.Same, Call: compactCall{Message: result.Message.compacted()}}
	}
	return *result
}

// unpack expands a message that was received, and decodes the states of data centres in it.
func (message *gossipMessage) unpack(log logr.Logger) {
	if message.Compact != nil {
		*message = message.Compact.expanded()
	}
	for dataCentre, summary := range message.Summaries {
		if summary == nil || summary.unpack() != nil {
			log.Info("invalid state of a data centre in a message", "peer", message.Host, "data_centre", dataCentre)
			delete(message.Summaries, dataCentre)
		}
	}
}

// contentsHash returns a hash of the digests of the tables.
func (control *control) contentsHash(contents map[string]contentVersion) string {
	digests := make([]string, 0, len(contents))
	for _, table := range control.tables() {
		digests = append(digests, contents[control.proofName(table)].Digest)
	}
	return formatDigest(xxhash.Sum64String(strings.Join(digests, " ")))
}

// contents returns what the mirrors of all tables were proven to contain.
func (control *control) contents() map[string]contentVersion {
	contents := map[string]contentVersion{}
	for _, table := range control.tables() {
		contents[control.proofName(table)] = table.contentVersion()
	}
	return contents
}

// compactProofs returns proofs without digests.
func (control *control) compactProofs(proofs map[string]proof) []tableProof {
	var same []tableProof
	for _, table := range control.tables() {
		known := proofs[control.proofName(table)]
		same = append(same, tableProof{known.AgeMS, known.AsOf, known.Newest})
	}
	return same
}

// expandProofs returns the proofs of a response, which refer to the contents that this host has stated in its call.
func (control *control) expandProofs(result gossipResult, contents map[string]contentVersion) map[string]proof {
	tables := control.tables()
	if len(result.Same) != len(tables) {
		return result.Proofs
	}
	proofs := map[string]proof{}
	for index, table := range tables {
		name, same := control.proofName(table), result.Same[index]
		proofs[name] = proof{AgeMS: same[0], Newest: same[2], contentVersion: contentVersion{AsOf: same[1], Digest: contents[name].Digest}}
	}
	return proofs
}
