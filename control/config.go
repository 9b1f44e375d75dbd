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

// Defaults of Config.
const (
	defaultElectionTimeout  = 1500 * time.Millisecond
	defaultHeartbeat        = 250 * time.Millisecond
	defaultSnapshotLogBytes = 8 << 20
)

// Limits of a node.
const (
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes = 1 << 20
	// maxUncommittedBytes bounds the uncommitted entries on the leader.
	maxUncommittedBytes = 16 << 20
	// maxMessageBytes bounds the size of the entries in one message.
	maxMessageBytes = 1 << 20
	// maxSnapshotLogBytes bounds Config.SnapshotLogBytes: whenever the log is opened,
	// all of it is rewritten as one record, and the size of a record is limited.
	maxSnapshotLogBytes = 24 << 20
	// retainedEntries is the number of entries before a snapshot that stay in memory,
	// so that members that lag by a few entries don't need the snapshot.
	retainedEntries = 256
	// maxBatch is the maximum number of proposals that are stored with one sync, and the
	// maximum number of received calls that are handled before the next sync.
	maxBatch = 256
	// inboxLength is the number of received calls that may wait for the loop.
	inboxLength = 64
	// maxPeers bounds the number of instances whose addresses a node learns from calls,
	// and the number of instances to which it sends messages.
	maxPeers = 32
)

// Peer is a control instance and its address.
type Peer struct {
	ID      fleetconfig.InstanceID
	Address string
}

// Config configures a Node.
type Config struct {
	// ID identifies this instance; Address is where other instances reach it.
	ID      fleetconfig.InstanceID
	Address string
	// Folder holds the files of the log. Nothing else may write to it.
	Folder string
	// InitialPeers lists the control instances of a new fleet, including this one. The
	// log is bootstrapped once, when all of them are up with blank disks. Afterwards
	// the list only provides addresses. An instance that joins later has an empty list.
	InitialPeers []Peer
	// Group, if set, makes the control instances bootstrap the log and repair its
	// membership automatically. InitialPeers must then be empty.
	Group *Group
	// Caller sends calls to other instances.
	Caller transport.Caller
	// StateMachine applies the committed commands.
	StateMachine StateMachine
	// OnLeaderHeartbeat, if set, is called once per heartbeat interval while this
	// instance leads and holds the leader lease. It runs on the goroutine that owns the
	// log and must not block.
	OnLeaderHeartbeat func(LeaderHeartbeat)
	// Logger receives role changes, membership changes and errors. The default is
	// slog.Default.
	Logger *slog.Logger
	// ElectionTimeout is the time without contact to a majority after which a leader
	// steps down. A follower campaigns after one to two election timeouts without
	// contact to a leader.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often the leader sends heartbeats.
	HeartbeatInterval time.Duration
	// SnapshotLogBytes is the size of the log file at which the log is compacted to a
	// snapshot.
	SnapshotLogBytes int64
	// Files is the file system of Folder. The default is storage.OSFS.
	Files storage.FS
}

// Group configures automatic bootstrap and membership repair.
type Group struct {
	// Voters is the number of voters that the log starts with and that the repair
	// restores after instances have left or joined.
	Voters int
	// Bootstrap allows this instance to start a new log, once Voters instances with
	// blank disks are up. It may be set on one instance of a fleet only, and only when
	// the whole fleet starts for the first time.
	Bootstrap bool
	// AlivePeers returns the control instances that package membership considers alive,
	// including this one. It is called from several goroutines.
	AlivePeers func() []Peer
}

// LeaderHeartbeat reports that this instance leads the log.
type LeaderHeartbeat struct {
	// Term is the term in which this instance leads.
	Term uint64
	// CommittedIndex is the index of the latest committed entry.
	CommittedIndex uint64
	// LeaseEnd is the end of the leader lease: no other instance leads before it.
	LeaseEnd time.Time
}

// New returns a node and registers its call handlers with mux. [Node.Serve] opens the
// files.
func New(config Config, mux *http.ServeMux) (*Node, error) {
	if config.ID == "" || config.Address == "" || config.Folder == "" {
		return nil, errors.New("the control configuration lacks ID, Address or Folder; set all three")
	}
	if config.Group != nil && len(config.InitialPeers) > 0 {
		return nil, errors.New("the control configuration has both Group and InitialPeers; set only one of them")
	}
	if config.Caller == nil || config.StateMachine == nil {
		return nil, errors.New("the control configuration lacks Caller or StateMachine; set both")
	}
	setDefaults(&config)
	if config.SnapshotLogBytes > maxSnapshotLogBytes {
		return nil, errors.Newf("SnapshotLogBytes is above its maximum of %d; lower it", maxSnapshotLogBytes)
	}
	if config.HeartbeatInterval*2 > config.ElectionTimeout {
		return nil, errors.New("HeartbeatInterval is more than half of ElectionTimeout; lower it")
	}
	n := &Node{
		config:    config,
		proposals: make(chan *proposal, maxBatch),
		inbox:     make(chan *messageBatch, inboxLength),
		loopCalls: make(chan *loopCall),
	}
	n.published.Store(&publishedState{})
	transport.HandleCall(mux, messagePath, n.handleMessages)
	transport.HandleCall(mux, bootstrapPath, n.handleBootstrap)
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
