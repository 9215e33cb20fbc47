package sassafrastray

import "strconv"

// Names in operators' files and in the platform's metadata. They are distinct
// types so that the compiler rejects, for example, a region in place of a failure
// domain.
type (
	// RegionName names a region.
	RegionName string
	// DomainName names a failure domain. It is unique in the whole fleet.
	DomainName string
	// VMName names an entry VM. It is the name in the platform's list of VMs.
	VMName string
	// TeamName names a team of callers. It is empty for a request without a key
	// on a public route.
	TeamName string
	// ServiceName names a service.
	ServiceName string
	// VersionName names a version of a service's code.
	VersionName string
	// BackendName names a backend server. It is unique in the whole fleet.
	BackendName string
	// RouteName names a route within its service.
	RouteName string
	// MoveName names a move between versions within its service. It is never
	// reused.
	MoveName string
	// Source identifies the origin of reported measurements: a VM, or all VMs of
	// a region together.
	Source string
)

// Source returns the source of the VM's own measurements.
func (n VMName) Source() Source { return Source(n) }

// Source returns the source of the measurements of all VMs of the region. It
// differs from every VM's source, because names of VMs contain no slash.
func (n RegionName) Source() Source { return "region/" + Source(n) }

// Incarnation distinguishes a run of a VM's process from its earlier runs. It is
// the start time in nanoseconds, so a later run has a greater value.
type Incarnation int64

// String returns the incarnation in decimal digits.
func (i Incarnation) String() string { return strconv.FormatInt(int64(i), 10) }
