// Package sassafrastray steers the traffic of several services from callers
// to backend servers.
//
// A caller asks any entry VM which VMs to use for a service (the look-up) and
// sends its request there with its team's key. The entry VM finds the service
// and the route, turns the key into a team, chooses a region, a failure domain
// and a version, and hands the request to the VM that keeps the chosen backend
// servers (the keeper). The keeper queues the request by team, takes a token
// from the team's quota, occupies a slot and streams the answer back.
//
// The VMs share three things. Operators' configuration, the record of each
// move between versions, and the places that carry quota shares are kept in
// the platform's object store and change only by conditional update. Load,
// health and evidence on versions travel between VMs in heartbeats. Quota is
// lent between VMs for short terms, so that no VM ever admits what it does not
// hold.
//
// This package holds the nouns of the domain and the interfaces between the
// parts. The implementations are below internal.
package sassafrastray
