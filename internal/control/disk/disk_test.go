package disk

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/policy/raft"
)

func openDisk(t *testing.T, folder string) *Disk {
	t.Helper()
	d, err := Open(Config{Folder: folder, Instance: "c1", Incarnation: "a"})
	assert.NilError(t, err)
	return d
}

// proposeAndWrite runs a cluster of one member on a disk, commits proposals and returns the member.
func proposeAndWrite(t *testing.T, d *Disk, proposals int) *raft.Machine {
	t.Helper()
	m := raft.New(raft.Config{
		Self: d.Member(), Heartbeat: 1, ElectionTimeout: 10, BatchBytes: 1 << 10, PartBytes: 1 << 10,
		Random: rand.New(rand.NewPCG(1, 2)), State: d.State(), Snapshot: d.snapshot, Entries: d.entries,
	})
	if m.Cluster() == "" {
		self := raft.NewMember(raft.MemberConfig{ID: d.Member(), Voter: true})
		m.Bootstrap(m.NextTick(), "log", raft.NewMembers(self), []byte("genesis"))
	}
	m.Tick(m.NextTick())
	writeEffects(t, d, m)
	for i := range proposals {
		assert.NilError(t, m.Propose(m.NextTick(), "p"+strconv.Itoa(i), []byte("command")))
		writeEffects(t, d, m)
	}
	return m
}

func writeEffects(t *testing.T, d *Disk, m *raft.Machine) {
	t.Helper()
	for e := m.TakeEffects(); e.HasWrites(); e = m.TakeEffects() {
		assert.NilError(t, d.Write([]*raft.Effects{e}))
		m.WritesDurable(m.NextTick(), e)
	}
}

func lastIndex(d *Disk) uint64 {
	if n := len(d.entries); n > 0 {
		return d.entries[n-1].Index()
	}
	return d.snapshot.Index()
}

func segmentPath(t *testing.T, folder string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, segmentPrefix+"*"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 1)
	return paths[0]
}

func TestDiskKeepsHundredsOfEntriesOverRestartsAndSnapshots(t *testing.T) {
	folder := t.TempDir()
	var term, last uint64
	for round := range 5 {
		d := openDisk(t, folder)
		assert.Equal(t, d.Fresh(), round == 0)
		assert.Equal(t, d.State().Term(), term)
		if round > 0 {
			assert.Equal(t, lastIndex(d), last)
		}
		m := proposeAndWrite(t, d, 100)
		if round%2 == 1 {
			m.Compact([]byte("state"))
			writeEffects(t, d, m)
			assert.NilError(t, d.Close())
			d = openDisk(t, folder)
			assert.Equal(t, string(d.snapshot.Data()), "state")
		}
		term, last = m.Term(), m.CommitIndex()
		assert.NilError(t, d.Close())
	}
	assert.Equal(t, last, uint64(1+5*101))
}

func TestOpenDropsRecordLeftIncompleteByCrash(t *testing.T) {
	folder := t.TempDir()
	d := openDisk(t, folder)
	m := proposeAndWrite(t, d, 3)
	whole, err := os.ReadFile(segmentPath(t, folder))
	assert.NilError(t, err)
	assert.NilError(t, m.Propose(m.NextTick(), "last", []byte("command")))
	writeEffects(t, d, m)
	assert.NilError(t, d.Close())
	path := segmentPath(t, folder)
	all, err := os.ReadFile(path)
	assert.NilError(t, err)

	for end := len(whole); end < len(all); end++ {
		assert.NilError(t, os.WriteFile(path, all[:end], fileMode))
		d := openDisk(t, folder)
		assert.Equal(t, lastIndex(d), m.CommitIndex()-1, "cut at %d", end)
		assert.Equal(t, d.DroppedBytes(), int64(end-len(whole)))
		next := proposeAndWrite(t, d, 1)
		assert.NilError(t, d.Close())
		d = openDisk(t, folder)
		assert.Equal(t, lastIndex(d), next.CommitIndex())
		assert.NilError(t, d.Close())
	}
	unwritten := append(append([]byte{}, whole...), make([]byte, len(all)-len(whole))...)
	assert.NilError(t, os.WriteFile(path, unwritten, fileMode))
	d = openDisk(t, folder)
	assert.Equal(t, lastIndex(d), m.CommitIndex()-1)
	assert.NilError(t, d.Close())
}

