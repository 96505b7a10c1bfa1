package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/figpier/figpier"
)

// tableHeader is the Markdown header of the rows that tableRow returns.
const tableHeader = `| case | policy | offered/s | goodput/s | of peak | recovery s | worst customer | important lost | wrongful | wasted work | attempts/request | most runs of a tree |
|---|---|---|---|---|---|---|---|---|---|---|---|`

// Thresholds of the report.
const (
	// recoveryBucket is the time resolution of recoveryTime.
	recoveryBucket = 200 * time.Millisecond
	// minServedShare is the share of a bucket's requests that must be served for it to count as recovered.
	minServedShare = 0.9
	// usableCapacityShare is the share of the capacity that wrongfulLossShare expects the policy to use.
	usableCapacityShare = 0.9
)

// result is the record of one case under one policy.
type result struct {
	surgeCase surgeCase
	policy    string
	record    *record
}

// measure runs one case under one policy, with a fleet of its own.
func measure(c surgeCase, p policy) (*result, error) {
	f, err := newFleet(p)
	if err != nil {
		return nil, err
	}
	defer f.close()
	for i, s := range chainServices {
		next, n := "", smallSlots
		if i+1 < len(chainServices) {
			next, n = chainServices[i+1], largeSlots
		}
		if err := f.startNodes(s, next, n); err != nil {
			return nil, err
		}
	}
	var entries []string
	for _, n := range f.nodes["a"] {
		entries = append(entries, n.callerAddress)
	}
	if err := f.awaitServing(entries); err != nil {
		return nil, err
	}
	r := newRecord()
	for _, all := range f.nodes {
		for _, n := range all {
			n.backend.record.Store(r)
		}
	}
	if c.trigger != nil {
		c.trigger(f, r.started.Add(baselineDuration), r.started.Add(baselineDuration+c.duration))
	}
	newGenerator(r, entries).run(f.ctx, c.phases())
	return &result{surgeCase: c, policy: p.name, record: r}, nil
}

