package decision

// Tuned values, as ratios to settings or to what was seen.
const (
	interval          = Second // of the limit, as the design says
	chanceMargin      = 0.3    // roots of an even share on top of it
	coldStartAttempts = 3.0    // executions a ready server by all nodes, this node's even share while fresh
	limitOverTime     = 1.5    // a back end's own time T over which what is out may take to complete
	quietAllowance    = 1.4    // times the least allowance while latency is quiet, and
	quietNodeFactor   = 0.6    // times the root of the number of nodes, over which the swings of each even out
	minInFlight       = 1.1    // executions a ready server by all nodes that are let out in any case
	minLatencyShare   = 0.125  // of the contract time: a latency that is low enough whatever was seen
	latencySpan       = 4.0    // times the lowest recent latency on top of it, where normalised latency is 1
	minUsualLatencies = 1.0    // usual latencies that a ticket must have left
	quietLatency      = 0.2    // normalised latency under which the back end is quiet
	minAction         = 0.3    // least a, as a share of the best recent
	enoughEnds        = 10     // ends that an interval's latency rests on
	featureDecay      = 0.3    // of the features' moving averages, an interval
	enoughForTime     = 30     // ends that a latency must rest on to count for T
	recentIntervals   = 30     // intervals that T looks back on
	bestRateIntervals = 8      // intervals that the best completed rate looks back on
	burstShare        = 0.15   // share of an interval's λ that may be used at once

	demandMemory      = 2 * interval  // memory of a customer's demand
	reportEvery       = interval / 3  // between messages to peers
	peerSilence       = 4 * interval  // without word of peers
	evenSliceBelief   = 3.0           // of the quota, belief in the even slice against what is told
	customerIdleAfter = 60 * interval // a customer ages out, if its bucket is full by then
	idleScanCount     = 1024          // customers looked at for that in an interval
	maxMessage        = 256           // bytes a message holds
	reportShare       = 0.5           // of what a peer takes in, used when there is more to tell

	ownerWaitShare       = 0.2  // of the shortest contract time, that a ticket waits for its customer's home
	maxAskShare          = 0.7  // of what a peer takes in, that a home has itself asked for,
	minAskShare          = 0.2  // and for one customer at least
	freePassMinRate      = 0.25 // units a second at each node of a set, of a customer that nodes may let pass freely
	askOverRoom          = 1.5  // tickets asked for, of each that the bucket has room for
	reservationLatencies = 3.0  // usual latencies that an execution counts as out at a home, unless its end is told
	minAdmitPart         = 0.01 // of a customer's tickets
	freePassReserve      = 0.7  // of a store, kept for what passes until word gets round
	ownerCeilingPart     = 0.5  // of a ceiling, kept by the home; the rest is for when that can't be asked
	ownersAtShare        = 0.75 // of what a peer takes in, when all tell all: past it not all can hear all
	minReports           = 0.1  // of a faded count of messages
	maxEntry             = 56   // bytes of a customer in a message

	paceMemory      = 5 * interval  // memory of a server's pace
	pacePrior       = 6.0           // answers' worth of belief that a server is like the others
	maxFailures     = 2             // errors or time-outs in a row before suspicion
	maxEjection     = 8             // longest suspicion, in contract times
	suspicionMemory = 10 * interval // memory of what peers suspect,
	minSuspicion    = 1.0           // of which so many words more than a server has on average count,
	suspicionRoots  = 2.0           // and so many roots of those on top
	trialEarned     = 0.05          // trials at rested servers earned by an execution of the band
	silentLatencies = 10.0          // usual latencies that all out at a server waited, with no answer
	slowStartMargin = 0.4           // of the cold budget that is used at once, and as much again over a span,
	maxRateRatio    = 1.6           // times completions over the warm servers of their time, for the ones now
	sizeMemory      = 33 * interval // memory of the listed sizes of servers that completed

	meetsPerIdle    = 60.0 // times that a node meets a server while a connection there may stand idle
	minSubset       = 4    // servers that a node uses at least
	minView         = 256  // servers that a node keeps in view at least, where there are so many,
	viewRatio       = 2    // and times those that it uses
	nodesPerShuffle = 8    // nodes that share a shuffle of the servers at least, and use a server of many

	retryEarned         = 0.2  // further executions earned by a first one
	hedgeAfterShare     = 0.33 // of the contract time, when a spare is due
	hedgeAfterLatencies = 2.5  // and times the usual latency
	pollSpan            = 3.0  // intervals, after which discovery is asked again: under 6 with the calls before and after
	pollFromShare       = 0.34 // least share of the span
	checksPerObjective  = 30   // looks at open executions in a contract time
)
