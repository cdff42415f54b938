package changelog

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/thistlerudder/thistlerudder/lease"
)

// recordingHost is a follower's Host that records what it is called with.
type recordingHost struct {
	requestedParents []int
	lastRequest      Request
	appliedChanges   []Change
	missedRanges     []missedRange
	alarmAt          Time
}

type missedRange struct{ epoch, after, upTo uint64 }

func (h *recordingHost) Send(parent int, r Request) {
	h.requestedParents, h.lastRequest = append(h.requestedParents, parent), r
}
func (h *recordingHost) Apply(c Change) { h.appliedChanges = append(h.appliedChanges, c) }
func (h *recordingHost) StateReplaced() {}
func (h *recordingHost) EventsMissed(epoch, after, upTo uint64) {
	h.missedRanges = append(h.missedRanges, missedRange{epoch, after, upTo})
}
func (h *recordingHost) SetAlarm(t Time) { h.alarmAt = t }

func (h *recordingHost) fireAlarm(f *Follower) (now Time) { f.Alarm(h.alarmAt); return h.alarmAt }
func (h *recordingHost) lastParent() int                  { return h.requestedParents[len(h.requestedParents)-1] }

func purgeEvent(revision uint64, key string) Change {
	return Change{Revision: revision, Topic: "purge", Key: key, Event: true}
}
func configValue(revision uint64, key, value string) Change {
	return Change{Revision: revision, Topic: "configuration", Key: key, Value: []byte(value)}
}

var defaultConfig = Config{ParentCount: 5, HomeParentCount: 2, MinRequestInterval: 250 * lease.Millisecond, RetryBackoff: 100 * lease.Millisecond, MaxParentAge: 4700 * lease.Millisecond, MaxResponseBytes: 7700}

