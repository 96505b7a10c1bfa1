package settings

import (
	"net/netip"

	"github.com/figpier/figpier/internal/host/jsonc"
)

// addressScope restricts the addresses that a listener may have.
type addressScope int

const (
	// anyAddress allows every address, including the unspecified one.
	anyAddress addressScope = iota
	// connectableAddress allows addresses that other processes can connect to: all but the unspecified one.
	connectableAddress
	// loopbackAddress allows only addresses of the loopback interface.
	loopbackAddress
)

// endpoint is an address in the settings that the process listens on or connects to.
type endpoint struct {
	field    *jsonc.Field
	address  netip.AddrPort
	listener bool
}

// readListenAddress returns an IP address and port to listen on, or an empty string with a problem reported. The address is
// recorded for checkEndpoints.
func (r *reader) readListenAddress(f *jsonc.Field, s addressScope) string {
	a, ok := parseAddress(f)
	if !ok {
		return ""
	}
	switch {
	case s == connectableAddress && a.Addr().IsUnspecified():
		f.Failf("other processes connect to this address: want an IP address of this machine, not the unspecified address")
	case s == loopbackAddress && !a.Addr().IsLoopback():
		f.Failf("want a loopback address such as \"127.0.0.1:7005\"")
	}
	r.endpoints = append(r.endpoints, endpoint{field: f, address: a, listener: true})
	return a.String()
}

// readRemoteAddress returns an IP address and port to connect to, or an empty string with a problem reported. The address is
// recorded for checkEndpoints.
func (r *reader) readRemoteAddress(f *jsonc.Field) string {
	a, ok := parseAddress(f)
	if !ok {
		return ""
	}
	if a.Addr().IsUnspecified() {
		f.Failf("want the IP address of another process, not the unspecified address")
	}
	r.endpoints = append(r.endpoints, endpoint{field: f, address: a})
	return a.String()
}

// parseAddress returns an IP address and port, with an IPv4 address in IPv6 notation converted to IPv4. It reports a problem and
// returns false for anything else, such as a host name.
func parseAddress(f *jsonc.Field) (netip.AddrPort, bool) {
	text := f.Text()
	if !f.Valid() {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Failf("want an IP address and a port such as \"127.0.0.1:7001\", not a host name")
		return netip.AddrPort{}, false
	}
	if a.Port() == 0 {
		f.Failf("want a port from 1 to 65535")
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// checkEndpoints reports listeners that share a port, and non-loopback addresses unless secure is set.
func (r *reader) checkEndpoints(secure bool) {
	for i, e := range r.endpoints {
		if !secure && !e.address.Addr().IsLoopback() {
			e.field.Failf("a non-loopback address requires the section \"tls\"")
		}
		for _, other := range r.endpoints[:i] {
			if e.conflictsWith(other) {
				e.field.Failf("%s listens on this port too", other.field.Path())
			}
		}
	}
}

// conflictsWith reports whether two listeners can't both be opened because they share a port.
func (e endpoint) conflictsWith(other endpoint) bool {
	if !e.listener || !other.listener || e.address.Port() != other.address.Port() {
		return false
	}
	a, b := e.address.Addr(), other.address.Addr()
	return a == b || a.IsUnspecified() || b.IsUnspecified()
}
