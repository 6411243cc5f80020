package decision

// Tuned values, as ratios to settings or to what was seen.
const (
	// Of the admission limit.
	interval           = Second // of the limit, as the design says
	chanceMargin       = 0.3    // roots of an even share on top of it
	coldStartAttempts  = 3.0    // attempts a ready server by all nodes, until enough was seen
	firstLatencyPart   = 4      // of an objective, that counts as usual latency before any was seen
	limitOverTime      = 1.5    // times T, over which what is in flight may take to complete
	quietAllowance     = 1.4    // times the least allowance while latency is quiet, and
	quietNodeFactor    = 0.6    // times the root of the number of nodes, over which the swings of each even out
	minInFlight        = 1.1    // attempts a ready server by all nodes that may be in flight in any case
	minLatencyShare    = 0.125  // of the objective: a latency that is low enough whatever was seen
	latencySpan        = 4.0    // times the lowest recent latency on top of it, where normalised latency is 1
	minUsualLatencies  = 1.0    // usual latencies that a request must have left
	quietLatency       = 0.2    // normalised latency under which the back end is quiet
	minAction          = 0.3    // least a, as a share of the best recent
	enoughEnds         = 10     // ends that an interval's latency rests on
	featureDecay       = 0.3    // of the features' moving averages, an interval
	enoughForTime      = 30     // ends that a latency must rest on to count for T
	recentIntervals    = 30     // intervals that T looks back on
	bestRateIntervals  = 8      // intervals that the best completed rate looks back on,
	canFinishIntervals = 3      // and where it limits what is in flight
	burstShare         = 0.15   // share of an interval's λ that may be used at once

	// Of quotas and reports on them.
	demandMemory      = 2 * interval  // memory of a customer's demand
	reportEvery       = interval / 3  // between reports to peers
	peerSilence       = 4 * interval  // without a message of peers
	evenPartBelief    = 3.0           // of the quota, belief in the even part against what is reported
	customerIdleAfter = 60 * interval // a customer is forgotten, if its bucket is full by then
	idleScanCount     = 1024          // customers looked at for that in an interval
	maxMessage        = 256           // bytes of a message
	maxEntry          = 56            // bytes of a customer in a message
	reportShare       = 0.5           // of what a peer takes in, used when there is more to report
	minReports        = 0.1           // of a decaying count of messages

	// Of quota owners.
	ownerWaitShare       = 0.2  // of the shortest objective, that a request waits for its customer's owner
	maxAskShare          = 0.7  // of what a peer takes in, that an owner has itself asked for,
	minAskShare          = 0.2  // and for one customer at least
	freePassMinRate      = 0.25 // units a second at each node of its set, of a customer to pass freely
	askOverRoom          = 1.5  // requests asked for, of each that the bucket has room for
	reservationLatencies = 3.0  // usual latencies that a request is in flight for its owner, at most
	minAdmitPart         = 0.01 // of a customer's requests
	freePassReserve      = 0.7  // of a bucket, kept for what passes until the set is notified
	ownerCeilingPart     = 0.5  // of a ceiling, kept by the owner; the rest is for when that can't be asked
	ownersAtShare        = 0.75 // of what a peer takes in, when all report to all: past it not all can hear all
	unitsDecay           = 0.3  // of the mean units of a customer's requests, a request

	// Of servers: their pace, outliers and slow start.
	paceMemory        = 5 * interval  // memory of a server's pace
	pacePrior         = 6.0           // answers' worth of belief that a server is like the others
	maxFailures       = 2             // consecutive failures before ejection
	maxEjection       = 8             // longest ejection, in objectives
	suspicionMemory   = 10 * interval // memory of peers' suspicions,
	minSuspicion      = 1.0           // of which so many more than a server has on average count,
	suspicionRoots    = 2.0           // and so many roots of those on top
	trialEarned       = 0.05          // trials at ejected servers earned by an attempt of the class,
	maxTrials         = 2             // up to so many
	silentLatencies   = 10.0          // usual latencies that all in flight at a server waited, with no answer
	slowStartMargin   = 0.4           // of the budget that is used at once, and as much again over a span,
	maxRateRatio      = 1.6           // times completions over the warm servers of their time, for the ones now
	warmRateIntervals = 4             // intervals that the rate of a warm server rests on
	warmRateDecay     = 0.03          // of the best such rate, an interval
	clockTolerance    = 1.0           // recovery spans that a list may take to come: past it clocks differ
	sizeMemory        = 33 * interval // memory of the listed sizes of servers that completed

	// Of the subset of servers that a node uses.
	meetsPerIdle    = 60.0 // times that a node meets a server while a connection there may stand idle
	minSubset       = 4    // servers that a node uses at least
	minView         = 256  // servers that a node keeps in view at least, where there are so many,
	viewRatio       = 2    // and times those that it uses
	nodesPerShuffle = 8    // nodes that share a shuffle of the servers at least, and use a server of many

	// Of retries, polls and checks.
	retryEarned         = 0.2  // further attempts earned by a first one
	hedgeAfterShare     = 0.33 // of the objective, when an attempt at an ejected server is late,
	hedgeAfterLatencies = 2.5  // and times the usual latency
	pollSpan            = 3.0  // intervals, until the next poll: under 6 with the calls before and after
	pollFromShare       = 0.34 // least share of the span
	checksPerObjective  = 30   // checks of the attempts in flight, in an objective
)
