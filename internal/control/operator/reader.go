package operator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figpier/figpier"
	api "github.com/figpier/figpier/gen/operator"
	"github.com/figpier/figpier/internal/host/profile"
)

// maxQuorumAge is the longest time since the last contact with the quorum at which reads are still answered. An accepted
// edit takes effect everywhere within it, so an older configuration must not be presented as current.
const maxQuorumAge = 4 * time.Second

// reader answers the read requests of the API. The log, the registry and the messenger are nil where the process has none.
type reader struct {
	instance  figpier.InstanceID
	catalog   figpier.Catalog
	log       figpier.ReplicatedLog
	registry  figpier.Registry
	messenger figpier.Messenger
	clock     figpier.Clock
}

func newReader(i figpier.InstanceID, c figpier.Catalog, d figpier.Directory) *reader {
	r := &reader{instance: i, catalog: c, clock: d.Clock()}
	if log, err := figpier.FindReplicatedLog(d); err == nil {
		r.log = log
	}
	if registry, err := figpier.FindRegistry(d); err == nil {
		r.registry = registry
	}
	if messenger, err := figpier.FindMessenger(d); err == nil {
		r.messenger = messenger
	}
	return r
}

// currentConfiguration returns the newest accepted configuration, or a *StaleReadError if this instance may have missed
// newer ones.
func (r *reader) currentConfiguration() (*figpier.Configuration, error) {
	if r.log != nil {
		if r.log.QuorumAge(r.clock.Now()) > maxQuorumAge {
			return nil, &StaleReadError{}
		}
	}
	return r.catalog.Configuration(), nil
}

func (r *reader) profiles() (*api.ProfileList, error) {
	c, err := r.currentConfiguration()
	if err != nil {
		return nil, err
	}
	list := &api.ProfileList{Revision: int64(c.Revision()), Profiles: []*api.ProfileSummary{}}
	for _, name := range slices.Sorted(maps.Keys(c.Profiles())) {
		p := c.Profiles()[name]
		list.Profiles = append(list.Profiles, &api.ProfileSummary{
			Name:     string(name),
			Revision: int64(p.Revision()),
			Routes:   len(p.Routes()),
			Services: servicesOf(c, name),
		})
	}
	return list, nil
}

// servicesOf returns the services that a profile is assigned to, in order.
func servicesOf(c *figpier.Configuration, name figpier.ProfileName) []string {
	services := []string{}
	for s, a := range c.Assignments() {
		if a.Profile() == name {
			services = append(services, string(s))
		}
	}
	slices.Sort(services)
	return services
}

func (r *reader) profile(name figpier.ProfileName) (*api.ProfileView, error) {
	c, err := r.currentConfiguration()
	if err != nil {
		return nil, err
	}
	p, ok := c.Profiles()[name]
	if !ok {
		return nil, newNotFoundError("profile", string(name))
	}
	text, err := profile.Write(p)
	if err != nil {
		return nil, err
	}
	return &api.ProfileView{
		Name:     string(name),
		Revision: int64(p.Revision()),
		Document: string(text),
	}, nil
}

func (r *reader) assignments() (*api.AssignmentList, error) {
	c, err := r.currentConfiguration()
	if err != nil {
		return nil, err
	}
	list := &api.AssignmentList{Revision: int64(c.Revision()), Assignments: []*api.Assignment{}}
	for _, s := range slices.Sorted(maps.Keys(c.Assignments())) {
		a := c.Assignments()[s]
		list.Assignments = append(list.Assignments, &api.Assignment{
			Service:  string(s),
			Profile:  string(a.Profile()),
			Revision: int64(a.Revision()),
		})
	}
	return list, nil
}

func (r *reader) keys() (*api.KeyList, error) {
	c, err := r.currentConfiguration()
	if err != nil {
		return nil, err
	}
	list := &api.KeyList{Revision: int64(c.Revision()), Keys: []*api.CustomerKey{}}
	for _, k := range c.Keys() {
		list.Keys = append(list.Keys, &api.CustomerKey{
			ID:       k.ID(),
			Customer: string(k.Customer()),
			Revision: int64(k.Revision()),
		})
	}
	slices.SortFunc(list.Keys, func(a, b *api.CustomerKey) int {
		return cmp.Or(
			cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.Revision, b.Revision),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list, nil
}

// status reports what this instance knows, also when it has lost the quorum; QuorumAgeMillis shows for how long.
func (r *reader) status() *api.Status {
	c := r.catalog.Configuration()
	s := &api.Status{
		Instance:    string(r.instance),
		Revision:    int64(c.Revision()),
		Profiles:    len(c.Profiles()),
		Assignments: len(c.Assignments()),
		Keys:        len(c.Keys()),
		Members:     r.members(),
	}
	if r.log != nil {
		s.Leader = string(r.log.Leader())
		s.QuorumAgeMillis = r.log.QuorumAge(r.clock.Now()).Milliseconds()
	}
	return s
}

func (r *reader) members() []*api.Member {
	list := []*api.Member{}
	if r.registry == nil {
		return list
	}
	for _, m := range r.registry.Since(0).Members() {
		list = append(list, &api.Member{
			Instance:   string(m.Instance()),
			Service:    string(m.Service()),
			DataCentre: string(m.DataCentre()),
			Slots:      m.Slots(),
			Draining:   m.Draining(),
		})
	}
	slices.SortFunc(list, func(a, b *api.Member) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}
