package settings

import (
	"net/netip"

	"github.com/figpier/figpier/internal/host/jsonc"
)

// scope says which addresses a listener may have.
type scope int

const (
	// anyAddress is every address, also the unspecified one.
	anyAddress scope = iota
	// reachable is an address that other processes can connect to.
	reachable
	// loopback is an address on the loopback interface.
	loopback
)

// endpoint is an address that the process listens on or connects to.
type endpoint struct {
	field    *jsonc.Field
	address  netip.AddrPort
	listener bool
}

// listener returns an IP address and port to listen on.
func (r *reader) listener(f *jsonc.Field, s scope) string {
	a, ok := address(f)
	if !ok {
		return ""
	}
	switch {
	case s == reachable && a.Addr().IsUnspecified():
		f.Failf("other processes connect to this address: write the IP number of this one")
	case s == loopback && !a.Addr().IsLoopback():
		f.Failf("want a loopback address such as \"127.0.0.1:7005\"")
	}
	r.endpoints = append(r.endpoints, endpoint{field: f, address: a, listener: true})
	return a.String()
}

// remote returns an IP address and port to connect to.
func (r *reader) remote(f *jsonc.Field) string {
	a, ok := address(f)
	if !ok {
		return ""
	}
	if a.Addr().IsUnspecified() {
		f.Failf("want the IP number of another process")
	}
	r.endpoints = append(r.endpoints, endpoint{field: f, address: a})
	return a.String()
}

func address(f *jsonc.Field) (netip.AddrPort, bool) {
	text := f.Text()
	if !f.Valid() {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Failf("want an IP number and a port such as \"127.0.0.1:7001\", not a host name")
		return netip.AddrPort{}, false
	}
	if a.Port() == 0 {
		f.Failf("want a port from 1 to 65535")
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// checkEndpoints reports ports that two listeners want, and addresses beyond loopback without TLS.
func (r *reader) checkEndpoints(secure bool) {
	for i, e := range r.endpoints {
		if !secure && !e.address.Addr().IsLoopback() {
			e.field.Failf("an address other than a loopback one needs the section \"tls\"")
		}
		for _, other := range r.endpoints[:i] {
			if e.clashes(other) {
				e.field.Failf("%s listens on this port too", other.field.Path())
			}
		}
	}
}

func (e endpoint) clashes(other endpoint) bool {
	if !e.listener || !other.listener || e.address.Port() != other.address.Port() {
		return false
	}
	a, b := e.address.Addr(), other.address.Addr()
	return a == b || a.IsUnspecified() || b.IsUnspecified()
}
