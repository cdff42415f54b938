// Package node assembles a node from its parts, splits its limits among them, and shuts it down without losing requests.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/admin"
	"github.com/thistlerudder/thistlerudder/internal/net/discovery"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/ejection"
	"github.com/thistlerudder/thistlerudder/internal/net/frontend"
	"github.com/thistlerudder/thistlerudder/internal/net/handover"
	"github.com/thistlerudder/thistlerudder/internal/net/requestids"
	"github.com/thistlerudder/thistlerudder/internal/net/upstream"
)

// membershipInterval is the interval at which a process counts the other processes of its node. It bounds how long the process keeps using the
// share of the limits that now belongs to a process that has just started.
const membershipInterval = 20 * time.Millisecond

// Run runs a node until ctx ends. It then drains: it answers the requests that it has accepted, and returns. Each signal makes it reload its
// configuration.
func Run(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger) error {
	err := openAndOperate(ctx, s, signals, log)
	if errors.Is(err, context.Canceled) { // ctx ended before the node served
		return nil
	}
	return err
}

func openAndOperate(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger) error {
	log = log.With(zap.String("node", s.Name))
	r := resources{process: inspectProcess()}
	if r.maxDescriptors > 0 && r.maxDescriptors < s.Descriptors {
		log.Warn("descriptor limit of the system is lower than limits.sockets and applies",
			zap.Int("limit", r.maxDescriptors), zap.Int("limits.sockets", s.Descriptors))
	}
	var err error
	if s.Admin != "" { // before the clients' socket: connections in its accept queue must not wait for a predecessor to release the admin address
		r.adminListener, err = listen(ctx, s.Admin, s.MaxDeadline, log)
		if err != nil {
			return fmt.Errorf("admin_addr: expected an address to listen on: %w", err)
		}
		defer r.adminListener.Close()
	}
	r.clientListener, err = listenForClients(ctx, s, log)
	if err != nil {
		return err
	}
	return operate(ctx, s, signals, log, r, func(local cluster.LocalNode) cluster.LocalNode { return local })
}

// resources are the state in which the process was started, and its listeners.
type resources struct {
	process
	clientListener net.Listener // nil: a hollow node, which accepts no requests and does not set the process's limits
	adminListener  net.Listener // nil: no admin address is configured
}

// node is a node and its parts.
type node struct {
	resources
	config     *config.Node
	limits     limits // as computed at the start; resize does not update them
	log        *zap.Logger
	dispatcher *dispatch.Dispatcher
	upstream   *upstream.Client
	endpoints  *discovery.Client
	frontend   *frontend.Server
	ejections  *ejection.Registry
	member     *cluster.Member // nil: the node has no cluster
}

// operate runs a node on open listeners until ctx ends. wrapLocal may replace the interface through which the cluster's tasks use the node.
func operate(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger, r resources,
	wrapLocal func(cluster.LocalNode) cluster.LocalNode,
) error {
	folder := os.Getenv("TMPDIR")
	name := fileName(s.ListenAddress)
	membership, err := handover.Join(folder, name)
	if err != nil {
		log.Warn("cannot count the other processes of this node", zap.Error(err))
	}
	defer membership.Leave()
	others := membership.Others()
	l := r.split(s, 1+others)
	if r.clientListener != nil {
		l.apply()
	}

	n := newNode(s, r, l, log)
	defer n.upstream.Close()
	n.shareIDs(folder, name)
	n.startDispatcher(folder, name)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.startBackground(background, signals)
	leaveCluster := n.joinCluster(wrapLocal)
	defer leaveCluster()
	if r.adminListener != nil {
		server := n.serveAdmin(background)
		defer server.Close()
	}
	go membership.Follow(background, others, membershipInterval, n.resize)
	if r.clientListener == nil {
		<-ctx.Done()
		return nil
	}
	return n.serveClients(ctx, membership, leaveCluster)
}

func newNode(s *config.Node, r resources, l limits, log *zap.Logger) *node {
	n := &node{resources: r, config: s, limits: l, log: log}
	n.dispatcher = dispatch.New(s.Settings, log.Named("dispatch"))
	n.upstream = upstream.New(
		upstream.Limits{
			MaxConns:        l.serverConns,
			MaxAttempts:     l.serverConns + l.clientConns,
			ConnectTimeout:  s.ConnectTimeout,
			IdleTimeout:     s.IdleTimeout,
			MaxBufferedBody: maxBufferedBodyBytes,
			MaxStreamedBody: maxStreamedBodyBytes,

			MaxStreamDuration: maxStreamDuration,
		},
		log.Named("upstream"),
	)
	n.endpoints = discovery.New(n.dispatcher, s.Discovery, s.PollInterval, log.Named("discovery"))
	n.frontend = frontend.New(
		n.dispatcher,
		frontend.Limits{
			MaxConns:        l.clientConns,
			OverflowConns:   l.overflowConns,
			MaxDeadline:     s.MaxDeadline,
			MaxRetryAfter:   s.MaxRetryAfter,
			MaxBufferedBody: maxBufferedBodyBytes,
			MaxStreamedBody: maxStreamedBodyBytes,
			Cores:           s.Cores,
			ReadAheadMemory: l.memory.readAhead,
			BodyMemory:      l.memory.bodies,
		},
		log.Named("frontend"),
	)
	return n
}

