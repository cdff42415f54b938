// Package node puts the parts of a real node together, splits its limits among them, and ends it well.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/admin"
	"github.com/thistlerudder/thistlerudder/internal/net/discovery"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/frontend"
	"github.com/thistlerudder/thistlerudder/internal/net/handover"
	"github.com/thistlerudder/thistlerudder/internal/net/upstream"
)

const seatEvery = 20 * time.Millisecond // until a newcomer's part of the limits is given up

// The process whose place we take may still be leaving under our addresses: that takes it the longest time limit and 0.6 s.
const (
	freeSlack = 2 * time.Second // beyond that limit: then somebody else has the address
	freeEvery = 10 * time.Millisecond
)

// listen opens an address, and waits for one that is in use as long as our predecessor may need it.
func listen(ctx context.Context, address string, longest time.Duration, log *zap.Logger) (net.Listener, error) {
	for began, told := time.Now(), false; ; {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > longest+freeSlack {
			return l, err
		}
		if !told {
			told = true
			log.Warn("an address is in use, waiting for it", zap.String("address", address), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(freeEvery):
		}
	}
}

// clientsSocket takes the one that was passed on, or opens one.
func clientsSocket(ctx context.Context, s *config.Node, log *zap.Logger) (net.Listener, error) {
	if s.PassedSocket != 0 {
		return handover.Socket(s.PassedSocket)
	}
	l, err := listen(ctx, s.Listen, s.MaxDeadline, log)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Run serves until the context ends, then answers what it has taken, and returns. At each signal it reads its
// configuration anew.
func Run(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger) error {
	err := serve(ctx, s, signals, log)
	if errors.Is(err, context.Canceled) { // told to end before it served
		return nil
	}
	return err
}

func serve(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger) error {
	log = log.With(zap.String("node", s.Name))
	o := opened{process: thisProcess()}
	if o.most > 0 && o.most < s.Descriptors {
		log.Warn("the system's limit on descriptors is lower than limits.sockets, and holds",
			zap.Int("limit", o.most), zap.Int("limits.sockets", s.Descriptors))
	}
	var err error
	if s.Admin != "" { // first: once the clients' socket is open nobody in its queue may wait for another's end
		if o.operators, err = listen(ctx, s.Admin, s.MaxDeadline, log); err != nil {
			return fmt.Errorf("admin_addr: expected an address to listen on: %w", err)
		}
		defer o.operators.Close()
	}
	if o.clients, err = clientsSocket(ctx, s, log); err != nil {
		return err
	}
	return operate(ctx, s, signals, log, o, func(own cluster.LocalNode) cluster.LocalNode { return own })
}

// opened is what a process was started with, and the sockets that it listens on. Without the clients', which only the rig's build
// asks for, its node is hollow: no client reaches it, and the process keeps its own limits.
type opened struct {
	process
	clients, operators net.Listener
}

// operate serves on what was opened. own gives what the fleet's tasks need of the node.
func operate(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger, o opened,
	own func(cluster.LocalNode) cluster.LocalNode,
) error {
	folder, name := os.Getenv("TMPDIR"), fileName(s.Listen)
	seat, err := handover.Join(folder, name)
	if err != nil {
		log.Warn("other processes of this node can't be seen", zap.Error(err))
	}
	defer seat.Leave()
	others := seat.Others()
	l := o.split(s, 1+others)
	if o.clients != nil {
		l.apply()
	}
	x := dispatch.New(s.Settings, log.Named("exchange"))
	carrier := upstream.New(
		upstream.Limits{Descriptors: l.servers, MaxAttempts: l.servers + l.clients, ConnectTimeout: s.ConnectTimeout,
			IdleTimeout: s.IdleTimeout, MaxBuffered: bodyMost, MaxStreamed: longMost},
		log.Named("servers"),
	)
	defer carrier.Close()
	list := discovery.New(x, s.Discovery, s.PollInterval, log.Named("boxlist"))
	front := frontend.New(
		x,
		frontend.Limits{
			Descriptors:   l.clients,
			OverflowConns: l.beyond,
			MaxDeadline:   s.MaxDeadline,
			MaxRetryAfter: s.MaxRetryAfter,
			MaxBuffered:   bodyMost,
			MaxStreamed:   longMost,
		},
		log.Named("clients"),
	)

	x.Start(s.Seed, carrier, list)
	book := bansOf(folder, name, x, log.Named("bans")) // before any list
	if err := list.LoadCached(s.CachedEndpoints); err != nil {
		log.Warn("the list in the configuration can't be read, not up until the first one comes",
			zap.Error(err))
	}
	following, stop := context.WithCancel(context.Background())
	defer stop()
	go list.Run(following)
	go renew(following, signals, s, list, log.Named("renew"))
	go report(following, x, front, log.Named("report"))
	var fleet *cluster.Member
	leave := func() {}
	if s.Fleet != nil {
		fleet = cluster.Start(s.Fleet, own(fleetSide{x}), s.MaxDeadline, l.fellows, log.Named("fleet"))
		leave = sync.OnceFunc(fleet.Close)
	}
	defer leave() // once, however often it is called; the later call waits for the first
	if o.operators != nil {
		desk := admin.New(operated{x, front, book, fleet}, x.Metrics(), l.operators, log.Named("admin"))
		defer desk.Close()
		go desk.Serve(o.operators)
		go census(following, x)
		go book.Follow(following, bansEvery)
	}
	go seat.Follow(following, others, seatEvery, func(others int) {
		l := o.split(s, 1+others)
		log.Info("another number of processes serve as this node", zap.Int("others", others),
			zap.Int("client descriptors", l.clients), zap.Int("server descriptors", l.servers))
		if o.clients == nil {
			return
		}
		l.apply()
		front.Resize(l.clients, l.beyond)
		carrier.Resize(l.servers)
		debug.FreeOSMemory() // the others' part of the memory
	})
	if o.clients == nil {
		<-ctx.Done()
		return nil
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve(o.clients) }()
	log.Info("serving", zap.String("listen", s.Listen), zap.Int("client descriptors", l.clients),
		zap.Int("server descriptors", l.servers), zap.Int("memory MB", s.MemoryMB),
		zap.Int("other processes", others))
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	go leave() // side by side: the next process waits for the fleet's address, and clients for neither
	log.Info("leaving: connections still come for a while, each ends with its next answer")
	if err := front.Shutdown(s.PassedSocket != 0); err != nil {
		log.Warn("left with lookups unanswered", zap.Error(err), zap.Int("out", x.InFlight()))
	}
	log.Info("left")
	return nil
}
