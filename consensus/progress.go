package consensus

import (
	"time"
)

// maxInflightAppends bounds the unanswered appends with entries to a member.
const maxInflightAppends = 64

// progressState determines how the leader sends entries to a member.
type progressState uint8

const (
	// probing: the leader searches for the last matching entry, one message at a
	// time.
	probing progressState = iota
	// replicating: the leader pipelines appends without waiting for answers.
	replicating
	// sendingSnapshot: the member lacks compacted entries and is sent a snapshot.
	sendingSnapshot
)

// progress is the leader's view of a member's log.
//
// Invariant: the entries up to match are synced on the disk named by disk. They
// count towards a majority only if that is the admitted disk.
type progress struct {
	disk  DiskID
	match uint64
	next  uint64
	state progressState
	// paused is set while a probe or a snapshot is unanswered.
	paused bool
	// inflight holds the last index of each unanswered append.
	inflight []uint64
	// lastContact is when the newest answered request was sent, as a duration
	// since the leader's startTime.
	lastContact time.Duration
	// contacted reports whether lastContact is set.
	contacted bool
	// snapshotIndex is the index of the snapshot being sent.
	snapshotIndex uint64
	// snapshotRetryAt is when the leader sends the snapshot again.
	snapshotRetryAt time.Time
}

func newProgress(disk DiskID, lastIndex uint64) *progress {
	return &progress{disk: disk, next: lastIndex + 1}
}

// recordContact records an answer to a request sent at the given time. Late
// answers to older requests are ignored.
func (p *progress) recordContact(sentAt time.Duration) {
	if !p.contacted || sentAt > p.lastContact {
		p.lastContact = sentAt
		p.contacted = true
	}
}

// becomeProbing makes the leader search again for the last matching entry, starting
// after the last entry known to match.
func (p *progress) becomeProbing() {
	p.state = probing
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) becomeSendingSnapshot(index uint64, retryAt time.Time) {
	p.state = sendingSnapshot
	p.snapshotIndex = index
	p.snapshotRetryAt = retryAt
	p.paused = true
	p.inflight = nil
}

// recordSent records that an append was sent whose last entry is at lastIndex.
func (p *progress) recordSent(lastIndex uint64) {
	if p.state == replicating {
		p.next = lastIndex + 1
		p.inflight = append(p.inflight, lastIndex)
		return
	}
	p.paused = true
}

// canSend reports whether the leader may send entries now.
func (p *progress) canSend() bool {
	if p.state == replicating {
		return len(p.inflight) < maxInflightAppends
	}
	return !p.paused
}

// accept records that the member's log matches up to index. It reports whether the
// match index has advanced.
func (p *progress) accept(index uint64) bool {
	p.releaseInflight(index)
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	switch p.state {
	case probing:
		p.state = replicating
		p.next = p.match + 1
	case sendingSnapshot:
		if p.match >= p.snapshotIndex {
			p.becomeProbing()
		}
	case replicating:
	}
	return advanced
}

// reject records that the member's log does not match at index. It reports whether
// the leader is to send another append; a late rejection is ignored.
func (p *progress) reject(index, hint uint64) bool {
	if index <= p.match || p.state == sendingSnapshot {
		return false
	}
	if p.state == replicating {
		p.becomeProbing()
		return true
	}
	if index != p.next-1 {
		return false
	}
	p.next = max(min(index, hint+1), p.match+1)
	p.paused = false
	return true
}

func (p *progress) releaseInflight(index uint64) {
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= index {
		answered++
	}
	p.inflight = p.inflight[answered:]
}
