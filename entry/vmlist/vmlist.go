// Package vmlist reads the platform's list of VMs over HTTP/JSON:
// GET /v1/vms returns {"vms":[{"name":"vm-1","leaving":false}]}.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("platform_vmlist")

var (
	// ErrUnavailable marks a call that failed or got a status other than 200.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrProtocol marks a response that is invalid or too large.
	ErrProtocol = Errors.NewType("protocol")
	// ErrSettings marks invalid settings.
	ErrSettings = Errors.NewType("settings")
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes limits the size of a response: 20,000 VMs at 200 bytes each, several
	// times the planned scale.
	maxResponseBytes = 4 << 20
	// maxHeaderBytes limits the size of a response's header.
	maxHeaderBytes = 64 << 10
)

// Settings holds the address of the VM list service and the timeout of a call.
type Settings struct {
	// Endpoint is a base URL such as http://10.0.0.1:8080.
	Endpoint string
	// Timeout limits the duration of a call; 0 means 2 s.
	Timeout time.Duration
}

// Client reads the platform's VM list.
type Client struct {
	url     string
	timeout time.Duration
	client  *http.Client
}

// New returns a client. It does not connect until the first call.
func New(s Settings) (*Client, error) {
	u, err := url.Parse(s.Endpoint)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, ErrSettings.New("VM list endpoint %q is not an http or https URL", s.Endpoint)
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: s.Timeout}).DialContext, MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{
		url:     strings.TrimRight(s.Endpoint, "/") + "/v1/vms",
		timeout: s.Timeout,
		client:  &http.Client{Transport: transport},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// List returns the VMs in the order of the response. If a name is empty or listed twice,
// List rejects the whole response with ErrProtocol.
func (c *Client) List(ctx context.Context) ([]event.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "build request")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "read VM list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, ErrUnavailable.New("read VM list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "read VM list")
	}
	if len(body) > maxResponseBytes {
		return nil, ErrProtocol.New("VM list response exceeds %d bytes", maxResponseBytes)
	}
	return decode(body)
}

func decode(body []byte) ([]event.VM, error) {
	var response struct {
		VMs *[]struct {
			Name    string `json:"name"`
			Leaving bool   `json:"leaving"`
		} `json:"vms"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, ErrProtocol.Wrap(err, "decode VM list")
	}
	// A response without the field vms is an error, not an empty list of VMs.
	if response.VMs == nil {
		return nil, ErrProtocol.New("VM list response has no field vms")
	}
	seen := make(map[string]bool)
	out := make([]event.VM, 0, len(*response.VMs))
	for _, vm := range *response.VMs {
		if vm.Name == "" || seen[vm.Name] {
			return nil, ErrProtocol.New("VM name %q is empty or listed twice", vm.Name)
		}
		seen[vm.Name] = true
		out = append(out, event.VM{Name: api.VMName(vm.Name), Leaving: vm.Leaving})
	}
	return out, nil
}
