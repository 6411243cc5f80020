// Command cherrygap is one real edge node: it takes tickets from clients, lets the decision module say what
// happens with each, and carries that out on sockets.
package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"cherrygap/internal/healthcheck"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quotastore"
	"cherrygap/internal/routing"
	"cherrygap/internal/transport"
)

const (
	acceptFor  = 500 * time.Millisecond // after SIGTERM: clients may come for 0.4 s
	freeWithin = 20 * time.Second       // for the node's own addresses; the platform wants it ready in 30 s
	freeAgain  = 100 * time.Millisecond
	heapPart   = 0.6                    // of the memory limit; the rest is for stacks, the kernel and the program
	logLines   = 1000                   // that wait to be written,
	lastLines  = 200 * time.Millisecond // and for so long at the end
	gcPercent  = 400                    // little lives, so that a roomy heap saves collections
)

func init() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs } // the library's, for the whole process

// signals are those that the node heeds, one waiting of each kind: of many at once none is lost for another.
type signals struct{ term, hup, count chan os.Signal }

// heed begins to heed signals: before anything is read, or one that comes early would end the process.
var heed = sync.OnceValue(func() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.term, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hup, syscall.SIGHUP)
	signal.Notify(s.count, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // of a log whose reader went: by default it ends the process
	return s
})

// serves tells whether a command line starts a node.
func serves(root *cobra.Command, args []string) bool {
	cmd, _, err := root.Find(args)
	return err == nil && (cmd == root || cmd.Name() == "serve")
}

func main() {
	root := newRoot()
	if serves(root, os.Args[1:]) {
		heed()
	}
	if err := root.Execute(); err != nil {
		if !errors.Is(err, errShown) {
			fmt.Fprintln(os.Stderr, "cherrygap:", err)
		}
		os.Exit(2)
	}
}

// serve reads the platform's configuration and runs the node until it has drained.
func serve(op operatorfile.File) error {
	c, err := startConfig()
	if err != nil {
		return err
	}
	if err := c.take(op); err != nil {
		return err
	}
	return run(c)
}

