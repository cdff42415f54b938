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

// recordingHost is a follower's Host that records the calls of its methods.
type recordingHost struct {
	requestedParents []int
	lastRequest      Request
	appliedChanges   []Change
	missedRanges     []missedRange
	alarmAt          Time
}

// missedRange is the arguments of a call of EventsMissed.
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

// fireAlarm calls the follower's Alarm at the time of the alarm. It returns the time of the alarm that is set afterwards, which is the
// same unless the call set another.
func (h *recordingHost) fireAlarm(f *Follower) (now Time) { f.Alarm(h.alarmAt); return h.alarmAt }
func (h *recordingHost) lastParent() int                  { return h.requestedParents[len(h.requestedParents)-1] }

func purgeEvent(revision uint64, key string) Change {
	return Change{Revision: revision, Topic: "purge", Key: key, Event: true}
}
func configValue(revision uint64, key, value string) Change {
	return Change{Revision: revision, Topic: "configuration", Key: key, Value: []byte(value)}
}

var defaultConfig = Config{ParentCount: 5, HomeParentCount: 2, MinRequestInterval: 250 * lease.Millisecond, RetryBackoff: 100 * lease.Millisecond, MaxParentAge: 4700 * lease.Millisecond, MaxResponseBytes: 7700}

// newSourceLog returns the log of an epoch's source. It contains the changes, with revisions from 1.
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

// followUntilCurrent lets a follower poll a log until a response brings no changes, and returns the number of requests.
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
			t.Fatalf("response has %d bytes of changes, want at most %d", respBytes, h.lastRequest.MaxBytes)
		}
		if err := f.HandleResponse(now, h.lastRequest.ID, resp); err != nil {
			t.Fatal(err)
		}
		if f.Position() == previousPosition && !hadStagedState && f.stagedState == nil || requests > 1000 {
			return requests
		}
	}
}

// Two logs of the same epoch can differ in one change, for example if a cluster is founded twice with the same token. A child that
// switches from one to the other must detect this by the chain, replace its state and report all events as missed. Without the
// chain it keeps a wrong state.
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
			t.Error("state is right without comparing chains, want it wrong")
		}
	}
}

// A follower returns an error for a malformed response, keeps its position, state and age, and polls the next parent. It can follow a
// valid parent afterwards.
func TestFollowerMalformedResponseKeepsStateAndSwitchesParent(t *testing.T) {
	l := newSourceLog(t, 7, 1<<10, configValue(0, "a", "1"), configValue(0, "b", "2"), purgeEvent(0, "x"))
	for name, corrupt := range map[string]func(resp *Response){
		"first change missing":         func(resp *Response) { resp.Changes = resp.Changes[1:] },
		"last change missing":          func(resp *Response) { resp.Changes = resp.Changes[:1] },
		"change altered":               func(resp *Response) { resp.Changes[1].Key = "other" },
		"change duplicated":            func(resp *Response) { resp.Changes = append(resp.Changes, resp.Changes[1]) },
		"other starting revision":      func(resp *Response) { resp.From-- },
		"other epoch":                  func(resp *Response) { resp.Epoch++ },
		"other chain":                  func(resp *Response) { resp.Chain++ },
		"no topic":                     func(resp *Response) { resp.Changes[0].Topic = "" },
		"value too long":               func(resp *Response) { resp.Changes[0].Value = make([]byte, maxValueBytes+1) },
		"negative age":                 func(resp *Response) { resp.Age = -1 },
		"state of an earlier epoch":    func(resp *Response) { resp.Buckets, resp.Epoch, resp.Complete = map[int][]Change{}, 6, true },
		"state of an earlier revision": func(resp *Response) { resp.Buckets, resp.Revision, resp.Complete = map[int][]Change{}, 2, true },
		"key in the wrong bucket": func(resp *Response) {
			resp.Buckets = map[int][]Change{bucketOf(stateKey(configValue(0, "a", ""))) ^ 1: {configValue(1, "a", "1")}}
		},
		"event in the state": func(resp *Response) {
			resp.Buckets = map[int][]Change{bucketOf(stateKey(purgeEvent(0, "x"))): {purgeEvent(1, "x")}}
		},
		"ring that ends at another position": func(resp *Response) { resp.Buckets, resp.Ring = map[int][]Change{}, []Change{purgeEvent(1, "x")} },
		"changes with BelowFloor set":        func(resp *Response) { resp.BelowFloor = true },
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
			t.Errorf("%s: error %v, want ErrMalformed or ErrEpoch", name, err)
		}
		ageAfter, _ := f.Age(now)
		if f.Position() != position || !reflect.DeepEqual(f.State(), state) || len(h.appliedChanges) != appliedBefore || ageBefore != ageAfter || f.stagedState != nil {
			t.Errorf("%s: position changed from %+v to %+v, state is %v, %d changes applied, age changed from %d to %d", name, position, f.Position(), f.State(), len(h.appliedChanges)-appliedBefore, ageBefore, ageAfter)
		}
		if h.fireAlarm(f); h.lastParent() == parent {
			t.Errorf("%s: the same parent is polled again, want the next", name)
		}
		h.followUntilCurrent(t, f, extended)
		if f.Position() != extended.Position() {
			t.Errorf("%s: position %+v after polling a valid parent, want %+v", name, f.Position(), extended.Position())
		}
	}
}

