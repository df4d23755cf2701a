package crash

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockDuration is how long requests are refused after a verdict.
	BlockDuration = RefusalDuration
	// MaxBlocks bounds the verdicts that are in force.
	MaxBlocks = 64
	// SuspensionDuration is how long a repeated request is refused at first until it is tried once more, if there is no verdict
	// on it. Each further suspension lasts twice as long, up to RefusalDuration.
	SuspensionDuration = 2 * time.Second
	// maxSuspensions bounds the repeated requests that are refused.
	maxSuspensions = 1024
)

// Block is a verdict: requests that have all of its parts crash servers. Its slices are sorted.
type Block struct {
	Parts []Part `json:"parts"`
	// Core holds the parts that explain the crashes. The others were always there too, and may be sound.
	Core []Part `json:"core"`
}

// Key returns a text that identifies the parts of a block.
func (block Block) Key() string {
	texts := make([]string, len(block.Parts))
	for index, part := range block.Parts {
		texts[index] = fmt.Sprintf("%016x", uint64(part))
	}
	return strings.Join(texts, ".")
}

// Refuses reports whether the block refuses a request with the given sorted parts.
func (block Block) Refuses(parts []Part) bool { return containsAll(parts, block.Parts) }

// maxPlainParts is the number of parts up to which a block is encoded as lists of numbers. Hosts of earlier versions know no other form.
const maxPlainParts = 300

// plainBlock is a block in its usual encoding.
type plainBlock Block

