package configsync

import (
	"sync"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Replica is the copy of the configuration on a control instance. It is the state
// machine of the replicated log (control.StateMachine) and is safe for concurrent use.
type Replica struct {
	mu           sync.Mutex
	stateMachine *fleetconfig.StateMachine
	changed      chan struct{}
}

// NewReplica returns the replica of a new fleet. The log restores the state by a
// snapshot and by replaying entries.
func NewReplica() *Replica {
	return &Replica{stateMachine: fleetconfig.NewStateMachine(), changed: make(chan struct{}, 1)}
}

// Apply applies a committed command and returns the encoded result.
func (r *Replica) Apply(index uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.stateMachine.Apply(index, command)
	r.notify()
	return result
}

// Snapshot returns the complete state, encoded.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateMachine.Snapshot()
}

// Restore replaces the complete state by that of a snapshot.
func (r *Replica) Restore(snapshot []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notify()
	return r.stateMachine.Restore(snapshot)
}

// Document returns the committed document. It must not be modified.
func (r *Replica) Document() *fleetconfig.Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateMachine.Document()
}

// Source returns the text of the latest complete configuration that operators sent, or
// nil if they never sent one. It does not include single changes that were made
// afterwards. It must not be modified.
func (r *Replica) Source() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateMachine.Source()
}

// History returns the latest accepted commands, oldest first. It must not be modified.
func (r *Replica) History() []fleetconfig.HistoryEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateMachine.History()
}

// notify signals the service that the document may have changed.
func (r *Replica) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
