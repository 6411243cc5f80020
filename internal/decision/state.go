package decision

// Why a ticket is refused, as the interval's note counts them: too little time left, a fresh node's few, λ's
// tokens, the open cap, the customer's part of its bucket, its hard ceiling, no server to take it.
const (
	rejectTooLate = iota
	rejectColdStart
	rejectAdmissionRate
	rejectConcurrency
	rejectQuota
	rejectCeiling
	rejectNoServer
	rejectReasons
)

// attempt lives from its send until its end.
type attempt struct {
	server     int32
	sent       Time
	inFlight   bool
	mayHaveRun bool // not proven unrun
	cancelled  bool // withdrawn
}

// request lives from arrival until its final answer has gone and nothing of it is out.
type request struct {
	id           uint32
	live         bool // the slot is in use
	closed       bool // the final answer has gone
	queued       bool // waits for Next
	streaming    bool // a stream has begun
	class        int
	plan         int
	customer     int32
	arrived      Time
	deadline     Time // the client gives up
	units        float64
	bucketPart   float64 // the part that the bucket was charged by
	attempts     []attempt
	inFlight     int
	askedOwnerAt Time         // when its customer's home was asked; 0: not
	verdict      ownerVerdict // of the home
}

// ownerVerdict is what a customer's home says of one ticket.
type ownerVerdict uint8

const (
	verdictPending ownerVerdict = iota
	verdictGranted
	verdictDenied
)

// server lives as long as the roster, or an execution out, names it.
type server struct {
	Endpoint
	listed         bool
	live           bool   // the slot is in use
	inSubset       bool   // among those that this node uses first
	inView         bool   // in view
	departed       bool   // in Node.gone
	warming        bool   // in Node.cold
	ordered        bool   // in the order,
	orderZone      uint8  // in this zone's, and
	orderCell      uint16 // this cell's
	referenced     bool   // by an open ticket, as of this sweep
	inFlight       int
	pace           decayingMean // latencies over their band's usual one
	rotationCredit float64
	weight         float64        // as of this pick
	byClass        []outlierState // by class; nil while nothing is known, out of view
	slowStartAt    Time           // when sentNow was last brought up to date
	slowStartSent  float64        // executions counted against the cold budget
}

// outlierState is what is known of how a server serves one band.
type outlierState struct {
	inFlight            int
	lost                int          // out for so long that no answer is expected, as of the last beat
	consecutiveFailures int          // ends without an answer in a row
	ejectedUntil        Time         // suspected until then
	ejectionTime        Time         // how long the last suspicion lasted
	peerSuspicion       decayingMean // peers' words of misses
	fromPeer            bool         // by a peer, not found here
	trialInFlight       bool         // one trial execution is out after a suspicion
	answeredAt          Time         // last answer of any kind
	countedFrom         Time         // what was owed before has been counted
	waited              float64      // usual latencies that what is out has waited for since the last answer
}

// customer lives until it has been idle for long.
type customer struct {
	key         uint64
	live        bool
	plan        int
	spread      int  // nodes that take it in,
	firstNode   int  // in a row from this one
	firstSeen   Time // first sight
	lastRequest Time // last ticket
	level       float64
	levelAt     Time
	demand      decayingMean // units asked here, a decayed sum
	inFlight    int
	leased      bool // its level is what Allowed said, less what passed since
	ceiling     float64
	ceilingAt   Time

	// Where not all nodes can hear all, see byHome.
	peerDemand       decayingMean  // at its home: units asked at all nodes
	admitPart        float64       // the part of its tickets that are asked for, as told by its home, or at its home
	admitPartAt      Time          // when that was told
	unreportedDemand float64       // elsewhere: units asked that its home has not answered for
	freePass         bool          // its tickets pass and are told of afterwards, as told by its home, or at its home
	meanUnits        float64       // at its home: units of its tickets of late
	reservations     []reservation // at its home: what it let out
	ownerCeiling     float64       // at its home: the part of the ceiling kept there,
	ownerCeilingAt   Time          // and when it was filled
	reportPending    bool          // waits for the next message
	reportDemand     float64       // elsewhere: units asked and passed that its home does not know of
	reportUse        float64
}

