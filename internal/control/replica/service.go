package replica

import (
	"context"
	"crypto/rand"
	"math"
	random "math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/control/disk"
	"github.com/figpier/figpier/internal/policy/raft"
)

// Error is the error class of the replicated log.
var Error = errs.Class("replicated log")

const (
	defaultHeartbeat  = 100 * time.Millisecond
	defaultElection   = 600 * time.Millisecond
	learnerTimeout    = time.Minute
	voterTimeout      = time.Second // several heartbeats, so that one lost heartbeat does not remove a voter
	joinInterval      = 500 * time.Millisecond
	requestTimeout    = 500 * time.Millisecond
	leaderWaitTimeout = 2 * time.Second
	proposalTimeout   = 10 * time.Second
	handOverTimeout   = time.Second
	appendBatchBytes  = 256 << 10
	snapshotPartBytes = 64 << 10
	trailingEntries   = 500     // kept in memory before the end of a snapshot, for followers that are behind
	trailingBytes     = 8 << 20 // the size of these at most
	snapshotEntries   = 1000    // applied between two snapshots
	snapshotBytes     = 4 << 20 // the size of these entries at which a snapshot is due, if the state is not larger
	uncommittedBytes  = 8 << 20
	// incarnationLength is in characters of 5 random bits. It is kept short because every message names two incarnations.
	incarnationLength = 12
)

// PeerConfig is the name and address of one control instance.
type PeerConfig struct {
	// Instance is the control instance's name.
	Instance figpier.InstanceID
	// Address is its IP address and port for messages.
	Address string
}

// Config builds a Log.
type Config struct {
	// Instance is this control instance's name.
	Instance figpier.InstanceID
	// Address is this instance's IP address and port for messages.
	Address string
	// DataFolder is the path of the folder for the durable state.
	DataFolder string
	// Peers are the control instances that found the log, this one included; empty for this one alone.
	Peers []PeerConfig
	// Seeded makes the log find the other control instances through the process's seed source; Peers stays empty.
	Seeded bool
	// Founder says that this instance may take part in founding the log.
	Founder bool
	// TargetVoters is the number of voters above which a silent one is removed, 0 to keep all.
	TargetVoters int
	// Heartbeat is the time between two messages of a leader to a silent follower, 100 ms when 0.
	Heartbeat time.Duration
	// ElectionTimeout is the least time without a leader before an election, 600 ms when 0.
	ElectionTimeout time.Duration
	// Log is the logger, nil for no log lines.
	Log *logrus.Entry
}

// status is a copy of the member's state for other threads.
type status struct {
	leader figpier.InstanceID
	// quorumContact is when a quorum is known to have followed the leader, zero for never.
	quorumContact time.Time
	// commit is the index of the last committed entry.
	commit  uint64
	leading bool
	// entryBytes is the size of the entries in memory.
	entryBytes int
	// voters is the number of voters, 0 while this member has to join.
	voters int
	// peers are the addresses of the other members.
	peers []string
}

// Log implements figpier.ReplicatedLog with one member that keeps its state in a data folder.
type Log struct {
	config       Config
	log          *logrus.Entry
	stateMachine figpier.StateMachine
	control      figpier.ControlThread
	failProcess  func(error)
	clock        figpier.Clock
	messenger    figpier.Messenger
	runContext   context.Context
	cancelRun    context.CancelFunc
	disk         *disk.Disk
	writer       *writer
	sender       *sender
	published    atomic.Pointer[status]
	seeds        figpier.SeedSource
	// wrapWrite returns the function that the writer calls in place of that of the disk, the same one outside tests.
	wrapWrite func(write writeFunc) writeFunc
	// handedOver is closed when a hand-over has ended.
	handedOver chan struct{}

	// Only the control thread uses the fields below.
	machine *raft.Machine
	// pendingWrites is the number of effects that the writer has not yet reported as written.
	pendingWrites int
	failed        bool
	handingOver   bool
	handOverEnded bool
	// wasVoter says that this member has been a voter since the process started.
	wasVoter bool
	// term is the member's term after the last event.
	term       uint64
	cancelTick func()
	// proposals are this instance's unanswered proposals by id.
	proposals map[string]*proposal
}

// New returns a log that has not started.
func New(c Config) *Log {
	if len(c.Peers) == 0 && !c.Seeded {
		c.Peers = []PeerConfig{{Instance: c.Instance, Address: c.Address}}
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElection
	}
	l := &Log{
		config:     c,
		log:        c.Log,
		handedOver: make(chan struct{}),
		cancelTick: func() {},
		proposals:  map[string]*proposal{},
		wrapWrite:  func(write writeFunc) writeFunc { return write },
	}
	if l.log == nil {
		silent := logrus.New()
		silent.SetLevel(logrus.PanicLevel)
		l.log = logrus.NewEntry(silent)
	}
	l.published.Store(&status{})
	return l
}