func TestDiskRefusesEachDamagedByte(t *testing.T) {
	folder := t.TempDir()
	d := openDisk(t, folder)
	m := proposeAndWrite(t, d, 3)
	m.Compact([]byte("state"))
	writeEffects(t, d, m)
	assert.NilError(t, m.Propose(m.NextTick(), "last", []byte("command")))
	writeEffects(t, d, m)
	assert.NilError(t, d.Close())

	paths, err := filepath.Glob(filepath.Join(folder, "*-*"))
	assert.NilError(t, err)
	for _, path := range append(paths, filepath.Join(folder, identityFile)) {
		whole, err := os.ReadFile(path)
		assert.NilError(t, err)
		for at := range whole {
			damaged := append([]byte{}, whole...)
			damaged[at] ^= 0x41
			assert.NilError(t, os.WriteFile(path, damaged, fileMode))
			_, err := Open(Config{Folder: folder, Instance: "c1", Incarnation: "b"})
			refused := &DamagedError{}
			assert.Assert(t, errors.As(err, &refused), "%s byte %d: %v", path, at, err)
			assert.Equal(t, refused.File(), path)
			assert.Assert(t, refused.Offset() <= int64(at))
		}
		assert.NilError(t, os.WriteFile(path, whole, fileMode))
	}
	assert.NilError(t, openDisk(t, folder).Close())
}

func TestDiskRefusesAFolderWithAMissingFile(t *testing.T) {
	for _, pattern := range []string{identityFile, segmentPrefix + "*", snapshotPrefix + "*"} {
		folder := t.TempDir()
		d := openDisk(t, folder)
		proposeAndWrite(t, d, 3)
		assert.NilError(t, d.Close())
		paths, err := filepath.Glob(filepath.Join(folder, pattern))
		assert.NilError(t, err)
		for _, p := range paths {
			assert.NilError(t, os.Remove(p))
		}
		_, err = Open(Config{Folder: folder, Instance: "c1", Incarnation: "b"})
		refused := &DamagedError{}
		assert.Assert(t, errors.As(err, &refused), "%s: %v", pattern, err)
	}
}

func TestDiskRefusesForeignAndLockedFolders(t *testing.T) {
	folder := t.TempDir()
	d := openDisk(t, folder)
	_, err := Open(Config{Folder: folder, Instance: "c1", Incarnation: "b"})
	busy := &LockedFolderError{}
	assert.Assert(t, errors.As(err, &busy))
	assert.NilError(t, d.Close())

	_, err = Open(Config{Folder: folder, Instance: "c2", Incarnation: "b"})
	foreign := &ForeignFolderError{}
	assert.Assert(t, errors.As(err, &foreign))
	assert.Equal(t, string(foreign.Owner()), "c1")
}

func TestLostFolderMakesANewMember(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	d := openDisk(t, folder)
	was := d.Member()
	assert.NilError(t, d.Close())
	assert.NilError(t, os.RemoveAll(folder))
	d, err := Open(Config{Folder: folder, Instance: "c1", Incarnation: "b"})
	assert.NilError(t, err)
	assert.Assert(t, d.Fresh())
	assert.Assert(t, d.Member() != was)
	assert.NilError(t, d.Close())
}

// TestFoundersAreKnownByTheirDisks guards against a seed that is killed before the log is founded, and no longer counts as a founder.
func TestFoundersAreKnownByTheirDisks(t *testing.T) {
	folder := t.TempDir()
	open := func(seeds int) int {
		d, err := Open(Config{Folder: folder, Instance: "c1", Incarnation: "a", FoundingSeeds: seeds})
		assert.NilError(t, err)
		defer d.Close()
		return d.FoundingSeeds()
	}
	assert.Equal(t, open(3), 3)
	assert.Equal(t, open(0), 3)
	assert.Equal(t, open(5), 3)
	assert.NilError(t, os.RemoveAll(folder))
	assert.Equal(t, open(0), 0)
	assert.Equal(t, open(3), 0)
}
