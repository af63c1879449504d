package main

import (
	"context"
	"fmt"
	"time"
)

const (
	scaleDuration = 15 * time.Second
)

// measureScale measures the idle cost of fleets of several sizes and of
// configurations with several numbers of services.
func measureScale(ctx context.Context, out *output) error {
	for _, nodes := range [][2]int{{2, 6}, {4, 6}, {4, 12}, {4, 25}, {8, 12}} {
		if err := measureNodeCount(ctx, out, nodes[0], nodes[1]); err != nil {
			return err
		}
	}
	for _, services := range []int{10, 60, 120, 480} {
		if err := measureServiceCount(ctx, out, services); err != nil {
			return err
		}
	}
	return nil
}

// measureNodeCount measures an idle fleet of perDomain nodes in each failure
// domain.
func measureNodeCount(ctx context.Context, out *output, domains, perDomain int) error {
	l := layout{fmt.Sprintf("%dx%d", domains, perDomain), evenNodes(domains, perDomain), nil}
	b, err := startBench(ctx, l)
	if err != nil {
		return err
	}
	defer b.Close()
	sleep(ctx, settlePause)
	return b.printIdleCost(ctx, out, field{"nodes", domains * perDomain}, field{"domains", domains})
}

// printIdleCost prints the control traffic, CPU time and memory of the fleet over
// scaleDuration, after the given fields.
func (b *bench) printIdleCost(ctx context.Context, out *output, labels ...field) error {
	cpuBefore, _, err := b.resourceUsage()
	if err != nil {
		return err
	}
	_, elapsed, rates, err := b.measureTraffic(ctx, scaleDuration, func() error { return nil })
	if err != nil {
		return err
	}
	cpu, resident, err := b.resourceUsage()
	if err != nil {
		return err
	}
	nodes := float64(len(b.Nodes))
	out.line(append(labels,
		field{"bytes_per_node_s", rates.bytes / nodes},
		field{"cpu_percent_of_core_per_node", 100 * (cpu - cpuBefore).Seconds() / elapsed.Seconds() / nodes},
		field{"greatest_resident_mb", float64(resident) / (1 << 20)},
		field{"platform_reads_s", rates.reads}, field{"platform_appends_s", rates.appends},
	)...)
	return nil
}

// measureServiceCount measures an idle fleet whose configuration has the given
// number of services beyond those of its targets, published in tickets of up to
// 60 services.
func measureServiceCount(ctx context.Context, out *output, services int) error {
	l := layout{"services", evenNodes(2, 3), nil}
	b, err := startBench(ctx, l)
	if err != nil {
		return err
	}
	defer b.Close()
	start := time.Now()
	last, err := b.publish(ctx, baseTicket(l.nodes))
	if err != nil {
		return err
	}
	for done := 0; done < services; done += 60 {
		ticket := extraServices(min(services, done+60))
		ticket.Services = ticket.Services[done:]
		ticket.Routes = ticket.Routes[3*done:]
		if last, err = b.publish(ctx, ticket); err != nil {
			return err
		}
	}
	if err := b.awaitLastApplied(ctx, []publication{last}); err != nil {
		return err
	}
	return b.printIdleCost(ctx, out, field{"services", services}, field{"publish_and_settle_ms", millis(time.Since(start))})
}

// measureTickets measures CPU time and control traffic at several ticket rates.
func measureTickets(ctx context.Context, out *output) error {
	l := layout{"tickets", evenNodes(2, 6), nil}
	b, err := startBench(ctx, l)
	if err != nil {
		return err
	}
	defer b.Close()
	if _, err := b.publish(ctx, baseTicket(l.nodes)); err != nil {
		return err
	}
	sleep(ctx, settlePause)
	for _, perSecond := range []int{0, 1, 5, 20} {
		if err := b.measureTicketRate(ctx, out, perSecond); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) measureTicketRate(ctx context.Context, out *output, perSecond int) error {
	rateCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; perSecond > 0 && rateCtx.Err() == nil; i++ {
			_, _ = b.publish(rateCtx, routeChange(b.Nodes[0].Service, i))
			sleep(rateCtx, time.Second/time.Duration(perSecond))
		}
	}()
	err := b.printIdleCost(ctx, out, field{"tickets_s", perSecond}, field{"nodes", len(b.Nodes)})
	stop()
	<-done
	return err
}
