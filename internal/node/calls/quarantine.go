package calls

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/quarantine"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
)

const (
	// maxCrashesPerRequest is how many targets may crash under one caller's request before the
	// entry makes no further attempt.
	maxCrashesPerRequest = 2
	// goneCheckTimeout bounds the connection by which a gate finds out whether its target is gone.
	goneCheckTimeout = 200 * time.Millisecond
	// maxDescribedURIBytes bounds a request's URI in records and events.
	maxDescribedURIBytes = 256
)

// quarantineKeeper drives the quarantine machine: it observes the runs at the local target, finds
// out whether the target crashed, and passes the machine's actions on.
type quarantineKeeper struct {
	now    func() time.Time
	logger *logging.Logger
	// share sends records to all nodes, and persist writes or deletes one on the platform; each
	// must not block.
	share   func([]quarantine.Record)
	persist func(quarantine.Record)
	// enabled is false if calls.quarantine_time is 0.
	enabled bool
	// idle is set while there are no records, so that requests need no lock.
	idle    atomic.Bool
	runs    atomic.Uint64
	crashes atomic.Uint64

	mu      sync.Mutex
	machine *quarantine.Machine

	goneMu sync.Mutex
	// goneSince is when the target was last found gone, zero if never. nextCrash makes the IDs of
	// crashes.
	goneSince time.Time
	crashID   uint64
	nextCrash func() uint64
}

func newQuarantineKeeper(o Options) *quarantineKeeper {
	k := &quarantineKeeper{
		now: o.Now, logger: o.Logger, share: o.ShareQuarantine, persist: o.PersistQuarantine,
		enabled: o.Settings.QuarantineTime > 0, machine: quarantine.New(o.Settings.QuarantineTime),
	}
	if k.share == nil {
		k.share = func([]quarantine.Record) {}
	}
	if k.persist == nil {
		k.persist = func(quarantine.Record) {}
	}
	k.idle.Store(true)
	serial := o.Self.Incarnation
	k.nextCrash = func() uint64 {
		serial++
		return xxhash.Sum64String(fmt.Sprintf("%s/%d", o.Self.ID, serial))
	}
	return k
}

// contentFingerprint hashes what makes two requests the same: method, path with query, body and the
// caller's service. The host stands in it only as far as the route names one, because a caller may
// come to another node. Of a body longer than calls.buffer_bytes it is the first part.
func contentFingerprint(r *http.Request, routeHost, caller string, body *requestBody) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(strings.Join([]string{r.Method, routeHost, r.URL.RequestURI(), caller, ""}, "\x00"))
	_, _ = hash.Write(body.buffered)
	return max(1, hash.Sum64())
}

// refused returns how long the request is in quarantine, and whether it is.
func (k *quarantineKeeper) refused(fingerprint uint64) (time.Duration, bool) {
	if k.idle.Load() || fingerprint == 0 {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Refused(k.now(), fingerprint)
}

// known returns the number of crashes under the request that this node knows of.
func (k *quarantineKeeper) known(fingerprint uint64) int {
	if k.idle.Load() {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Known(fingerprint)
}

// targetRun is one run at the target, as the quarantine sees it.
type targetRun struct {
	keeper    *quarantineKeeper
	id        uint64
	startedAt time.Time
	requestID string
	// ended is set once the end of the run was noted.
	ended bool
}

// start notes that a run begins.
func (k *quarantineKeeper) start(start *wire.CallStart, caller, requestID string) *targetRun {
	r := &targetRun{keeper: k, id: k.runs.Add(1), startedAt: time.Now(), requestID: requestID}
	if !k.enabled {
		return r
	}
	k.step(quarantine.Started{
		Run: r.id, Fingerprint: start.Content, Known: int(start.Crashes),
		Description: quarantine.Description{Method: start.Method, URI: describedURI(start.Uri), Caller: caller},
	})
	return r
}

// describedURI returns the beginning of a URI, as text that a message can carry: a URI may have any
// bytes, and may be cut within a character.
func describedURI(uri string) string {
	return strings.ToValidUTF8(uri[:min(len(uri), maxDescribedURIBytes)], "?")
}

// end notes that the run ended. answered says that the target sent its whole response.
func (r *targetRun) end(answered bool) {
	r.ended = true
	if r.keeper.enabled {
		r.keeper.step(quarantine.Ended{Run: r.id, Answered: answered})
	}
}

// endAfterPanic notes the end of a run that nothing else has ended.
func (r *targetRun) endAfterPanic() {
	if !r.ended {
		r.end(false)
	}
}

// cancel notes that the run was cancelled. The target may still crash under it.
func (r *targetRun) cancel() {
	r.ended = true
	if r.keeper.enabled {
		r.keeper.step(quarantine.Lost{Run: r.id})
	}
}

// lose notes that the connection to the target broke, and reports whether the target crashed.
func (r *targetRun) lose(t *target) bool {
	k := r.keeper
	r.ended = true
	if !k.enabled {
		return false
	}
	k.step(quarantine.Lost{Run: r.id})
	id, crashed := k.crashOf(r, t)
	if crashed {
		k.step(quarantine.TargetCrashed{Crash: id})
	}
	return crashed
}

// crashOf finds out whether the target is gone, and returns the ID of that crash. Nothing listens at
// the address of a process that has ended; one that only broke the connection still listens there.
func (k *quarantineKeeper) crashOf(r *targetRun, t *target) (uint64, bool) {
	k.goneMu.Lock()
	defer k.goneMu.Unlock()
	if !k.goneSince.IsZero() && r.startedAt.Before(k.goneSince) {
		return k.crashID, true // it ran when the target was found gone
	}
	conn, err := net.DialTimeout("tcp", t.Address, goneCheckTimeout)
	if err == nil {
		_ = conn.Close()
		return 0, false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return 0, false
	}
	k.goneSince, k.crashID = time.Now(), k.nextCrash()
	k.crashes.Add(1)
	k.logger.Event(logging.TargetCrashed).Str("instance", t.Instance).Str("request", r.requestID).Send()
	return k.crashID, true
}

// step passes the event to the machine and performs its actions.
func (k *quarantineKeeper) step(event quarantine.Event) {
	k.mu.Lock()
	actions := k.machine.Step(k.now(), event)
	k.idle.Store(k.machine.Empty())
	k.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case quarantine.Share:
			k.share(a.Records)
		case quarantine.Refuse:
			k.logRecord(logging.RequestQuarantined, a.Record)
			if a.Observed {
				k.persist(a.Record)
			}
		case quarantine.Allow:
			k.logRecord(logging.QuarantineEnded, a.Record)
			if a.Observed {
				k.persist(a.Record)
			}
		}
	}
}