// reservation is a ticket that a customer's home let out, and when it counts as ended in any case.
type reservation struct {
	node    int
	request uint32
	until   Time
}

// Engine is one instance of the module: all that this edge node knows.
type Engine struct {
	shadow            *shadow // nil: off
	settings          Settings
	now               Time
	self              int
	nodes             int
	tick              Time
	connectTimeout    Time // that a new connection may take, and so an execution to be whole
	classes           []requestClass
	plans             []quotaPlan
	shortestObjective Time // the shortest contract time
	slowStartSpan     Time // a server is warm so long after its start, looked at for each server and ticket
	slowStartShare    float64
	random            mwc

	servers       []server
	serverSlots   slotIndex[uint32]
	requests      []request
	requestSlots  slotIndex[uint32]
	customers     []customer
	customerSlots slotIndex[uint64]
	idleScanAt    int // the customer that was last looked at for being idle

	pending       []int32    // tickets to decide on
	cancellations []Decision // executions to call back
	scratch       []byte

	startedAt        Time
	ready            int           // app servers listed as ready
	attemptsSent     decayingMean  // executions sent
	subsetRatio      float64       // ready servers for each that this node uses
	order            endpointOrder // of the usable servers
	subset           []int32       // slots of the servers that this node uses first, rising
	view             []int32       // of all that it may send to, and of those that something is out at, rising
	usable           int           // servers in view that may be sent to
	warming          []int32       // slots of servers that started lately
	spareView        []int32       // room for the next choice
	outOfView        []int32       // slots out of view of which something is known yet, as of peers\' words
	departed         []int32       // slots of servers that the roster named no more, when last looked at
	paces            decayingMean  // of the servers in view, as of the last beat and ends since
	requestsInFlight int           // tickets with an execution out
	retryBudget      float64       // further executions left in the budget
	checkAt          Time
	pause            Time // how long this node last had no turn though it had asked for one,
	pauseEndedAt     Time // and until when
	arrivedInPause   int  // tickets that came meanwhile, not looked at yet
	timerAt          Time
	reportAt         Time
	ownersEnabled    bool          // more nodes than can all hear each other
	pendingReports   []int32       // customers to tell peers of
	ownerTimeout     Time          // that a ticket waits for a home's answer
	suspicionAt      Time          // next message of doubts
	outbox           []peerMessage // messages that wait for Next
	peerHeardAt      Time          // last message of any peer
	peerMessages     decayingMean  // messages of peers
	pollAt           Time          // when to ask for the roster; 0: never
	polling          bool

	// The limit.
	intervalEnd       Time
	intervalStart     Time
	admissionRate     float64
	tokens            float64
	tokensAt          Time
	quiet             bool
	executionTime     float64 // T, lowest recent interval latency, in Time
	admitted          int
	rejected          [rejectReasons]int // tickets refused in the interval, by reason
	completed         int
	ends              int
	latencySum        float64      // sum over ends of time over contract time
	latencyTotal      float64      // sum over completed of time
	latencies         []float64    // time over contract time of the interval's ends
	lastLatency       float64      // mean latency of the last interval
	latencyCount      int          // ends gathered for T
	intervalLatencies []float64    // recent interval latencies, in Time
	completedRates    []float64    // recent completed rates,
	warmServerRates   []float64    // and by a warm server, of those that there were then,
	lastWarmServers   float64      // or as of the interval before
	warmServerRate    float64      // completed a second by a warm server for this node, at best of late
	completedSizes    decayingMean // listed sizes of the servers that completed them
	features          [4]float64
	action            float64
	summaryDue        bool
}
