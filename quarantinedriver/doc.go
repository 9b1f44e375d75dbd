// Package quarantinedriver runs quarantine.Table on an instance. It records the crashes that
// the backend proxy of this instance witnesses, sends what it learns to the instances that
// need to know, and compares its table with those of other instances.
//
// The first crash under a request is sent to a few instances that the fingerprint determines,
// its keepers, since most requests that are under way in a crash are never in another one. As
// soon as a second crash is known, all instances are told: each sends what is new to it to a
// few others. Whatever is lost on the way arrives by the comparison of tables.
package quarantinedriver
