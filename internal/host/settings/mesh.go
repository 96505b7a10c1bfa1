package settings

import (
	"net/netip"
	"slices"

	"github.com/figpier/figpier/internal/host/jsonc"
)

// Upper bounds of the settings of a mesh.
const (
	maxSeeds          = 9
	maxLosses         = 4
	maxAllowanceShare = 10.0
	maxAllowanceSlack = 1e6
)

// readMesh reads the section "mesh", in which all timings but those that later builds added are required and have no defaults.
func (r *reader) readMesh(o *jsonc.Object, p processSettings) *MeshSettings {
	s := &MeshSettings{
		Service:       readName(o.Required("service")),
		Callers:       r.readListenAddress(o.Required("callers"), anyAddress),
		Peers:         r.readListenAddress(o.Required("peers"), connectableAddress),
		Announcements: r.readListenAddress(o.Required("announcements"), anyAddress),
		Readiness:     r.readListenAddress(o.Required("readiness"), anyAddress),
		Backend:       r.readRemoteAddress(o.Required("backend")),
		Seeds:         readSeeds(o.Required("seeds"), p),
		Withdrawal:    o.Required("withdrawal").Duration(minDuration, maxDuration),
		Propagation:   readDuration(o.Optional("propagation"), maxDuration),
		Drain:         o.Required("drain").Duration(minDuration, maxDuration),
		Grace:         o.Required("grace").Duration(minDuration, maxDuration),
		Retries:       readAllowance(o.Required("retries").Object()),
		Quota:         readAllowance(o.Required("quota").Object()),
	}
	o.RejectUnknown()
	return s
}

// readAllowance reads a bound on a count over a sliding window.
func readAllowance(o *jsonc.Object) AllowanceSettings {
	s := AllowanceSettings{
		Window: o.Required("window").Duration(minDuration, maxDuration),
		Share:  o.Required("share").Number(0, maxAllowanceShare),
		Slack:  o.Required("slack").Number(0, maxAllowanceSlack),
	}
	o.RejectUnknown()
	return s
}

// readSeededControl reads the section "control" of a control instance that finds the other ones through the seeds in f.
func (r *reader) readSeededControl(o *jsonc.Object, f *jsonc.Field, p processSettings) *ControlSettings {
	s := &ControlSettings{
		Tables:     r.readListenAddress(o.Required("tables"), anyAddress),
		Seeds:      readSeeds(f, p),
		Founder:    o.Required("founder").Bool(),
		Losses:     int(o.Required("losses").Integer(0, maxLosses)),
		Grace:      readDuration(o.Required("grace"), maxDuration),
		Quota:      readAllowance(o.Required("quota").Object()),
		DataFolder: readPath(o.Required("dataFolder")),
	}
	o.RejectUnknown()
	return s
}

// readSeeds reads the addresses of instances on which control instances run, and drops duplicates. The port of each is replaced by
// the port of this process's own message address, so that the list may name the ports of another listener.
func readSeeds(f *jsonc.Field, p processSettings) []string {
	// An invalid message address has been reported; the seeds are checked all the same.
	own, _ := netip.ParseAddrPort(p.Messages)
	var seeds []string
	f.EachElement(func(e *jsonc.Field) {
		a, ok := parseAddress(e)
		if !ok {
			return
		}
		seed := netip.AddrPortFrom(a.Addr(), own.Port()).String()
		if !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	})
	if f.Valid() && (len(seeds) == 0 || len(seeds) > maxSeeds) {
		f.Failf("want 1 to %d seeds", maxSeeds)
	}
	return seeds
}