// newSourceLog returns the log of an epoch's source with these changes.
func newSourceLog(t testing.TB, epoch uint64, maxRingBytes int, changes ...Change) *Log {
	t.Helper()
	l := NewLog(maxRingBytes)
	l.StartEpoch(epoch)
	for i, c := range changes {
		c.Revision = uint64(i + 1)
		if err := l.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// followUntilCurrent lets a follower poll a log until there is nothing new, and returns the number of requests.
func (h *recordingHost) followUntilCurrent(t testing.TB, f *Follower, l *Log) (requests int) {
	t.Helper()
	for {
		now := h.fireAlarm(f)
		requests++
		previousPosition, hadStagedState := f.Position(), f.stagedState != nil
		resp, respBytes := l.Respond(h.lastRequest, 0), 0
		for _, c := range resp.Changes {
			respBytes += changeBytes(c)
		}
		if len(resp.Changes) > 1 && respBytes > h.lastRequest.MaxBytes {
			t.Fatalf("%d bytes of changes at once, want at most %d", respBytes, h.lastRequest.MaxBytes)
		}
		if err := f.HandleResponse(now, h.lastRequest.ID, resp); err != nil {
			t.Fatal(err)
		}
		if f.Position() == previousPosition && !hadStagedState && f.stagedState == nil || requests > 1000 {
			return requests
		}
	}
}

// Two logs that differ at one revision, as after a cluster was founded twice from one token: a child of the one that switches to
// the other detects it, takes over the other's state, and reports that any event may be missed. Without the chain it never does.
func TestFollowerNewParentLogDivergesReplacesState(t *testing.T) {
	for _, disabled := range []DisabledSafeguards{{}, {IgnoreChain: true}} {
		first := newSourceLog(t, 7, 1<<10, configValue(0, "a", "1"), configValue(0, "b", "2"), purgeEvent(0, "x"))
		second := newSourceLog(t, 7, 1<<10, configValue(0, "a", "1"), configValue(0, "b", "9"), purgeEvent(0, "y"), purgeEvent(0, "z"))
		first.disabled, second.disabled = disabled, disabled
		h := &recordingHost{}
		f := NewFollower(h, 0, defaultConfig, nil, disabled)
		h.followUntilCurrent(t, f, first)
		if f.Position() != first.Position() {
			t.Fatalf("at %+v, want %+v", f.Position(), first.Position())
		}
		h.missedRanges = nil
		h.followUntilCurrent(t, f, second)
		isReplaced := reflect.DeepEqual(f.State(), second.State())
		if want := []missedRange{{epoch: 7, after: 0, upTo: 4}}; !disabled.IgnoreChain && (!isReplaced || f.Position() != second.Position() || !reflect.DeepEqual(h.missedRanges, want)) {
			t.Errorf("at %+v with %v, missed %v; want %+v with %v, missed %v", f.Position(), f.State(), h.missedRanges, second.Position(), second.State(), want)
		}
		if disabled.IgnoreChain && isReplaced {
			t.Error("want a wrong state without the chain")
		}
	}
}

// A malformed response is refused with its fault; position, state and age stay as they were, and the next parent is polled.
func TestFollowerMalformedResponseKeepsStateAndSwitchesParent(t *testing.T) {
	l := newSourceLog(t, 7, 1<<10, configValue(0, "a", "1"), configValue(0, "b", "2"), purgeEvent(0, "x"))
	for name, corrupt := range map[string]func(resp *Response){
		"the first change is missing":  func(resp *Response) { resp.Changes = resp.Changes[1:] },
		"the last change is missing":   func(resp *Response) { resp.Changes = resp.Changes[:1] },
		"a change differs":             func(resp *Response) { resp.Changes[1].Key = "other" },
		"a change comes twice":         func(resp *Response) { resp.Changes = append(resp.Changes, resp.Changes[1]) },
		"of another place":             func(resp *Response) { resp.From-- },
		"of another epoch":             func(resp *Response) { resp.Epoch++ },
		"another chain":                func(resp *Response) { resp.Chain++ },
		"no topic":                     func(resp *Response) { resp.Changes[0].Topic = "" },
		"a value over its bound":       func(resp *Response) { resp.Changes[0].Value = make([]byte, maxValueBytes+1) },
		"an age below nothing":         func(resp *Response) { resp.Age = -1 },
		"state of an earlier epoch":    func(resp *Response) { resp.Buckets, resp.Epoch, resp.Complete = map[int][]Change{}, 6, true },
		"state of an earlier revision": func(resp *Response) { resp.Buckets, resp.Revision, resp.Complete = map[int][]Change{}, 2, true },
		"a key in another's bucket": func(resp *Response) {
			resp.Buckets = map[int][]Change{bucketOf(stateKey(configValue(0, "a", ""))) ^ 1: {configValue(1, "a", "1")}}
		},
		"an event as state": func(resp *Response) {
			resp.Buckets = map[int][]Change{bucketOf(stateKey(purgeEvent(0, "x"))): {purgeEvent(1, "x")}}
		},
		"a ring that doesn't lead there":   func(resp *Response) { resp.Buckets, resp.Ring = map[int][]Change{}, []Change{purgeEvent(1, "x")} },
		"below the floor, and yet changes": func(resp *Response) { resp.BelowFloor = true },
	} {
		h := &recordingHost{}
		f := NewFollower(h, 0, defaultConfig, nil, DisabledSafeguards{})
		h.followUntilCurrent(t, f, l)
		extended := l.clone()
		for i, c := range []Change{purgeEvent(0, "y"), configValue(0, "a", "3")} {
			c.Revision = uint64(4 + i)
			if err := extended.Add(c); err != nil {
				t.Fatal(err)
			}
		}
		now := h.fireAlarm(f)
		resp := extended.Respond(h.lastRequest, 0)
		if resp.Changes = append([]Change(nil), resp.Changes...); len(resp.Changes) != 2 {
			t.Fatal(resp)
		}
		corrupt(&resp)
		position, state, appliedBefore, parent := f.Position(), maps.Clone(f.State()), len(h.appliedChanges), h.lastParent()
		ageBefore, _ := f.Age(now)
		err := f.HandleResponse(now, h.lastRequest.ID, resp)
		if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrEpoch) {
			t.Errorf("%s: %v", name, err)
		}
		ageAfter, _ := f.Age(now)
		if f.Position() != position || !reflect.DeepEqual(f.State(), state) || len(h.appliedChanges) != appliedBefore || ageBefore != ageAfter || f.stagedState != nil {
			t.Errorf("%s: from %+v to %+v, state %v, %d applied, age %d to %d", name, position, f.Position(), f.State(), len(h.appliedChanges)-appliedBefore, ageBefore, ageAfter)
		}
		if h.fireAlarm(f); h.lastParent() == parent {
			t.Errorf("%s: the same parent is polled again", name)
		}
		h.followUntilCurrent(t, f, extended)
		if f.Position() != extended.Position() {
			t.Errorf("%s: at %+v afterwards, want %+v", name, f.Position(), extended.Position())
		}
	}
}

// A child far behind takes as much at a time as it requests, from its own position; that delays no sibling and loses nothing.
func TestFollowerFarBehindReceivesAllChanges(t *testing.T) {
	l := newSourceLog(t, 7, 1<<20)
	slowHost, quickHost := &recordingHost{}, &recordingHost{}
	slowConfig := defaultConfig
	slowConfig.MaxResponseBytes = 1000
	slow, quick := NewFollower(slowHost, 0, slowConfig, nil, DisabledSafeguards{}), NewFollower(quickHost, 0, defaultConfig, nil, DisabledSafeguards{})
	slowHost.followUntilCurrent(t, slow, l)
	quickHost.followUntilCurrent(t, quick, l)
	const eventCount = 2000
	eventBytes := changeBytes(purgeEvent(1, fmt.Sprintf("%016d", 0)))
	for i := range eventCount {
		if err := l.Add(purgeEvent(uint64(i+1), fmt.Sprintf("%016d", i))); err != nil {
			t.Fatal(err)
		}
		if i%500 == 499 {
			if requests, want := quickHost.followUntilCurrent(t, quick, l), 500/(defaultConfig.MaxResponseBytes/eventBytes)+2; requests > want {
				t.Errorf("the quick one asked %d times for 500, want %d", requests, want)
			}
		}
	}
	if requests, want := slowHost.followUntilCurrent(t, slow, l), eventCount/(slowConfig.MaxResponseBytes/eventBytes)+2; requests > want {
		t.Errorf("the slow one asked %d times, want %d", requests, want)
	}
	for _, h := range []*recordingHost{slowHost, quickHost} {
		for i, c := range h.appliedChanges {
			if c.Revision != uint64(i+1) || len(h.appliedChanges) != eventCount {
				t.Fatalf("change %d of %d is %d", i, len(h.appliedChanges), c.Revision)
			}
		}
	}
}

// A child from before the ring fetches the buckets of state that differ, installs them in one step, and reports what it missed.
func TestFollowerBelowRingFloorFetchesDifferingBuckets(t *testing.T) {
	l := newSourceLog(t, 7, 200)
	add := func(c Change) {
		c.Revision = l.Position().Revision + 1
		if err := l.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 400 {
		add(configValue(0, fmt.Sprint("key-", i), fmt.Sprint(i)))
	}
	snapshot := Snapshot{l.Position(), maps.Clone(l.State())}
	for i := range 300 {
		add(purgeEvent(0, fmt.Sprint(i)))
	}
	add(configValue(0, "key-7", "other"))
	add(Change{Topic: "configuration", Key: "key-8", Deleted: true})
	h := &recordingHost{}
	f := NewFollower(h, 0, defaultConfig, &snapshot, DisabledSafeguards{})
	now := h.fireAlarm(f)
	resp := l.Respond(h.lastRequest, 0)
	if !resp.BelowFloor {
		t.Fatalf("%+v", resp)
	}
	_ = f.HandleResponse(now, h.lastRequest.ID, resp)
	now = h.fireAlarm(f)
	if resp = l.Respond(h.lastRequest, 0); !resp.Complete || len(resp.Buckets) != 2 {
		t.Errorf("%d buckets, want the two that differ", len(resp.Buckets))
	}
	_ = f.HandleResponse(now, h.lastRequest.ID, resp)
	if want := []missedRange{{epoch: 7, after: 400, upTo: 702}}; f.Position() != l.Position() || !reflect.DeepEqual(f.State(), l.State()) || !reflect.DeepEqual(h.missedRanges, want) {
		t.Errorf("at %+v, missed %v; want %+v, %v", f.Position(), h.missedRanges, l.Position(), want)
	}
	if _, known := f.Age(now); !known {
		t.Error("no age")
	}
}

// A follower tries its own region's relays first, then others; after ten seconds there it tries its own again.
func TestFollowerParentsFailTriesHomeRegionFirst(t *testing.T) {
	l := newSourceLog(t, 7, 200, purgeEvent(0, "x"))
	h := &recordingHost{}
	f := NewFollower(h, 0, defaultConfig, nil, DisabledSafeguards{})
	isResponding := map[int]bool{3: true}
	var firstResponseAt Time
	for now := h.fireAlarm(f); now < 30_000*lease.Millisecond; now = h.fireAlarm(f) {
		if isResponding[h.lastParent()] {
			if firstResponseAt == 0 {
				firstResponseAt = now
			}
			_ = f.HandleResponse(now, h.lastRequest.ID, l.Respond(h.lastRequest, 0))
		} else {
			f.HandleTimeout(now, h.lastRequest.ID)
		}
	}
	if fmt.Sprint(h.requestedParents[:4]) != "[0 1 2 3]" || firstResponseAt > 2000*lease.Millisecond {
		t.Errorf("%v, the first response after %d ms", h.requestedParents[:4], firstResponseAt/lease.Millisecond)
	}
	homeRequests := 0
	for _, parent := range h.requestedParents[4:] {
		if parent == 0 {
			homeRequests++
		}
	}
	if homeRequests != 2 {
		t.Errorf("it tried its own region %d times in 30 s, want 2: %v", homeRequests, h.requestedParents)
	}
	requestsBefore := len(h.requestedParents)
	for now := h.fireAlarm(f); now < 60_000*lease.Millisecond; now = h.fireAlarm(f) {
		f.HandleTimeout(now, h.lastRequest.ID)
	}
	if requests := len(h.requestedParents) - requestsBefore; requests > 40 {
		t.Errorf("%d requests in 30 s without any response", requests)
	}
}

func drawChanges(t *rapid.T) (changes []Change) {
	for i := range rapid.IntRange(0, 20).Draw(t, "count") {
		c := Change{Revision: uint64(i + rapid.SampledFrom([]int{1, 1, 1, 7}).Draw(t, "revision")), Topic: rapid.StringMatching(`[a-c]{1,3}`).Draw(t, "topic"),
			Key: rapid.StringN(0, 40, maxNameBytes).Draw(t, "key"), Event: rapid.Bool().Draw(t, "event")}
		if value := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "value"); len(value) > 0 {
			c.Value = value
		}
		if !c.Event && c.Value == nil {
			c.Deleted = rapid.Bool().Draw(t, "deleted")
		}
		changes = append(changes, c)
	}
	return changes
}

// Encoded changes are decoded as they were; input that is cut short or has a byte changed is decoded otherwise or refused with
// ErrMalformed.
func TestDecodeEncodedChangesReturnsSameChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawChanges(t)
		b := Encode(changes)
		decoded, err := Decode(b)
		if err != nil || !reflect.DeepEqual(decoded, changes) {
			t.Fatalf("%v %v, want %v", decoded, err, changes)
		}
		if reencoded := Encode(decoded); !bytes.Equal(reencoded, b) {
			t.Fatalf("%x, want %x", reencoded, b)
		}
		prefixBytes := rapid.IntRange(0, len(b)).Draw(t, "prefix bytes")
		if decoded, err := Decode(b[:prefixBytes]); err == nil && len(decoded) > len(changes) || err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("cut at %d: %d changes, %v", prefixBytes, len(decoded), err)
		}
		index := rapid.IntRange(0, len(b)-1).Draw(t, "index")
		b[index] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		if _, err := Decode(b); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
	})
}
