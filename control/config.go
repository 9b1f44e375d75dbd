package control

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/storage"
	"github.com/hemlockring/hemlockring/transport"
)

// Defaults of a node's settings.
const (
	defaultElectionTimeout  = 1500 * time.Millisecond
	defaultHeartbeat        = 250 * time.Millisecond
	defaultSnapshotLogBytes = 8 << 20
)

// Limits of a node.
const (
	// MaxCommandBytes is the largest command.
	MaxCommandBytes = 1 << 20
	// maxUncommittedBytes bounds what the leader accepts before it is committed.
	maxUncommittedBytes = 16 << 20
	// maxMessageBytes bounds the entries of one message.
	maxMessageBytes = 1 << 20
	// maxSnapshotLogBytes bounds the log file, which is written anew in one piece.
	maxSnapshotLogBytes = 24 << 20
	// retainedEntries stay in memory after a snapshot, for members that lag.
	retainedEntries = 256
	// maxBatch is the number of proposals that share one sync.
	maxBatch = 256
	// maxInbox is the number of calls that wait to be handled.
	maxInbox = 64
	// maxPeers bounds the instances that a node keeps addresses of.
	maxPeers = 32
)

// Peer is a control instance of a new fleet.
type Peer struct {
	ID      fleetconfig.InstanceID
	Address string
}

// Config is what a node is told once.
type Config struct {
	// ID is this instance, and Address where others reach it.
	ID      fleetconfig.InstanceID
	Address string
	// Folder is the folder of the log. No one else may write there.
	Folder string
	// InitialPeers lists the control instances of a new fleet, this one included. The
	// log is formed once, when all of them are up and blank. Afterwards the list
	// only helps to find the others. An instance that joins later has none.
	InitialPeers []Peer
	// Group, if set, lets the control instances form their group by themselves and
	// keep it whole. Initial is empty then.
	Group *Group
	// Caller sends calls to other instances.
	Caller transport.Caller
	// StateMachine is the application.
	StateMachine StateMachine
	// OnLeaderHeartbeat, if set, is called at each heartbeat of a leader that is certain
	// of its role. It must not block.
	OnLeaderHeartbeat func(LeaderHeartbeat)
	// Logger takes the log of changes of role. The default is slog.Default.
	Logger *slog.Logger
	// ElectionTimeout is how long a leader that is not heard keeps its role.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often the leader is heard.
	HeartbeatInterval time.Duration
	// SnapshotLogBytes is the size of the log file at which a snapshot replaces it.
	SnapshotLogBytes int64
	// Files is the file system. The default is that of the operating system.
	Files storage.FS
}

// Group describes a group of control instances that forms and repairs itself.
type Group struct {
	// Voters is how many instances the group starts with and goes back to after
	// others have come and gone.
	Voters int
	// Bootstrap lets this instance form a new log, once Voters instances with blank
	// disks are up. One instance of a fleet may have it, and only while the whole
	// fleet starts for the first time.
	Bootstrap bool
	// AlivePeers returns the control instances that membership believes alive, this one
	// included.
	AlivePeers func() []Peer
}

// LeaderHeartbeat says that this instance leads the log.
type LeaderHeartbeat struct {
	// Term is the term that it leads.
	Term uint64
	// CommittedIndex is the newest committed index.
	CommittedIndex uint64
	// LeaseEnd is until when it is certain that there is no other leader.
	LeaseEnd time.Time
}

// New returns a node and registers its calls. It opens its files when it is
// served.
func New(config Config, mux *http.ServeMux) (*Node, error) {
	if config.ID == "" || config.Address == "" || config.Folder == "" {
		return nil, errors.New("a control instance needs an id, an address and a data folder; set them")
	}
	if config.Group != nil && len(config.InitialPeers) > 0 {
		return nil, errors.New("a control group either forms itself or has fixed members; leave one of both out")
	}
	if config.Caller == nil || config.StateMachine == nil {
		return nil, errors.New("a control instance needs a caller and a state machine")
	}
	setDefaults(&config)
	if config.SnapshotLogBytes > maxSnapshotLogBytes {
		return nil, errors.Newf("the log may grow to %d bytes at most before a snapshot; lower its size", maxSnapshotLogBytes)
	}
	if config.HeartbeatInterval*2 > config.ElectionTimeout {
		return nil, errors.New("the heartbeat interval must be at most half of the election timeout; lower it")
	}
	n := &Node{
		config:    config,
		proposals: make(chan *proposal, maxBatch),
		inbox:     make(chan *envelope, maxInbox),
		requests:  make(chan *request),
	}
	n.view.Store(&view{})
	transport.HandleCall(mux, messagePath, n.handleMessages)
	transport.HandleCall(mux, formPath, n.handleForm)
	return n, nil
}

func setDefaults(config *Config) {
	if config.ElectionTimeout == 0 {
		config.ElectionTimeout = defaultElectionTimeout
	}
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeat
	}
	if config.SnapshotLogBytes == 0 {
		config.SnapshotLogBytes = defaultSnapshotLogBytes
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Files == nil {
		config.Files = storage.OSFS{}
	}
}
