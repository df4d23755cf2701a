// Package table is the HTTP client of the platform's table service and host list. Daemons access these services only
// through this package.
package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lentilproxy"

	"github.com/samber/oops"
)

const (
	// DefaultTimeout bounds one call unless WithTimeout is used.
	DefaultTimeout = time.Second
	// maxResponseBytes bounds one response.
	maxResponseBytes = 64 << 20
)

// Paths of the platform's HTTP interface.
const (
	PathRead   = "/v1/read"
	PathCommit = "/v1/commit"
	PathHosts  = "/v1/hosts"
)

// Client calls the platform.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// Option configures a client.
type Option func(*Client)

// WithTimeout sets the timeout of one call.
func WithTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.timeout = timeout }
}

// New returns a client of the platform at IP:port.
func New(address string, options ...Option) *Client {
	client := &Client{
		base:    "http://" + address,
		timeout: DefaultTimeout,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}},
	}
	for _, option := range options {
		option(client)
	}
	return client
}

// Read implements lentilproxy.Table.
func (client *Client) Read(ctx context.Context, request lentilproxy.ReadRequest) (lentilproxy.ReadResult, error) {
	var result lentilproxy.ReadResult
	err := client.call(ctx, http.MethodPost, PathRead, request, &result)
	return result, err
}

// Commit implements lentilproxy.Table.
func (client *Client) Commit(ctx context.Context, transaction lentilproxy.Transaction) (lentilproxy.CommitResult, error) {
	var result lentilproxy.CommitResult
	err := client.call(ctx, http.MethodPost, PathCommit, transaction, &result)
	return result, err
}

// Hosts implements lentilproxy.HostList.
func (client *Client) Hosts(ctx context.Context) ([]lentilproxy.HostStatus, error) {
	var hosts []lentilproxy.HostStatus
	err := client.call(ctx, http.MethodGet, PathHosts, nil, &hosts)
	return hosts, err
}

func (client *Client) call(ctx context.Context, method, path string, input, output any) error {
	failure := oops.Code("platform_unavailable").With("path", path)
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	body, err := json.Marshal(input)
	if err != nil {
		return failure.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return failure.Wrap(err)
	}
	// Without GetBody the transport never retries a request whose effect is unknown.
	request.GetBody = nil
	response, err := client.http.Do(request)
	if err != nil {
		return failure.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return failure.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return failure.With("status", response.StatusCode).Errorf("the platform responded %s", response.Status)
	}
	return failure.Wrap(json.Unmarshal(content, output))
}