// startDispatcher starts the dispatcher and loads the state that earlier processes stored: first the ejections, so that they apply to every
// endpoint list, then the cached endpoint list.
func (n *node) startDispatcher(folder, name string) {
	n.dispatcher.Start(n.config.Seed, n.upstream, n.endpoints)
	n.ejections = openEjections(folder, name, n.dispatcher, n.log.Named("ejection"))
	if err := n.endpoints.LoadCached(n.config.CachedEndpoints); err != nil {
		n.log.Warn("cached endpoint list is invalid, not ready before the first list", zap.Error(err))
	}
}

// shareIDs makes the dispatcher remember ids of requests together with the other processes of this node. The table stays mapped until the process ends,
// since attempts may end later than the node.
func (n *node) shareIDs(folder, name string) {
	ids, err := requestids.Open(folder, name)
	if err != nil {
		n.log.Warn("cannot share ids of requests with other processes of this node", zap.Error(err))
	}
	n.dispatcher.ShareIDs(ids)
}

func (n *node) startBackground(ctx context.Context, signals <-chan os.Signal) {
	go n.endpoints.Run(ctx)
	go reloadOnSignal(ctx, signals, n.config, n.endpoints, n.log.Named("reload"))
	go report(ctx, n.dispatcher, n.frontend, n.log.Named("report"))
}

// joinCluster starts the node's cluster membership, if one is configured. The returned function ends it; concurrent calls wait for the first.
func (n *node) joinCluster(wrapLocal func(cluster.LocalNode) cluster.LocalNode) (leave func()) {
	if n.config.Cluster == nil {
		return func() {}
	}
	local := wrapLocal(localNode{n.dispatcher})
	n.member = cluster.Start(n.config.Cluster, local, n.config.MaxDeadline, n.limits.peerConns, n.log.Named("cluster"))
	return sync.OnceFunc(n.member.Close)
}

// serveAdmin starts the admin server, and the background tasks that only its callers need: endpoint metrics and changes to the ejections.
func (n *node) serveAdmin(ctx context.Context) *admin.Server {
	server := admin.New(adminNode{n.dispatcher, n.frontend, n.ejections, n.member}, n.dispatcher.Metrics(), n.limits.adminConns,
		n.log.Named("admin"))
	go server.Serve(n.adminListener)
	go countEndpoints(ctx, n.dispatcher)
	go n.ejections.Follow(ctx, ejectionsInterval)
	return server
}

// resize recomputes and applies this process's share of the limits when other processes of the node start or end.
func (n *node) resize(others int) {
	l := n.split(n.config, 1+others)
	n.log.Info("number of processes of this node changed", zap.Int("others", others),
		zap.Int("client descriptors", l.clientConns), zap.Int("server descriptors", l.serverConns))
	if n.clientListener == nil {
		return
	}
	l.apply()
	n.frontend.Resize(l.clientConns, l.overflowConns)
	n.upstream.Resize(l.serverConns)
	debug.FreeOSMemory() // the new memory limit may be half of the old one
}

// serveClients serves clients until ctx ends, and then shuts down gracefully.
func (n *node) serveClients(ctx context.Context, membership *handover.Membership, leaveCluster func()) error {
	served := make(chan error, 1)
	go func() { served <- n.frontend.Serve(n.clientListener) }()
	n.log.Info("serving", zap.String("listen", n.config.ListenAddress), zap.Int("client descriptors", n.limits.clientConns),
		zap.Int("server descriptors", n.limits.serverConns), zap.Int("memory MB", n.config.MemoryMB),
		zap.Int("other processes", membership.Others()))
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	go leaveCluster() // in parallel to the drain: a successor waits for the cluster's address, and draining must not wait for the cluster
	n.log.Info("shutting down, draining client connections")
	hasSuccessor := n.config.PassedSocket != 0 && membership.Others() > 0 // the platform may also end the only process on a passed socket
	if err := n.frontend.Shutdown(hasSuccessor); err != nil {
		n.log.Warn("shutdown ended with requests unanswered", zap.Error(err), zap.Int("in flight", n.dispatcher.Unanswered()),
			zap.Int("answers cut off", n.dispatcher.InFlight()))
	}
	n.log.Info("shutdown complete")
	return nil
}
