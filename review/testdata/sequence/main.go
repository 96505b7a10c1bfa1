// Command sequence shows what happens to the drain of an upstream after an entry of another writer with a number too large.
package main

import (
	"fmt"
	"math"
	"net"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

// servesFor is how long the upstream serves after the acknowledgement of its drain before it deregisters and exits.
const servesFor = 5 * time.Second

func main() {
	b := bed.New()
	k := b.StartBooking()
	if b.Trouble {
		sendForeign(b, k.Upstream)
		time.Sleep(bed.Contact)
	}
	b.End(k.DrainAndExit(servesFor, func() {}))
}

// sendForeign sends an entry of another writer for the upstream, in which the sequence is the largest number of 64 bits.
func sendForeign(b *bed.Bed, u *bed.Upstream) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":72,"state":"ready","warmup_remaining":"0ms","sequence":%d,"born":%d}`,
		u.Node.Service, net.JoinHostPort(u.Node.IP, bed.PortUpstream), u.Node.Zone, math.MaxInt64, u.Born.UnixMilli())
	b.Note("another writer: %s is answered with %d", body, u.Send(body))
}
