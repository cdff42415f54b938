package routing

// This file holds the figures that decisions go by, grouped by what they bound.

const (
	binCount             = 2000               // bins of the line; the design's figure
	minAlpha             = 0.000001           // least weight of a lookup; the design's figure
	divergencePerHalving = 0.1                // KL divergence (nats) for each doubling of alpha; the design's figure
	adaptInterval        = 1000 * Millisecond // between comparisons; the design's figure. Lookups count by halves of it
	binGroups            = 20                 // groups of bins compared: few, so that some hundred lookups tell a shift from chance
	minWeightScale       = 1e-9               // renormalise there: far from losing digits, yet rare
	rangeInterval        = 2000 * Millisecond // between recuts: a range moves little in it, and 2000 adds are dear

	minBusyInFlight  = 2   // own shots in flight below which a cache is never passed over; the design's figure
	maxFallThroughs  = 2   // caches passed over for want of room: a hot key needs some, more scatter keys
	busyFactor       = 2.0 // well over our mean: twice it, and one more for chance
	congestionFactor = 1.5 // a full cache with no more than this many times our mean tells of a jam

	decayInterval        = 1000 * Millisecond // between halvings of what is measured: a few seconds' memory
	inFlightTargetShare  = 0.25               // share of a target time that shots in flight may fill: misses need more
	initialFleetLimit    = 8.0                // shots of all nodes that are always allowed, from one to two for each
	slowAnswerShare      = 0.4                // share of its target time after which an answer counts as slow
	limitDecrease        = 0.1                // share of a calm room that a slow or a full answer takes, and
	limitIncrease        = 0.1                // shots a quick one adds: a third slow is too many at a room of two
	timeoutLimitDecrease = 0.8                // share that a time-out takes: queues grow for all nodes, each sees little
	minConcurrencyLimit  = 0.1                // least calm room: one lookup in ten shows whether a box is well again
	maxConcurrencyLimit  = 16.0               // most calm room: where rate times time bounds, it need not grow on
	originTargetShare    = 0.6                // share of a target time that fetches in flight may fill at the origin
	minFleetFetches      = 12.0               // fetches of all nodes that are always allowed, to measure the origin by
	maxUnmeasuredFetches = 3.0                // fetches a node may have out while the origin is calm: some come at once
	originLimitIncrease  = 0.3                // fetches a quick answer adds up to there: many nodes ask it seldom
	writeLimitFactor     = 2                  // writes may fill the origin this many times as far as fetches
	earlyRejectShare     = 0.4                // share of the target time up to which a second try can still be in time
	retryAfterShare      = 0.1                // share of the target time, and up to as much by chance, to stay away
	minTenantBurst       = 4.0                // lookups a partner may always save up: of many nodes each has few a minute
	rejectionLoss        = 0.1                // ease lost with a lookup inside its share that we had no room for,
	expiryLoss           = 0.03               // with one that ran out of time,
	successGain          = 0.005              // and won with one answered in time: past 5% without room it is nothing
	admissionSteps       = 5.0                // its first fifth is for what is surely beyond, its last for what may be

	failuresToEject = 2                  // strikes that make a suspect: one broken connection, two silences
	minEjectionTime = 250 * Millisecond  // first rest of a suspect: a few connect time-outs
	maxEjectionTime = 3000 * Millisecond // longest rest: with an attempt that times out all requests are turned away for less than 4 s

	slowStartMargin = 0.3 // share of the cold budget that is used: misses flatter warm caches, hints of work err, and
	// what all nodes send varies by chance: beyond the budget only 2 x root of it and 2 more may come
	maxSlowStartWork = 2.0 // most work of a shot, in mean ones, but for what may be saved up: one alone could push a cache over

	retryBudgetPerAnswer = 0.25 // credit for an answer: further shots stay near a quarter of all
	maxRetryBudget       = 5.0  // most credit kept, and a server's first: no longer burst of further shots

	PollSpread         = 300 * Millisecond  // those who start, or lose the list, at once spread their calls over this
	MaxPollWait        = 1800 * Millisecond // longest from one call to the next: two, and a slow list, fit into 5 s
	pushedGraceDivisor = 3                  // a third of a pushed list's grace for that, the rest for the call and news
	pollAlarmHandle    = 0                  // the list's alarm; a lookup's handle is its index and one

	maxIdleTimeout      = 30000 * Millisecond // span for which idle connections are kept at first: as good as no bound
	minIdleTimeout      = 50 * Millisecond    // below this one is given back at once: no shot there comes so soon
	idleTimeoutIncrease = 10 * Millisecond    // won with each answer: ten a second make up for a failure in some seconds
	idleTimeoutDivisor  = 2                   // a failed connect halves it: the server is full, others want what we hold
)