// run wires the parts and stays until SIGTERM and the last answer.
func run(c *config) error {
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(heapPart * float64(c.Limits.MemoryMB<<20)))
	debug.SetGCPercent(gcPercent)
	count := &transport.Counters{}
	// Who reads the log must not hold up tickets: lines that it is too slow for are lost and counted.
	out := diode.NewWriter(struct{ io.Writer }{os.Stderr}, logLines, 0, func(n int) { count.LinesLost.Add(int64(n)) })
	defer func() { // the last lines, as far as someone reads them: an end must not wait for that
		written := make(chan struct{})
		go func() { out.Close(); close(written) }()
		select {
		case <-written:
		case <-time.After(lastLines):
		}
	}()
	log := zerolog.New(out).Level(c.level).With().Timestamp().Str("node", c.Name).Logger()
	limits := c.limits()
	asked := make(chan struct{}, 1)
	alarm, err := transport.NewTimer()
	if err != nil {
		return err
	}
	defer alarm.Close()
	cfg := routing.Config{
		Seed: c.seed, Settings: c.set, Shadow: c.watch, SetTimer: alarm.Set,
		SendToPeer: func(int, []byte) { count.ToldFailed.Add(1) },
		PollEndpoints: func() {
			select {
			case asked <- struct{}{}:
			default:
			}
		},
		LogSummary: func(text []byte) { log.Info().Msg(string(text)) },
	}
	hear := func(func(int, []byte) bool) {}
	if c.Peer.IsValid() {
		var mail *transport.PeerSocket
		if err := onceFree(&log, func() (err error) {
			mail, err = transport.OpenPeerSocket(c.Peer, protocol.NewPeerTable(c.Peers, c.PeersAll), count)
			return err
		}); err != nil {
			return err
		}
		cfg.SendToPeer, hear = mail.Send, mail.Receive
	}
	var leased *quotastore.Quotas
	if c.quota.Store != "" {
		leased = quotastore.Open(c.quota.Store, c.Name, c.leases(), &log)
		cfg.Quota = leased
		go leased.Run()
		defer leased.Close()
	}
	router := routing.New(cfg)
	var shared *transport.HealthChecker
	var checked authoriser
	counters := func(message string) {
		e := log.Info().Object("counters", count)
		if c.watch != nil {
			e = e.Object("watch", watched{router})
		}
		if shared != nil {
			e = e.Object("duties", shared)
		}
		if checked != nil {
			e = e.Object("authz", checked)
		}
		if leased != nil {
			e = e.Object("quota", leased)
		}
		e.Msg(message)
	}
	pool := transport.NewPool(limits, &log, count)
	known := len(c.known.Endpoints) > 0
	if known {
		router.UpdateEndpoints(&c.known, true)
	} else if c.odd != nil {
		log.Warn().Err(c.odd).Msg("known list refused")
	}
	c.Known, c.known.Endpoints = nil, nil // some MB in a large fleet, which the module holds in its own form
	if c.shares() {
		shared = transport.NewHealthChecker(c.duties(), router, pool, cfg.SendToPeer, &log)
	}
	watch := &transport.DiscoveryClient{
		Addr: c.Discovery, Revision: c.known.Revision, Full: !known, Limits: limits, Log: &log,
		Count: count, OnFailure: router.PollFailed, OnList: func(l *protocol.EndpointList) {
			router.UpdateEndpoints(l, false)
			pool.KeepOnly(router.InService)
			if shared != nil {
				shared.EndpointsChanged()
			}
		},
	}
	if c.set["roster"] == "ask" {
		watch.PollRequests = asked
	}
	var check transport.Authorizer
	if c.authz.Service != "" {
		if checked, err = dialAuthoriser(c); err != nil {
			return err
		}
		defer checked.Close()
		check = checked
	}
	var front *transport.Server
	if err := onceFree(&log, func() (err error) {
		front, err = transport.Listen(c.Listen, router, pool, limits, check, &log, count)
		return err
	}); err != nil {
		return err
	}
	drain := func() { front.Drain(acceptFor) }
	if c.grpc.Listen != "" {
		end, err := listenGRPC(c, front)
		if err != nil {
			return err
		}
		drain = func() {
			ended := make(chan struct{})
			go func() { end(); close(ended) }()
			front.Drain(acceptFor)
			<-ended
		}
	}
	go alarm.Run(router.Tick)
	go watch.Run()
	if shared != nil {
		go shared.Run()
		defer shared.Close()
	}
	go hear(func(from int, text []byte) bool {
		if shared != nil && text[0] == healthcheck.MessageMark {
			return shared.ReceivePeerMessage(from, text)
		}
		return router.ReceivePeerMessage(from, text)
	})
	router.Tick()
	log.Info().Str("listen", c.Listen).Msg("started")
	drained := make(chan struct{})
	for s := heed(); ; {
		select {
		case <-s.count:
			counters("counters")
		case <-s.hup: // while it drains too: what is open may still be sent on
			if c, err = c.reload(watch.Move); err != nil {
				log.Error().Err(err).Msg("new configuration refused")
				continue
			}
			if c.odd != nil {
				log.Warn().Err(c.odd).Msg("known list refused")
			}
			c.Known, c.known.Endpoints = nil, nil
			log.Info().Str("discovery", c.named).Msg("new configuration")
		case <-s.term:
			s.term = nil // once
			go func() { drain(); close(drained) }()
		case <-drained:
			counters("stopped")
			return nil
		}
	}
}

// onceFree opens a socket of the node's own, again and again while its address is in use: the process before it under the
// same address may have its last tickets open still. Any other error ends the start at once.
func onceFree(log *zerolog.Logger, open func() error) error {
	for end := time.Now().Add(freeWithin); ; time.Sleep(freeAgain) {
		err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return err
		}
		log.Warn().Err(err).Msg("waiting for an address in use")
	}
}

// authoriser checks tickets, and counts.
type authoriser interface {
	transport.Authorizer
	zerolog.LogObjectMarshaler
	Close()
}

// What speaks gRPC is set by grpc.go, which is part of the program where it is built with the tag grpc: else the
// node would carry twice its size for what the platform has no use for.
var (
	errNoGRPC      = errors.New("authz.service, grpc.listen: this program was built without the tag grpc (docs/grpc.md)")
	dialAuthoriser = func(*config) (authoriser, error) { return nil, errNoGRPC }
	listenGRPC     = func(*config, *transport.Server) (drain func(), err error) { return nil, errNoGRPC }
	moreLab        []func(opFile *string) *cobra.Command
)

// watched writes what the watch counted: decisions compared, and those that would have been others, by kind.
type watched struct{ r *routing.Router }

func (w watched) MarshalZerologObject(e *zerolog.Event) {
	seen, differs := w.r.ShadowCounts()
	e.Int64("decisions", seen)
	for _, kind := range slices.Sorted(maps.Keys(differs)) {
		e.Int64(kind, differs[kind])
	}
}
