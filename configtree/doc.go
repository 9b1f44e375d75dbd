// Package configtree decides from which instance each instance obtains the configuration,
// and to which ones it offers a new version. It performs no I/O; see package configsync for
// the messages.
//
// The instances form trees. The roots are the holders or, in a fleet without holders, the
// control instances. With holders, all instances form one tree of fan-out 8, ordered by
// failure domain.
//
// Without holders, each failure domain has a tree of its own below the control instances in
// it, so that polls and offers stay within the failure domain. A failure domain without
// control instances is served by all of them. A control instance has as many children as it
// can send a version to in the time that the thinnest link among them takes to receive it:
// up to that number, the parent's link is not what a child waits for, and another level
// would add the time to send the version once more over a thin link. The number follows from
// the capacities of the links alone, however large the version is. Where capacities are not
// known, and below the control instances, the fan-out is 8.
package configtree
