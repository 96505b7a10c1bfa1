package replica

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

const (
	// largeCommands of commandBytes each exceed the bounds together.
	largeCommands = 40
	commandBytes  = 1 << 20
	// maxEntryBytes and maxFolderBytes are an eighth of the memory and of the disk of a control instance.
	maxEntryBytes  = 280 << 20 / 8
	maxFolderBytes = 256 << 20 / 8
)

// newTableEdit returns an edit that replaces routing table number-1 by one with a random document.
func newTableEdit(number, size int) *figpier.Edit {
	document := make([]byte, size)
	random := rand.New(rand.NewPCG(uint64(number), 1))
	for i := range document {
		document[i] = byte(' ' + random.IntN(64))
	}
	return figpier.NewEdit(figpier.EditConfig{
		Operation: figpier.OperationID(fmt.Sprint("table-", number)),
		Kind:      figpier.EditReplaceTable,
		Base:      figpier.Revision(number - 1),
		Table:     figpier.NewTable(figpier.TableConfig{Number: uint64(number), Document: document}),
	})
}

// folderBytes returns the size of the files of a folder.
func folderBytes(t *testing.T, folder string) (total int64) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := os.Stat(path)
		if os.IsNotExist(err) {
			return nil
		}
		total += info.Size()
		return err
	})
	assert.NilError(t, err)
	return total
}

// TestManyLargeCommandsOutgrowMemoryAndDisk guards against a log that is bounded by the number of its entries alone: hundreds of changes of
// a large configuration took control instances over their memory, and again at each start, and their folders grew towards the size of
// the disk.
func TestManyLargeCommandsOutgrowMemoryAndDisk(t *testing.T) {
	c := newCluster(t)
	c.waitForLeader()
	for _, i := range c.instances {
		c.waitUntilVoter(i)
	}
	check := func() {
		for _, i := range c.instances {
			held := i.log.published.Load().entryBytes
			assert.Assert(t, held <= maxEntryBytes, "%s holds entries of %d MB", i.name, held>>20)
			stored := folderBytes(t, i.folder)
			assert.Assert(t, stored <= maxFolderBytes, "the folder of %s has %d MB", i.name, stored>>20)
		}
	}
	// The state machine refuses the command, but the log has it.
	command := bytes.Repeat([]byte("x"), commandBytes)
	for n := range largeCommands {
		c.eventually(fmt.Sprintf("command %d is committed", n), func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := c.instances[n%3].log.Propose(ctx, command)
			return err == nil
		})
		check()
	}
	last := c.submitUntilAccepted("last", c.instances[0])
	for _, i := range c.instances {
		i.stop()
	}
	for _, i := range c.instances {
		i.start()
	}
	c.waitForRevision(last)
	check()
}