// Name implements figpier.Service.
func (l *Log) Name() figpier.ServiceName { return figpier.ReplicaService }

// SetStateMachine implements figpier.ReplicatedLog.
func (l *Log) SetStateMachine(m figpier.StateMachine) { l.stateMachine = m }

// Start implements figpier.Service; it fails if the data folder is damaged, locked or belongs to another instance.
func (l *Log) Start(ctx context.Context, d figpier.Directory) error {
	m, err := figpier.FindMessenger(d)
	if err != nil {
		return err
	}
	l.messenger, l.control, l.clock, l.failProcess = m, d.Control(), d.Clock(), d.Fail
	if l.config.Seeded {
		if l.seeds, err = figpier.FindSeedSource(d); err != nil {
			return err
		}
	}
	l.disk, err = disk.Open(disk.Config{
		Folder:        l.config.DataFolder,
		Instance:      l.config.Instance,
		Incarnation:   rand.Text()[:incarnationLength],
		FoundingSeeds: l.foundingSeeds(),
	})
	if err != nil {
		return err
	}
	l.logFolderState()
	l.runContext, l.cancelRun = context.WithCancel(ctx)
	l.machine = l.newMachine()
	l.writer = newWriter(l.wrapWrite(l.disk.Write), l.control)
	l.sender = newSender(l.runContext, l.messenger)
	go l.writer.run(l.runContext)
	l.registerHandlers()
	l.registerGauges(d)
	return l.control.Post(started{})
}

func (l *Log) newMachine() *raft.Machine {
	seed := random.NewPCG(random.Uint64(), random.Uint64())
	return raft.New(raft.Config{
		Self:             l.disk.Member(),
		Address:          l.config.Address,
		Heartbeat:        l.config.Heartbeat,
		ElectionTimeout:  l.config.ElectionTimeout,
		LearnerTimeout:   learnerTimeout,
		TargetVoters:     l.config.TargetVoters,
		VoterTimeout:     voterTimeout,
		BatchBytes:       appendBatchBytes,
		PartBytes:        snapshotPartBytes,
		TrailingEntries:  trailingEntries,
		TrailingBytes:    trailingBytes,
		UncommittedBytes: uncommittedBytes,
		Random:           random.New(seed),
		Now:              l.clock.Now(),
		State:            l.disk.State(),
		Snapshot:         l.disk.TakeSnapshot(),
		Entries:          l.disk.TakeEntries(),
	})
}

func (l *Log) logFolderState() {
	line := l.log.WithField("member", string(l.disk.Member()))
	if l.disk.Fresh() {
		line.Warn("the data folder is new: this instance starts as a new member without data")
	}
	if n := l.disk.DroppedBytes(); n > 0 {
		line.WithField("bytes", n).Warn("dropped an incomplete record at the end of the log")
	}
}

// registerGauges registers the metrics of the log if the process has a counter service.
func (l *Log) registerGauges(d figpier.Directory) {
	c, err := figpier.FindCounters(d)
	if err != nil {
		return
	}
	c.Gauge("figpier_log_quorum_age_seconds", func() float64 {
		return l.QuorumAge(l.clock.Now()).Seconds()
	})
	c.Gauge("figpier_log_commit_index", func() float64 {
		return float64(l.published.Load().commit)
	})
	c.Gauge("figpier_log_entry_bytes", func() float64 {
		return float64(l.published.Load().entryBytes)
	})
	c.Gauge("figpier_log_voters", func() float64 {
		return float64(l.published.Load().voters)
	})
	c.Gauge("figpier_log_leading", func() float64 {
		if l.published.Load().leading {
			return 1
		}
		return 0
	})
}

// Stop implements figpier.Service; a leader first transfers the leadership and waits at most handOverTimeout for that.
func (l *Log) Stop(ctx context.Context) error {
	if l.published.Load().leading && l.control.Post(handOver{}) == nil {
		bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
		defer cancel()
		select {
		case <-l.handedOver:
		case <-bounded.Done():
		}
	}
	l.cancelRun()
	select {
	case <-l.writer.done:
		return l.disk.Close()
	case <-ctx.Done():
		return Error.New("wait for the disk writer to stop: %w", ctx.Err())
	}
}

// QuorumAge implements figpier.ReplicatedLog.
func (l *Log) QuorumAge(now time.Time) time.Duration {
	c := l.published.Load().quorumContact
	if c.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(c)
}

// Leader implements figpier.ReplicatedLog.
func (l *Log) Leader() figpier.InstanceID { return l.published.Load().leader }

// Peers implements figpier.ReplicatedLog.
func (l *Log) Peers() []string { return l.published.Load().peers }
