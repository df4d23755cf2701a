// Package once decides how to handle a request that must run at most once.
//
// A host claims the request's idempotency key before it sends any byte of the request, and records the outcome
// afterwards. Claims and outcomes are rows of the ledger, which is kept in the platform's table service. A claim is
// never taken over: if its outcome is not recorded, the outcome stays unknown.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

const (
	// MaxKeyBytes bounds the length of an idempotency key.
	MaxKeyBytes = 255
	// MaxRecordedBytes bounds the body of a recorded response.
	MaxRecordedBytes = 64 << 10
	// RowPrefix is the prefix of the keys of all ledger rows.
	RowPrefix = "once/"
)

// Stage is the progress of a claimed request.
type Stage string

// The stages of a request.
const (
	StageClaimed Stage = "claimed"
	StageDone    Stage = "done"
)

// Record is the ledger row of one request.
type Record struct {
	// Token is unique to the attempt that claimed the key.
	Token string `json:"token"`
	Host  string `json:"host"`
	// Digest is a hash of the request's content.
	Digest    string    `json:"digest"`
	Stage     Stage     `json:"stage"`
	ClaimedAt time.Time `json:"claimed_at"`
	// ExpiresAt is the time after which the row may be removed.
	ExpiresAt   time.Time `json:"expires_at"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	// Truncated is set if the body was too large to record.
	Truncated bool `json:"truncated,omitempty"`
}

// Verdict is the decision on how to handle a request.
type Verdict int

// The verdicts on a request.
const (
	// Send means that this attempt holds the claim and may send the request.
	Send Verdict = iota
	// Claim means that the key is unclaimed.
	Claim
	// Replay means that the recorded response is to be returned.
	Replay
	// Mismatch means that the key was used for a different request.
	Mismatch
	// OutcomeUnknown means that another attempt has claimed the key and may have run the request, or that the response
	// was too large to record.
	OutcomeUnknown
)

// RowKey returns the key of the ledger row for an idempotency key.
func RowKey(route, workspace, key string) string {
	return RowPrefix + route + "/" + digest([]byte(workspace), []byte(key))
}

// Digest returns a hash of a request's method, path and body.
func Digest(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

func digest(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		var size [8]byte
		for index := range size {
			size[index] = byte(len(part) >> (8 * index))
		}
		hash.Write(size[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// NewClaim returns the record that claims a key.
func NewClaim(now time.Time, token, host, digest string, window time.Duration) Record {
	return Record{Token: token, Host: host, Digest: digest, Stage: StageClaimed, ClaimedAt: now, ExpiresAt: now.Add(window)}
}

// Finish returns the record of a claim after the response to its request.
func (record Record) Finish(status int, contentType string, body []byte) Record {
	record.Stage = StageDone
	record.Status = status
	record.ContentType = contentType
	if len(body) > MaxRecordedBytes {
		record.Truncated = true
		return record
	}
	record.Body = body
	return record
}

// Decide returns the verdict for an attempt, given the ledger row, which is nil if there is none.
func Decide(row *Record, token, digest string) Verdict {
	switch {
	case row == nil:
		return Claim
	case row.Token == token && row.Stage == StageClaimed:
		return Send
	case row.Digest != digest:
		return Mismatch
	case row.Stage == StageDone && !row.Truncated:
		return Replay
	default:
		return OutcomeUnknown
	}
}

// Expired reports whether the row may be removed.
func (record Record) Expired(now time.Time) bool {
	return !record.ExpiresAt.IsZero() && now.After(record.ExpiresAt)
}

// Encode returns the record as the value of a row.
func (record Record) Encode() []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic("once: cannot encode the record: " + err.Error())
	}
	return value
}

// Decode decodes the value of a row. It returns nil for an empty value.
func Decode(value []byte) (*Record, error) {
	if len(value) == 0 {
		return nil, nil
	}
	record := &Record{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}