// awaitServing waits until each entry node has served five requests.
func (f *fleet) awaitServing(entries []string) error {
	ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
	defer cancel()
	for _, e := range entries {
		for served := 0; served < 5; {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e+ordinaryPath, nil)
			if err != nil {
				return err
			}
			r.Header.Set(figpier.HeaderKey, customers[0])
			response, err := http.DefaultClient.Do(r)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err != nil {
				pause(ctx, 50*time.Millisecond)
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				served++
				continue
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// eachSurgeRequest calls f for each request sent during the surge, apart from its first second.
func (r *result) eachSurgeRequest(f func(*request)) {
	for _, q := range r.record.requests {
		if q.sentAfter >= baselineDuration+time.Second && q.sentAfter < baselineDuration+r.surgeCase.duration {
			f(q)
		}
	}
}

// surgeSeconds returns the length in seconds of the part of the surge that eachSurgeRequest covers.
func (r *result) surgeSeconds() float64 { return (r.surgeCase.duration - time.Second).Seconds() }

// goodput returns the requests served per second during the surge.
func (r *result) goodput() float64 {
	served := 0
	r.eachSurgeRequest(func(q *request) {
		if q.served {
			served++
		}
	})
	return float64(served) / r.surgeSeconds()
}

// recoveryTime returns the time from the end of the surge to the end of the last bucket in which less than minServedShare
// of the requests were served.
func (r *result) recoveryTime() time.Duration {
	type count struct{ all, served int }
	buckets := map[int]*count{}
	end := baselineDuration + r.surgeCase.duration
	for _, q := range r.record.requests {
		if q.sentAfter < end {
			continue
		}
		k := int((q.sentAfter - end) / recoveryBucket)
		if buckets[k] == nil {
			buckets[k] = &count{}
		}
		buckets[k].all++
		if q.served {
			buckets[k].served++
		}
	}
	last := time.Duration(0)
	for index, b := range buckets {
		if float64(b.served) < minServedShare*float64(b.all) {
			last = max(last, time.Duration(index+1)*recoveryBucket)
		}
	}
	return last
}

// worstFairShare divides the ordinary requests served of each customer by the customer's max-min fair share of all that
// were served, and returns the lowest quotient, at most 1. It returns 0 if none were served.
func (r *result) worstFairShare() float64 {
	requested, served := make([]float64, len(customers)), make([]float64, len(customers))
	total := 0.0
	r.eachSurgeRequest(func(q *request) {
		if q.highPriority {
			return
		}
		requested[q.customer]++
		if q.served {
			served[q.customer]++
			total++
		}
	})
	if total == 0 {
		return 0
	}
	worst := 1.0
	for i, fairShare := range maxMinShares(requested, total) {
		if fairShare > 0 {
			worst = min(worst, served[i]/fairShare)
		}
	}
	return worst
}

// maxMinShares splits a total into max-min fair shares: no share exceeds what was requested, and no share can grow without
// taking from one that is no larger.
func maxMinShares(requested []float64, total float64) []float64 {
	byRequested := make([]int, len(requested))
	for i := range byRequested {
		byRequested[i] = i
	}
	sort.Slice(byRequested, func(i, k int) bool { return requested[byRequested[i]] < requested[byRequested[k]] })
	shares := make([]float64, len(requested))
	for n, i := range byRequested {
		shares[i] = min(requested[i], total/float64(len(byRequested)-n))
		total -= shares[i]
	}
	return shares
}

// lostShare returns the share of the matching requests that were not served, or 0 if none match.
func (r *result) lostShare(matches func(*request) bool) float64 {
	all, lost := 0, 0
	r.eachSurgeRequest(func(q *request) {
		if !matches(q) {
			return
		}
		all++
		if !q.served {
			lost++
		}
	})
	if all == 0 {
		return 0
	}
	return float64(lost) / float64(all)
}

// wrongfulLossShare returns the share of requests lost by customers that requested no more than their max-min fair share
// of the usable capacity. It returns "-" for cases with a trigger, in which the backend servers don't have their usual
// capacity or misstate it.
func (r *result) wrongfulLossShare() string {
	if r.surgeCase.trigger != nil {
		return "-"
	}
	requested := make([]float64, len(customers))
	r.eachSurgeRequest(func(q *request) { requested[q.customer]++ })
	fairShares := maxMinShares(requested, usableCapacityShare*capacity*r.surgeSeconds())
	return percent(r.lostShare(func(q *request) bool { return requested[q.customer] <= fairShares[q.customer] }))
}

// workSummary returns the share of all executions that belonged to failed attempts, and the most executions of one attempt.
func (r *result) workSummary() (wasted float64, maxRuns int) {
	all, lost := 0, 0
	for i := range r.record.attempts {
		a := &r.record.attempts[i]
		n := int(a.runs.Load())
		all += n
		maxRuns = max(maxRuns, n)
		if !a.served.Load() {
			lost += n
		}
	}
	if all == 0 {
		return 0, maxRuns
	}
	return float64(lost) / float64(all), maxRuns
}

// attemptsPerRequest returns the mean number of attempts of the requests of the surge.
func (r *result) attemptsPerRequest() float64 {
	all, made := 0, 0
	r.eachSurgeRequest(func(q *request) {
		all++
		made += q.attempts
	})
	return float64(made) / float64(max(1, all))
}

// tableRow returns the row of the table. Peak is the policy's highest goodput in the cases so far.
func (r *result) tableRow(peak float64) string {
	offered := 0
	r.eachSurgeRequest(func(*request) { offered++ })
	wasted, maxRuns := r.workSummary()
	return fmt.Sprintf("| %s | %s | %.0f | %.0f | %.2f | %.1f | %.2f | %s | %s | %s | %.2f | %d |",
		r.surgeCase.name, r.policy, float64(offered)/r.surgeSeconds(), r.goodput(), r.goodput()/peak, r.recoveryTime().Seconds(), r.worstFairShare(),
		percent(r.lostShare(func(q *request) bool { return q.highPriority })), r.wrongfulLossShare(), percent(wasted), r.attemptsPerRequest(), maxRuns)
}

func percent(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }
