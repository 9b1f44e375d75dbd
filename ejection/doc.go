// Package ejection drives the decisions of package health: it watches the backend
// servers beside this instance, carries their reports and their asks for ejection
// permits to the owner of the service's shard, and is that owner for the shards
// whose lease this instance holds.
//
// A backend server is ejected only under a permit, so that the floor of a service
// holds over the views of all instances. No owner, no new ejection.
//
// Messages go in one batch for each service, at most one under way at a time.
package ejection