// A child that is far behind receives all changes from its position on, in responses of at most its own MaxBytes. It doesn't delay
// another child of the same parent.
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
				t.Errorf("quick child sent %d requests for 500 changes, want at most %d", requests, want)
			}
		}
	}
	if requests, want := slowHost.followUntilCurrent(t, slow, l), eventCount/(slowConfig.MaxResponseBytes/eventBytes)+2; requests > want {
		t.Errorf("slow child sent %d requests, want at most %d", requests, want)
	}
	for _, h := range []*recordingHost{slowHost, quickHost} {
		for i, c := range h.appliedChanges {
			if c.Revision != uint64(i+1) || len(h.appliedChanges) != eventCount {
				t.Fatalf("change %d of %d has revision %d", i, len(h.appliedChanges), c.Revision)
			}
		}
	}
}

// A child whose position is below the floor of the parent's ring fetches the buckets of the state that differ, installs them in one
// step, and reports the events that it missed.
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
		t.Error("age is unknown after a complete response")
	}
}

// A follower polls the parents of its own region first, then others. After ten seconds with a parent of another region it tries its
// own region again. Without any response, its backoff limits the rate of requests.
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
		t.Errorf("first parents polled are %v, first response after %d ms; want [0 1 2 3], within 2000 ms", h.requestedParents[:4], firstResponseAt/lease.Millisecond)
	}
	homeRequests := 0
	for _, parent := range h.requestedParents[4:] {
		if parent == 0 {
			homeRequests++
		}
	}
	if homeRequests != 2 {
		t.Errorf("own region polled %d times in 30 s, want 2; parents polled: %v", homeRequests, h.requestedParents)
	}
	requestsBefore := len(h.requestedParents)
	for now := h.fireAlarm(f); now < 60_000*lease.Millisecond; now = h.fireAlarm(f) {
		f.HandleTimeout(now, h.lastRequest.ID)
	}
	if requests := len(h.requestedParents) - requestsBefore; requests > 40 {
		t.Errorf("%d requests in 30 s without any response, want at most 40", requests)
	}
}

// drawChanges draws up to 20 changes, some of which aren't consecutive.
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

// Decode returns the changes that were encoded. For input that is truncated or has a byte altered, it returns other changes or
// ErrMalformed, but doesn't panic.
func TestDecodeEncodedChangesReturnsSameChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawChanges(t)
		b := Encode(changes)
		decoded, err := Decode(b)
		if err != nil || !reflect.DeepEqual(decoded, changes) {
			t.Fatalf("decoded %v, error %v; want %v", decoded, err, changes)
		}
		if reencoded := Encode(decoded); !bytes.Equal(reencoded, b) {
			t.Fatalf("encoding of the decoded changes is %x, want %x", reencoded, b)
		}
		prefixBytes := rapid.IntRange(0, len(b)).Draw(t, "prefix bytes")
		if decoded, err := Decode(b[:prefixBytes]); err == nil && len(decoded) > len(changes) || err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("input truncated to %d bytes: %d changes, error %v", prefixBytes, len(decoded), err)
		}
		index := rapid.IntRange(0, len(b)-1).Draw(t, "index")
		b[index] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		if _, err := Decode(b); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
	})
}
