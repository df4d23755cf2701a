package lease

import (
	"encoding/json"
	"slices"

	"lentilproxy"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLoneHosts is the number of hosts up to which each host writes its renewals itself.
	maxLoneHosts = 12
	// hostsPerWriter is the mean number of hosts whose renewals one host writes with more hosts. The loss of a writer makes as many
	// hosts renew by themselves.
	hostsPerWriter = 16
	// MaxBatch is the number of renewals in one transaction: each has a condition and a write.
	MaxBatch = maxEntries / 2
)

// Renewal is a host's request to renew its row, which another host may write for it. The row is written only if it still has the
// version that the host knows, so that a delayed request changes nothing after a later renewal or an expulsion.
type Renewal struct {
	Host    string `json:"host"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Valid reports whether another host may write the renewal: it renews the row of the host that it names, which has to exist.
func (renewal Renewal) Valid() bool {
	var host Host
	return renewal.Version > 0 && json.Unmarshal(renewal.Value, &host) == nil && host.Name != "" && host.Name == renewal.Host
}

func (renewal Renewal) key() string { return Table + "/" + prefixHost + renewal.Host }

// Request returns the renewal of the host's row for another host to write. It reports false if the host has not joined, since it then
// has to write its row itself.
func (registry *Registry) Request() (Renewal, bool) {
	if !registry.joined || registry.leaving {
		return Renewal{}, false
	}
	transaction := registry.Renewal()
	return Renewal{Host: registry.self.Name, Version: registry.version, Value: transaction.Writes[0].Value}, true
}

// Combine returns a transaction that writes renewals of different hosts.
func Combine(renewals []Renewal) lentilproxy.Transaction {
	transaction := lentilproxy.Transaction{}
	for _, renewal := range renewals {
		transaction.Conditions = append(transaction.Conditions, lentilproxy.Condition{Key: renewal.key(), Version: renewal.Version})
		transaction.Writes = append(transaction.Writes, lentilproxy.Write{Key: renewal.key(), Value: renewal.Value})
	}
	return transaction
}

// Refused maps the hosts whose renewals conflicted with rows of the store to these rows, and returns the other renewals, which may be
// written without them.
func Refused(renewals []Renewal, conflicts []lentilproxy.Row) (refused map[string]lentilproxy.Row, others []Renewal) {
	refused = map[string]lentilproxy.Row{}
	rows := map[string]lentilproxy.Row{}
	for _, row := range conflicts {
		rows[row.Key] = row
	}
	for _, renewal := range renewals {
		if row, found := rows[renewal.key()]; found {
			refused[renewal.Host] = row
			continue
		}
		others = append(others, renewal)
	}
	return refused, others
}

// Writer returns the host that writes a host's renewals. It is the host itself if there are few hosts. The writers are the first hosts
// in an order by rendezvous hashing; hosts that disagree on it only write fewer renewals together.
func Writer(self string, hosts []string) string {
	if len(hosts) <= maxLoneHosts {
		return self
	}
	ordered := slices.Clone(hosts)
	hash := func(host string) uint64 { return xxhash.Sum64String("writer\x00" + host) }
	slices.SortFunc(ordered, func(left, right string) int {
		switch leftHash, rightHash := hash(left), hash(right); {
		case leftHash > rightHash:
			return -1
		case leftHash < rightHash:
			return 1
		default:
			return 0
		}
	})
	writers := ordered[:(len(hosts)+hostsPerWriter-1)/hostsPerWriter]
	if slices.Contains(writers, self) {
		return self
	}
	return Preferred("renewal\x00"+self, writers)
}
