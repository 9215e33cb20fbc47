// Package sassafrastray steers the traffic of several services from callers
// to backend servers.
//
// A caller asks any entry VM which VMs to use for a service (the look-up) and
// sends its request to one of them with its team's key. The entry VM finds the
// service and the route, maps the key to a team, chooses a region, a failure
// domain and a version, and forwards the request to the VM that schedules the
// chosen backend servers (their owner). The owner queues the request by team,
// takes a token from the team's quota, occupies a slot and streams the response
// back.
//
// The VMs share state in three ways. Operators' configuration, the record of each
// move between versions, and the places with their quota shares are stored in the
// platform's object store and change only by conditional update. Load, health and
// measurements of versions are exchanged in heartbeats. Quota is lent between VMs
// for short terms, so that no VM admits requests beyond the quota it holds.
//
// This package has the types of the domain and the interfaces between the
// packages. The implementations are in internal.
package sassafrastray
