package consensus

import (
	"time"
)

// maxInflight is the number of appends with entries on their way to a member.
const maxInflight = 64

// progressState is how the leader sends to a member.
type progressState uint8

const (
	// probing: the leader looks for the last entry that matches, one message at a
	// time.
	probing progressState = iota
	// replicating: the leader sends ahead of the answers.
	replicating
	// installing: the member lacks compacted entries and is sent a snapshot.
	installing
)

// progress is what the leader knows of a member's log.
//
// Invariant: entries up to match are synced on the disk named by disk. They count
// for a majority only if that is the admitted one.
type progress struct {
	disk  DiskID
	match uint64
	next  uint64
	state progressState
	// paused is set while a probe is unanswered.
	paused bool
	// inflight holds the last index of each append that is not answered yet.
	inflight []uint64
	// heardAt is when the newest answered request was sent, on the leader's clock.
	heardAt time.Duration
	// heard tells whether heardAt is set.
	heard bool
	// snapshotIndex is what a snapshot on its way will bring.
	snapshotIndex uint64
	// snapshotRetryAt is when the leader sends the snapshot again.
	snapshotRetryAt time.Time
}

func newProgress(disk DiskID, lastIndex uint64) *progress {
	return &progress{disk: disk, next: lastIndex + 1}
}

// noteHeard records the answer to a request sent at the given time. Late answers
// to older requests change nothing.
func (p *progress) noteHeard(sentAt time.Duration) {
	if !p.heard || sentAt > p.heardAt {
		p.heardAt = sentAt
		p.heard = true
	}
}

// becomeProbing goes back to the last entry known to match.
func (p *progress) becomeProbing() {
	p.state = probing
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) becomeInstalling(index uint64, retryAt time.Time) {
	p.state = installing
	p.snapshotIndex = index
	p.snapshotRetryAt = retryAt
	p.paused = true
	p.inflight = nil
}

// noteSent records an append whose last entry is at lastIndex.
func (p *progress) noteSent(lastIndex uint64) {
	if p.state == replicating {
		p.next = lastIndex + 1
		p.inflight = append(p.inflight, lastIndex)
		return
	}
	p.paused = true
}

// canSend tells whether the leader may send entries now.
func (p *progress) canSend() bool {
	if p.state == replicating {
		return len(p.inflight) < maxInflight
	}
	return !p.paused
}

// accept records that the member's log matches up to index. It tells whether
// that is news.
func (p *progress) accept(index uint64) bool {
	p.freeInflight(index)
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	switch p.state {
	case probing:
		p.state = replicating
		p.next = p.match + 1
	case installing:
		if p.match >= p.snapshotIndex {
			p.becomeProbing()
		}
	case replicating:
	}
	return news
}

// reject records that the member's log does not match at index. It tells whether
// to send again; a late refusal changes nothing.
func (p *progress) reject(index, hint uint64) bool {
	if index <= p.match || p.state == installing {
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

func (p *progress) freeInflight(index uint64) {
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= index {
		answered++
	}
	p.inflight = p.inflight[answered:]
}
