package sassafrastray

import "strconv"

// Names of the things that operators' files and the platform name. They are
// distinct types so that the compiler catches a region passed for a failure
// domain.
type (
	// RegionName names a region.
	RegionName string
	// DomainName names a failure domain, unique in the whole fleet.
	DomainName string
	// VMName names an entry VM, as the platform's list of VMs does.
	VMName string
	// TeamName names a team of callers. It is empty on a route that is open
	// to all and was called without a key.
	TeamName string
	// ServiceName names a service.
	ServiceName string
	// VersionName names a version of a service's code.
	VersionName string
	// BackendName names a backend server, unique in the whole fleet.
	BackendName string
	// RouteName names a route within its service.
	RouteName string
	// MoveName names a move between versions within its service. It is never
	// used twice.
	MoveName string
	// Source names who tells figures: a VM, or the VMs of a region together.
	Source string
)

// Source returns the name under which the VM tells figures.
func (n VMName) Source() Source { return Source(n) }

// Source returns the name under which the region's VMs tell figures together. No
// VM has a name with a slash.
func (n RegionName) Source() Source { return "region/" + Source(n) }

// Incarnation tells one run of a VM's process from its earlier runs. It is
// the start time in nanoseconds, so a later run has a greater one.
type Incarnation int64

// String returns the incarnation in decimal digits.
func (i Incarnation) String() string { return strconv.FormatInt(int64(i), 10) }
