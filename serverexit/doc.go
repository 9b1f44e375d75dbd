// Package serverexit keeps what an instance has acknowledged about backend servers that drain
// or have left, so that a restarted process of the instance still knows it.
//
// An instance beside backend servers has no disk. Before it acknowledges an exit, it sends a
// [Record] of it to a few other instances, the witnesses. A new process asks them for the records
// of its predecessors before it registers any server, since an announcement that was sent
// before the exit may arrive after the restart. The witnesses of an instance follow from the
// members alone ([Witnesses]), so that both processes find the same ones. A record is confirmed
// by a majority of them and read from a majority, so that one of those asked has it.
//
// [Store] and [Enough] decide and do no I/O; [Keeper] carries the messages.
package serverexit
