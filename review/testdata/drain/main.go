// Command drain shows what happens to an upstream that drains when a heartbeat of another writer, which lacks fields, comes in.
package main

import (
	"fmt"
	"net"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

const (
	// foreignAfter is when the heartbeat of the other writer comes, from the acknowledgement of the drain on.
	foreignAfter = 6200 * time.Millisecond
	// servesFor is how long the upstream serves after that acknowledgement before it deregisters and exits.
	servesFor = 7 * time.Second
)

func main() {
	b := bed.New()
	k := b.StartBooking()
	late := k.DrainAndExit(servesFor, func() {
		if b.Trouble {
			time.AfterFunc(foreignAfter, func() { sendForeign(b, k.Upstream) })
		}
	})
	b.End(late)
}

// sendForeign sends a heartbeat of another writer, which lacks the fields zone, version, warmup_remaining and born.
func sendForeign(b *bed.Bed, u *bed.Upstream) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":72,"state":"ready","sequence":4}`,
		u.Node.Service, net.JoinHostPort(u.Node.IP, bed.PortUpstream))
	b.Note("another writer: %s is answered with %d", body, u.Send(body))
}
