// Package currency decides whether an instance's configuration is current, when
// a version is accepted, and which version an instance may serve from.
//
// A withdrawn key must stop within a promised time ([DefaultRevocationBound] unless the
// settings say otherwise) on every instance, one that is cut off alone included,
// while the fleet goes on for hours without control. The
// package tells the two apart by quorums, in the manner of a quorum lease
// (Moraru, Andersen and Kaminsky, "Paxos Quorum Leases", 2014) and of quorum
// reads of a replicated register (Attiya, Bar-Noy and Dolev, "Sharing Memory
// Robustly in Message-Passing Systems", 1995).
//
// # Terms
//
// A version is committed when a majority of the disks of control has it. Up to
// seven proxies, the holders, hold committed versions in memory. A version is
// accepted when, at one time, a majority of the holders holds it as well. Only
// accepted versions are served from, and only they are reported to operators.
//
// An [Attestation] says: as of a time, no version above Highest was accepted. The
// leader of control makes one while a majority of control confirms that it leads,
// and any instance that hears a majority of the holders makes one. An attestation
// is passed on from instance to instance with its age. It is always the answer to
// a poll, and it counts from when the poll was sent, less the age that the
// answer states: so it counts too old, never too young, however long it was on
// its way, and no two clocks are compared.
//
// An instance is current for [MaxAttestationAge] the promise after the time of the latest
// attestation that the version it serves from meets.
//
// # Why nothing accepted is missed
//
// Version x+1 is committed only after x was accepted (see [Leader.CheckProposal]),
// and it needs a majority of the holders that x names: its own holders or its
// former ones. So once any version above x is accepted, every majority of the
// holders of x has a member that held x+1 at that time. A holder keeps what it
// holds until its process ends. A process that has started anew does not vouch
// until it holds the Highest of an attestation from after its start, which covers
// all that its former life may have taken part in.
package currency
