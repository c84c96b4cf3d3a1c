// Package http implements discovery.Directory by HTTP calls to the platform.
//
// # Usage
//
//	d := &http.Directory{URL: "http://127.0.0.1:7000"}
//	list, err := d.List(ctx)
package http

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/discovery"
)

const (
	_callTimeout  = 3 * time.Second
	_maxListBytes = 16 << 20
)

// Directory calls the platform's list of instances.
type Directory struct {
	// URL is the base URL of the platform.
	URL string
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
}

var _ discovery.Directory = (*Directory)(nil)

// List returns the records of all instances.
func (d *Directory) List(ctx context.Context) ([]discovery.Record, error) {
	body, err := d.call(ctx, http.MethodGet, "/v1/instances", nil)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	var response struct {
		Instances []discovery.Record `json:"instances"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(err, "decode instances")
	}
	return response.Instances, nil
}

// Register adds or refreshes a record, which expires after ttl.
func (d *Directory) Register(ctx context.Context, rec discovery.Record, ttl time.Duration) error {
	body, err := json.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	path := "/v1/instances/" + url.PathEscape(rec.Name) + "?ttlMs=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	_, err = d.call(ctx, http.MethodPut, path, body)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	return nil
}

// Deregister removes the record with a name.
func (d *Directory) Deregister(ctx context.Context, name string) error {
	_, err := d.call(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(name), nil)
	if err != nil {
		return errors.Wrap(err, "deregister")
	}
	return nil
}

func (d *Directory) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, d.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	client := d.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, _maxListBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if resp.StatusCode/100 != 2 {
		return nil, errors.Errorf("platform returned status %d", resp.StatusCode)
	}
	return data, nil
}
