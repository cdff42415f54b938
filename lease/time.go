package lease

// Time is a reading of a clock that goes on while the machine sleeps, or a duration, in tenths of a millisecond.
type Time int64

// Millisecond is the number of units of Time in a millisecond.
const Millisecond Time = 10

// GranterDuration returns the duration of a lease as the granter counts it: longer than the nominal one, since the
// holder's clock may run slower. drift bounds the relative difference in rate between any two clocks.
func GranterDuration(nominal Time, drift float64) Time {
	return nominal + Time(float64(nominal)*drift) + 1
}

// HolderDuration returns the duration of a lease as its holder counts it: shorter than the nominal one, since the
// granter's clock may run faster.
func HolderDuration(nominal Time, drift float64) Time {
	return nominal - Time(float64(nominal)*drift) - 1
}
