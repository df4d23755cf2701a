// Package engine is the HTTP client for backend servers that run models. It sends orders to load and unload adapters,
// and reads the loaded instances and the number of running requests.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lentilproxy"

	"github.com/samber/oops"
)

const (
	// FencingHeader is the header that carries the fencing token of an order.
	FencingHeader = "X-Fencing-Number"
	// LeavingHeader is the header whose value is 1 in all responses of a server that is leaving.
	LeavingHeader = "X-Lentil-Leaving"
	// OrderTimeout bounds a load or an unload.
	OrderTimeout = 30 * time.Second
	// StatusTimeout bounds a status read.
	StatusTimeout = 2 * time.Second

	maxStatusBytes = 4 << 20
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 64 << 10
)

// NewHTTPClient returns an HTTP client for backend servers. It sends each request once, on a connection of its own: a
// server may send a second copy of a response late, and its responses do not identify their requests. It follows no
// redirects, which could send a request to an address that no backend server has.
func NewHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			// A proxy could send a request to another server.
			Proxy: nil, DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Status is the state that an engine reports.
type Status struct {
	Instances []string
	// Running is the number of requests that the engine is running.
	Running int
}

// Client sends orders to one engine and reads its status.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at IP:port.
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load implements lentilproxy.Engine.
func (client *Client) Load(ctx context.Context, order lentilproxy.LoadOrder) error {
	return client.sendOrder(ctx, "/v1/load_lora_adapter", adapterOrder{Name: order.Instance, Path: order.Source}, order.FencingToken, http.StatusOK)
}

// Unload implements lentilproxy.Engine. An instance that is not loaded counts as unloaded.
func (client *Client) Unload(ctx context.Context, order lentilproxy.UnloadOrder) error {
	return client.sendOrder(ctx, "/v1/unload_lora_adapter", adapterOrder{Name: order.Instance}, order.FencingToken, http.StatusOK, http.StatusNotFound)
}

func (client *Client) sendOrder(ctx context.Context, path string, order adapterOrder, fencingToken int64, accepted ...int) error {
	failure := oops.Code("engine_order_failed").With("path", path, "instance", order.Name)
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return failure.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.base+path, bytes.NewReader(body))
	if err != nil {
		return failure.Wrap(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(FencingHeader, strconv.FormatInt(fencingToken, 10))
	response, err := client.http.Do(request)
	if err != nil {
		var dialled *net.OpError
		if errors.As(err, &dialled) && dialled.Op == "dial" {
			return failure.Wrap(err)
		}
		return failure.Wrap(errors.Join(lentilproxy.ErrNoResponse, err))
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	for _, status := range accepted {
		if response.StatusCode == status {
			return nil
		}
	}
	return failure.Errorf("the engine responded %s: %s", response.Status, bytes.TrimSpace(content))
}

// Instances implements lentilproxy.Engine.
func (client *Client) Instances(ctx context.Context) ([]string, error) {
	status, err := client.Status(ctx)
	return status.Instances, err
}

// Status returns the loaded instances and the number of running requests.
func (client *Client) Status(ctx context.Context) (Status, error) {
	failure := oops.Code("engine_unavailable")
	ctx, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+"/v1/models", http.NoBody)
	if err != nil {
		return Status{}, failure.Wrap(err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return Status{}, failure.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
		Running int `json:"running"`
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&list); err != nil {
		return Status{}, failure.Wrap(err)
	}
	status := Status{Running: list.Running}
	for _, entry := range list.Data {
		status.Instances = append(status.Instances, entry.ID)
	}
	return status, nil
}