// packedBlock is the encoding of a block with many parts, which must fit into a row of the store: eight bytes for each part, and a bit for
// each that says whether it belongs to the core.
type packedBlock struct {
	plainBlock
	Packed     []byte `json:"packed,omitempty"`
	PackedCore []byte `json:"packed_core,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (block Block) MarshalJSON() ([]byte, error) {
	if len(block.Parts) <= maxPlainParts {
		return json.Marshal(plainBlock(block))
	}
	packed := packedBlock{PackedCore: make([]byte, (len(block.Parts)+7)/8)}
	for index, part := range block.Parts {
		packed.Packed = binary.LittleEndian.AppendUint64(packed.Packed, uint64(part))
		if containsAll(block.Core, []Part{part}) {
			packed.PackedCore[index/8] |= 1 << (index % 8)
		}
	}
	return json.Marshal(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (block *Block) UnmarshalJSON(encoded []byte) error {
	var packed packedBlock
	if err := json.Unmarshal(encoded, &packed); err != nil {
		return err
	}
	*block = Block(packed.plainBlock)
	for index := 0; index < len(packed.Packed)/8 && index/8 < len(packed.PackedCore); index++ {
		part := Part(binary.LittleEndian.Uint64(packed.Packed[8*index:]))
		block.Parts = append(block.Parts, part)
		if packed.PackedCore[index/8]&(1<<(index%8)) != 0 {
			block.Core = append(block.Core, part)
		}
	}
	return nil
}

// Name returns a short text that identifies the parts of a block, for the name of a row.
func (block Block) Name() string { return strconv.FormatUint(xxhash.Sum64String(block.Key()), 16) }

// valid reports whether the block could come from an Analyzer.
func (block Block) valid() bool {
	return len(block.Parts) > 0 && len(block.Core) > 0 && len(block.Parts) <= maxBlockParts &&
		slices.IsSorted(block.Parts) && slices.IsSorted(block.Core) && containsAll(block.Parts, block.Core)
}

// suspension is a period for which a request is refused.
type suspension struct {
	until  time.Time
	length time.Duration
}

type heldBlock struct {
	Block
	until time.Time
}

// Blocklist holds the verdicts in force. It is not safe for concurrent use.
type Blocklist struct {
	blocks map[string]heldBlock
	// suspended maps whole requests to their last suspension, which is zero if they have survived since.
	suspended *value.Recent[Part, suspension]
}

// NewBlocklist returns an empty list.
func NewBlocklist() *Blocklist {
	return &Blocklist{blocks: map[string]heldBlock{}, suspended: value.NewRecent[Part, suspension](maxSuspensions)}
}

// Suspend refuses a request for a while, given the part that identifies it. It returns false if the request is suspended
// already, for half of that time or longer.
func (list *Blocklist) Suspend(now time.Time, part Part) bool {
	last, _ := list.suspended.Get(part)
	if !part.whole() || last.until.Sub(now) >= last.length/2 && now.Before(last.until) {
		return false
	}
	length := SuspensionDuration
	if now.Before(last.until.Add(RefusalDuration)) {
		length = min(2*last.length, RefusalDuration)
	}
	list.suspended.Put(part, suspension{until: now.Add(length), length: length})
	return true
}

// Suspects returns the parts of a request that were suspended during the last RefusalDuration, without a sign since that
// it is sound.
func (list *Blocklist) Suspects(now time.Time, parts []Part) []Part {
	var suspects []Part
	for _, part := range parts {
		if last, found := list.suspended.Get(part); found && now.Before(last.until.Add(RefusalDuration)) {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// Release ends the suspension of a request that has turned out to be sound.
func (list *Blocklist) Release(part Part) {
	if _, found := list.suspended.Get(part); found {
		list.suspended.Put(part, suspension{})
	}
}

// Add adds a block until a time, or for BlockDuration if that is shorter. It returns false if the block is invalid or
// already in force. If the list is full, it drops the block that would end first.
func (list *Blocklist) Add(now time.Time, block Block, until time.Time) bool {
	list.expire(now)
	if _, found := list.blocks[block.Key()]; found || !block.valid() || !until.After(now) {
		return false
	}
	if len(list.blocks) >= MaxBlocks {
		first := ""
		for key, held := range list.blocks {
			if first == "" || held.until.Before(list.blocks[first].until) {
				first = key
			}
		}
		delete(list.blocks, first)
	}
	if latest := now.Add(BlockDuration); until.After(latest) {
		until = latest
	}
	list.blocks[block.Key()] = heldBlock{Block: block, until: until}
	return true
}

// Has reports whether a block is in force.
func (list *Blocklist) Has(now time.Time, block Block) bool { return list.Remaining(now, block) > 0 }

// Remaining returns how long a block stays in force.
func (list *Blocklist) Remaining(now time.Time, block Block) time.Duration {
	held, found := list.blocks[block.Key()]
	if !found {
		return 0
	}
	return max(0, held.until.Sub(now))
}

// Remove removes a block, and reports whether it was in force.
func (list *Blocklist) Remove(block Block) bool {
	_, found := list.blocks[block.Key()]
	delete(list.blocks, block.Key())
	return found
}

// Refuses reports whether a request is blocked or suspended, and for how long.
func (list *Blocklist) Refuses(now time.Time, parts []Part) (remaining time.Duration, refused bool) {
	blocks, remaining := list.Match(now, parts)
	for _, part := range parts {
		if last, found := list.suspended.Get(part); found {
			remaining = max(remaining, last.until.Sub(now))
		}
	}
	return remaining, len(blocks) > 0 || remaining > 0
}

// Match returns the blocks whose parts a request has, and how long the last of them stays in force.
func (list *Blocklist) Match(now time.Time, parts []Part) (blocks []Block, remaining time.Duration) {
	for _, held := range list.blocks {
		if left := held.until.Sub(now); left > 0 && held.Refuses(parts) {
			blocks, remaining = append(blocks, held.Block), max(remaining, left)
		}
	}
	return blocks, remaining
}

// All returns the blocks in force.
func (list *Blocklist) All(now time.Time) []Block {
	list.expire(now)
	blocks := make([]Block, 0, len(list.blocks))
	for _, held := range list.blocks {
		blocks = append(blocks, held.Block)
	}
	return blocks
}

func (list *Blocklist) expire(now time.Time) {
	for key, held := range list.blocks {
		if !now.Before(held.until) {
			delete(list.blocks, key)
		}
	}
}
