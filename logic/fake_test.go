package logic

// fake is a Host that notes what it is told.
type fake struct{}

func (f *fake) Shoot(lkp, server int, timeout Time) {}
func (f *fake) Retract(lkp, shot int)               {}
func (f *fake) Defer(lkp int, retryAfter Time)      {}
func (f *fake) Abandon(lkp int)                     {}
func (f *fake) Subscribe()                          {}
func (f *fake) Wake(at Time, handle int)            {}