func (k *quarantineKeeper) logRecord(event logging.Event, record quarantine.Record) {
	k.logger.Event(event).
		Str("quarantine", FormatFingerprint(record.Fingerprint)).Str("method", record.Description.Method).Str("uri", record.Description.URI).
		Str("caller_service", record.Description.Caller).Int("crashes", int64(len(record.Crashes))).
		Str("until", record.ExpiresAt.UTC().Format(time.RFC3339)).Send()
}

// FormatFingerprint writes a fingerprint as operators name it.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// QuarantineRecords returns all records, and their digest.
func (r *Runner) QuarantineRecords() ([]quarantine.Record, uint64) {
	k := r.quarantine
	k.mu.Lock()
	defer k.mu.Unlock()
	records := k.machine.Records(k.now())
	k.idle.Store(k.machine.Empty())
	return records, k.machine.Digest()
}

// LearnQuarantine merges records of another node or of the platform.
func (r *Runner) LearnQuarantine(records []quarantine.Record) {
	if r.quarantine.enabled && len(records) > 0 {
		r.quarantine.step(quarantine.Learned{Records: records})
	}
}

// LiftQuarantine lets the request through again, and drops the crashes noted with it. It reports
// whether any were.
func (r *Runner) LiftQuarantine(fingerprint uint64) bool {
	if r.quarantine.known(fingerprint) == 0 {
		return false
	}
	r.quarantine.step(quarantine.Lifted{Fingerprint: fingerprint})
	return true
}

// QuarantineStats are counted for metrics.
type QuarantineStats struct {
	// TargetCrashes is how often the local target crashed while it ran calls.
	TargetCrashes uint64
	// Refused is how many requests are in quarantine, and Suspected how many others a crash is
	// noted with.
	Refused, Suspected int
}

// QuarantineStats returns the current counts.
func (r *Runner) QuarantineStats() QuarantineStats {
	stats := QuarantineStats{TargetCrashes: r.quarantine.crashes.Load()}
	records, _ := r.QuarantineRecords()
	for _, record := range records {
		switch {
		case record.Refused():
			stats.Refused++
		case len(record.Crashes) > 0:
			stats.Suspected++
		}
	}
	return stats
}

// refusedByQuarantine is how long a request is in quarantine.
type refusedByQuarantine struct{ wait time.Duration }

// checkQuarantine returns why the request gets no further attempt, or nil.
func (r *Runner) checkQuarantine(c *callerRequest) *refusedByQuarantine {
	if wait, refused := r.quarantine.refused(c.template.Content); refused {
		return &refusedByQuarantine{wait: wait}
	}
	if c.crashes >= maxCrashesPerRequest {
		return &refusedByQuarantine{}
	}
	return c.refusedByGate
}

// stopsAsPlanned reports whether the target has said that it leaves. Its end is no crash then.
func (r *Runner) stopsAsPlanned(t *target) bool {
	current := r.target.Load()
	announced := current != nil && current.Process().Same(t.Process()) && current.State == membership.TargetDraining
	return announced || r.signals.get().Leaving
}

// loseRun notes that the target broke the connection of the run, and reports whether the target
// crashed.
func (r *Runner) loseRun(run *targetRun, t *target) bool {
	if r.stopsAsPlanned(t) {
		run.end(false)
		return false
	}
	return run.lose(t)
}

// quarantineFrame refuses a call in quarantine, or returns nil.
func (r *Runner) quarantineFrame(start *wire.CallStart) *wire.AnswerFrame {
	wait, refused := r.quarantine.refused(start.Content)
	if !refused {
		return nil
	}
	return r.refusalFrame(call.NotRun, call.ReasonQuarantined, min(wait, math.MaxUint32*time.Millisecond))
}
