package lease

// Time is a clock reading or a duration, in tenths of a millisecond. The clock keeps running while the machine is suspended.
type Time int64

// Millisecond is the number of units of Time in a millisecond.
const Millisecond Time = 10

// GranterDuration returns the lease duration measured by the granter's clock. It is longer than the nominal duration because
// the holder's clock may run slower. drift is the maximum relative difference in rate between any two clocks.
func GranterDuration(nominal Time, drift float64) Time {
	return nominal + Time(float64(nominal)*drift) + 1
}

// HolderDuration returns the lease duration measured by the holder's clock. It is shorter than the nominal duration because
// the granter's clock may run faster.
func HolderDuration(nominal Time, drift float64) Time {
	return nominal - Time(float64(nominal)*drift) - 1
}
