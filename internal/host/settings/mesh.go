package settings

import (
	"net/netip"
	"slices"

	"github.com/figpier/figpier/internal/host/jsonc"
)

// Bounds of the settings of a mesh.
const (
	maxSeeds  = 9
	maxLosses = 4
	maxShare  = 10.0
	maxSlack  = 1e6
)

func (r *reader) mesh(o *jsonc.Object, p processSettings) *MeshSettings {
	s := &MeshSettings{
		Service:       name(o.Required("service")),
		Callers:       r.listener(o.Required("callers"), anyAddress),
		Peers:         r.listener(o.Required("peers"), reachable),
		Announcements: r.listener(o.Required("announcements"), anyAddress),
		Readiness:     r.listener(o.Required("readiness"), anyAddress),
		Backend:       r.remote(o.Required("backend")),
		Seeds:         seeds(o.Required("seeds"), p),
		Withdrawal:    o.Required("withdrawal").Duration(minDuration, maxStop),
		Drain:         o.Required("drain").Duration(minDuration, maxStop),
		Grace:         o.Required("grace").Duration(minDuration, maxStop),
		Retries:       allowance(o.Required("retries").Object()),
		Quota:         allowance(o.Required("quota").Object()),
	}
	o.RejectUnknown()
	return s
}

func allowance(o *jsonc.Object) AllowanceSettings {
	s := AllowanceSettings{
		Window: o.Required("window").Duration(minDuration, maxStop),
		Share:  o.Required("share").Number(0, maxShare),
		Slack:  o.Required("slack").Number(0, maxSlack),
	}
	o.RejectUnknown()
	return s
}

// seeded reads a control instance that finds the others through seeds.
func (r *reader) seeded(o *jsonc.Object, f *jsonc.Field, p processSettings) *ControlSettings {
	s := &ControlSettings{
		Tables:     r.listener(o.Required("tables"), anyAddress),
		Seeds:      seeds(f, p),
		Founder:    o.Required("founder").Bool(),
		Losses:     int(o.Required("losses").Integer(0, maxLosses)),
		Grace:      duration(o.Required("grace"), maxStop),
		Quota:      allowance(o.Required("quota").Object()),
		DataFolder: path(o.Required("dataFolder")),
	}
	o.RejectUnknown()
	return s
}

// seeds reads the instances on which control instances run. Messages go to the port of this process's own messages, so that
// a list with the ports of another listener may be used.
func seeds(f *jsonc.Field, p processSettings) []string {
	own, err := netip.ParseAddrPort(p.Messages)
	if err != nil {
		return nil
	}
	var all []string
	f.EachElement(func(e *jsonc.Field) {
		a, ok := address(e)
		if !ok {
			return
		}
		seed := netip.AddrPortFrom(a.Addr(), own.Port()).String()
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	})
	if f.Valid() && (len(all) == 0 || len(all) > maxSeeds) {
		f.Failf("want from 1 to %d seeds", maxSeeds)
	}
	return all
}
