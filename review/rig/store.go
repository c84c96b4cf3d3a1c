//go:build review

package rig

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
)

// StoreProxy stands between one machine and the store. While it turns the machine away, it
// answers each call with 503, which means that nothing was done.
type StoreProxy struct {
	server *httptest.Server
	busy   atomic.Bool
}

// NewStoreProxy returns a proxy of the store of a deployment.
func NewStoreProxy(d *Deployment) *StoreProxy {
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.KV.Address()})
	p := &StoreProxy{}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.busy.Load() {
			w.Header().Set("Store-Era", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		forward.ServeHTTP(w, r)
	}))
	return p
}

// Address returns the address of the proxy.
func (p *StoreProxy) Address() string { return p.server.Listener.Addr().String() }

// TurnAway makes the store turn the machine away, or serve it again.
func (p *StoreProxy) TurnAway(away bool) { p.busy.Store(away) }

// Close ends the proxy.
func (p *StoreProxy) Close() {
	p.server.CloseClientConnections()
	p.server.Close()
}
