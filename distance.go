package figpier

// Distance is how far another process is, as the cost of a message depends on it.
type Distance uint8

// Distances.
const (
	// DistanceUnknown is that of a process whose place is not known yet.
	DistanceUnknown Distance = iota
	// DistanceDataCentre is that of a process in the own data centre.
	DistanceDataCentre
	// DistanceRegion is that of a process in another data centre of the own region.
	DistanceRegion
	// DistanceOtherRegion is that of a process in another region.
	DistanceOtherRegion
)

// Distances lists all distances.
var Distances = []Distance{DistanceUnknown, DistanceDataCentre, DistanceRegion, DistanceOtherRegion}

// distanceNames are the names of the distances, indexed by Distance.
var distanceNames = []string{"unknown", "data-centre", "region", "other-region"}

// String implements fmt.Stringer.
func (d Distance) String() string {
	if int(d) < len(distanceNames) {
		return distanceNames[d]
	}
	return distanceNames[DistanceUnknown]
}

// DistanceBetween returns the distance from a place to another one.
func DistanceBetween(d DataCentre, r Region, otherDataCentre DataCentre, otherRegion Region) Distance {
	switch {
	case d == otherDataCentre:
		return DistanceDataCentre
	case r == otherRegion:
		return DistanceRegion
	}
	return DistanceOtherRegion
}

// DistanceSource knows where other processes are.
type DistanceSource interface {
	Service
	// Distance returns the distance of the process at an IP address and port.
	Distance(address string) Distance
}

// FindDistanceSource finds the service of a process that knows where others are: the view of a node, or the exchange of a
// control instance.
func FindDistanceSource(d Directory) (DistanceSource, error) {
	if s, err := findService[DistanceSource](d, ConfigurationService); err == nil {
		return s, nil
	}
	return findService[DistanceSource](d, ExchangeService)
}
