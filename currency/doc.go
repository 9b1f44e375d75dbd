// Package currency determines whether the configuration of an instance is current,
// when a version is accepted, and from which version an instance may serve.
//
// A withdrawn key must stop working on every instance within a bounded time
// ([DefaultRevocationBound] unless the settings state another bound), also on an
// instance that is partitioned from all others. Yet the fleet must keep serving for
// hours while the control instances, which replicate the log of configuration changes,
// are unreachable. The package distinguishes the two cases by quorums, similar to a
// quorum lease (Moraru, Andersen and Kaminsky, "Paxos Quorum Leases", 2014) and to
// quorum reads of a replicated register (Attiya, Bar-Noy and Dolev, "Sharing Memory
// Robustly in Message-Passing Systems", 1995).
//
// # Terms
//
// A version is committed when a majority of the control instances has stored it on
// disk. Up to seven proxies, the holders, keep committed versions in memory. A version
// is accepted when a majority of the holders holds it at the same time, and likewise a
// majority of the former holders if the version replaces the holders. Instances serve
// only from accepted versions, and only accepted versions are reported to operators.
//
// An [Attestation] states that, as of some time, no version above Highest had been
// accepted. The leader of the control instances creates one while a majority of them
// confirms its leadership. Any other instance can create one too if a majority of the
// holders replies and none of them holds a later version than the instance does.
// Instances pass attestations on together with their age, always in the reply to a
// poll. The receiver subtracts that age from the time at which it sent the poll. The
// result is at or before the true time of the attestation, however long the reply was
// in transit. The receiver may therefore overestimate the age of the attestation but
// never underestimate it, and no two clocks are compared.
//
// A version satisfies an attestation if it is not below Highest. An instance is
// current until [MaxAttestationAge] after the time of the latest attestation that the
// version it serves from satisfies.
//
// # Why no accepted version is missed
//
// Version x+1 is committed only after x was accepted (see [Leader.CheckProposal]). To
// be accepted, x+1 needs a majority of the holders of x, because the holders of x are
// either the holders of x+1 too, or its former holders. So once any version above x is
// accepted, every majority of the holders of x contains a holder that held x+1 when
// x+1 was accepted. A holder keeps a version, or replaces it by a later one, until its
// process ends. After a restart, a process does not count towards an attestation until
// it holds the Highest of an attestation from after its start, or a later version. No
// version that previous incarnations of the holder helped to accept is above that
// Highest.
package currency
