package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"log"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/jsonrpc"
	"github.com/figpier/figpier/internal/link/operator"
	"github.com/figpier/figpier/internal/wire/message"
)

// servicesPerNode is the number of services whose members each stand-in node polls for.
const servicesPerNode = 10

// ticksPerSecond is the number of clock ticks per second, the unit of processor time in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// rig loads one control instance with stand-in nodes and measures what that costs.
type rig struct {
	controlAddress string
	// pid is the process id of the control instance, whose resources are read from /proc.
	pid          int
	nodeCount    int
	serviceCount int
	duration     time.Duration

	// operatorAddress is the address of the operator API; edits are measured only if it is set.
	operatorAddress string
	token           string
	editCount       int

	// pollCount counts the polls answered to all stand-in nodes.
	pollCount atomic.Int64
	// awaitedRevision is the revision that the edit being measured leads to.
	awaitedRevision atomic.Int64
	// arrivals gets the time at which each stand-in node first sees awaitedRevision. It is replaced for each edit.
	arrivals chan time.Time
	// firstPolls is done when each stand-in node has had its first answer.
	firstPolls sync.WaitGroup
}

func main() {
	r := &rig{}
	app := kingpin.New("capacity", "Measure what a control instance spends on its nodes.")
	app.Flag("control", "Message address of the control instance.").Required().StringVar(&r.controlAddress)
	app.Flag("pid", "Process id of the control instance.").Required().IntVar(&r.pid)
	app.Flag("nodes", "Number of stand-in nodes.").Required().IntVar(&r.nodeCount)
	app.Flag("services", "Number of services.").Default("300").IntVar(&r.serviceCount)
	app.Flag("operators", "Address of the operator API; if set, also measure how fast edits reach the nodes.").StringVar(&r.operatorAddress)
	app.Flag("token", "Token for the operator API.").StringVar(&r.token)
	app.Flag("edits", "Number of edits to measure.").Default("20").IntVar(&r.editCount)
	app.Flag("time", "Duration of the measurement.").Default("8s").DurationVar(&r.duration)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := r.run(); err != nil {
		log.Fatal(err)
	}
}

// node is a stand-in node with a connection of its own. Poll is its next request.
type node struct {
	messenger *jsonrpc.Messenger
	poll      message.Poll
}

// run measures the control instance under the polls of all stand-in nodes and prints one line: number of nodes, polls per
// second, processor cores used, processor time per poll and resident memory. It then measures edits if asked to.
func (r *rig) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.firstPolls.Add(r.nodeCount)
	for i := range r.nodeCount {
		go r.runNode(ctx, i)
	}
	r.firstPolls.Wait()
	settle := time.NewTimer(2 * time.Second)
	<-settle.C

	polls, cpu := r.pollCount.Load(), r.processorTime()
	end := time.NewTimer(r.duration)
	<-end.C
	spent := r.processorTime() - cpu
	polled := r.pollCount.Load() - polls
	seconds := r.duration.Seconds()
	fmt.Printf("nodes=%d polls/s=%.0f cores=%.4f us/poll=%.1f rss_mb=%.1f\n", r.nodeCount, float64(polled)/seconds,
		spent.Seconds()/seconds, float64(spent.Microseconds())/math.Max(1, float64(polled)), r.residentMB())
	if r.operatorAddress == "" {
		return nil
	}
	return r.measureEdits(ctx)
}

// measureEdits makes edits one after the other and prints how long after its acceptance each reached the nodes.
func (r *rig) measureEdits(ctx context.Context) error {
	client := operator.New(operator.Config{Addresses: []string{r.operatorAddress}, Token: r.token})
	var delays []time.Duration
	for range r.editCount {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		r.arrivals = make(chan time.Time, r.nodeCount)
		r.awaitedRevision.Store(status.Revision + 1)
		if _, err := client.GiveKey(ctx, operator.EditConfig{Operation: rand.Text()}, "customer"); err != nil {
			return err
		}
		accepted := time.Now()
		for range r.nodeCount {
			at := <-r.arrivals
			delays = append(delays, max(0, at.Sub(accepted)))
		}
	}
	slices.Sort(delays)
	quantile := func(q float64) time.Duration { return delays[int(q*float64(len(delays)-1))].Round(time.Microsecond) }
	fmt.Printf("  edits=%d in force at a node after acceptance: p50=%s p99=%s max=%s\n", r.editCount, quantile(0.5), quantile(0.99), quantile(1))
	return nil
}

// runNode polls the control instance as the i-th node does, until the context ends.
func (r *rig) runNode(ctx context.Context, i int) {
	n := &node{messenger: jsonrpc.New(jsonrpc.Config{AnswerTimeout: 10 * time.Second})}
	_ = n.messenger.Start(ctx, noDirectory{})
	n.poll = message.Poll{WaitMillis: 500, Services: r.followedServices(i), Member: r.member(i)}
	first := true
	for ctx.Err() == nil {
		var a message.PollAnswer
		if err := n.messenger.Request(ctx, r.controlAddress, figpier.MethodPoll, n.poll, &a); err != nil {
			continue
		}
		if awaited := r.awaitedRevision.Load(); int64(n.poll.Revision) < awaited && int64(a.Revision) >= awaited {
			r.arrivals <- time.Now()
		}
		n.poll.Revision, n.poll.Registry, n.poll.MemberVersion = a.Revision, a.Registry, a.MemberVersion
		r.pollCount.Add(1)
		if first {
			first = false
			r.firstPolls.Done()
		}
	}
}

// followedServices returns the sorted services that the i-th node polls for. They vary by node, so that together the nodes
// poll for all services.
func (r *rig) followedServices(i int) []string {
	services := []string{}
	for s := range servicesPerNode {
		services = append(services, serviceName((i+s*29)%r.serviceCount))
	}
	slices.Sort(services)
	return services
}

func serviceName(n int) string { return "service-" + strconv.Itoa(n) }

// member returns the i-th node's entry in the list of members, with an instance name and addresses of its own.
func (r *rig) member(i int) message.Member {
	digest := sha256.Sum256([]byte(strconv.Itoa(i)))
	return message.Member{
		Instance:       fmt.Sprintf("node-%d-%x", i, digest[:4]),
		Service:        serviceName(i % r.serviceCount),
		DataCentre:     "dc-" + strconv.Itoa(i%7),
		Region:         "region-" + strconv.Itoa(i%2),
		PeerAddress:    fmt.Sprintf("10.%d.%d.%d:7004", i>>16, i>>8&255, i&255),
		MessageAddress: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
		Slots:          70,
		Sequence:       1,
	}
}

// noDirectory is the directory that the messenger of a stand-in node starts with; it has no services.
type noDirectory struct{}

// Find implements figpier.Directory.
func (noDirectory) Find(n figpier.ServiceName) (figpier.Service, error) {
	return nil, figpier.NewUnknownServiceError(n)
}

// Control implements figpier.Directory.
func (noDirectory) Control() figpier.ControlThread { return nil }

// Clock implements figpier.Directory.
func (noDirectory) Clock() figpier.Clock { return nil }

// Fail implements figpier.Directory.
func (noDirectory) Fail(error) {}

// processorTime returns the user plus system time that the control instance has used so far.
func (r *rig) processorTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.pid))
	if err != nil {
		log.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentMB returns the resident memory of the control instance in MiB.
func (r *rig) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.pid))
	if err != nil {
		log.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages*os.Getpagesize()) / (1 << 20)
}
