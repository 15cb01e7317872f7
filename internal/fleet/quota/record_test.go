package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// memoryDisk keeps the record of a member like its disk.
type memoryDisk struct {
	mu     sync.Mutex
	record []byte
	writes int
	err    error         // result of the next writes
	stall  chan struct{} // writes wait until it is closed; nil if they need not wait
}

func (d *memoryDisk) save(raw []byte) error {
	d.mu.Lock()
	stall, err := d.stall, d.err
	d.writes++
	d.mu.Unlock()
	if stall != nil {
		<-stall
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record = append([]byte(nil), raw...)
	return nil
}

func (d *memoryDisk) newest(t *testing.T) *record {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	saved, err := decodeRecord(d.record)
	require.NoError(t, err)
	return saved
}

// soloCore is a core with this process as its only member, without a network.
type soloCore struct{ unconfirmed atomic.Bool }

func (*soloCore) IsMember() bool        { return true }
func (c *soloCore) Confirmed() bool     { return !c.unconfirmed.Load() }
func (*soloCore) MemberAddrs() []string { return []string{"self"} }
func (*soloCore) HolderAddrs() []string { return []string{"self"} }
func (*soloCore) AgentAddrs() []string  { return nil }
func (*soloCore) PublishDeputy(bool)    {}

// startMember returns the broker of a member that has just started with what is on its disk.
func startMember(t *testing.T, disk *memoryDisk) *Broker {
	t.Helper()
	options := Options{
		Bounds: testBounds, SelfAddr: "self", Core: &soloCore{}, SaveRecord: disk.save, SavedRecord: disk.record,
	}
	broker := NewBroker(options)
	document, err := config.Parse([]byte(replaceRate("10000")))
	require.NoError(t, err)
	broker.Update(document)
	_, _ = broker.divisor()
	return broker
}

// runFor runs a broker for some time on the test's fake clock.
func runFor(t *testing.T, broker *Broker, length time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	require.NoError(t, broker.Run(ctx))
}

// admits reports whether a broker without other holders admits an amount.
func admits(broker *Broker, amount float64) bool {
	return broker.admit(context.Background(), "t", amount).Verdict == Admitted
}

// level returns the level of the only tenant's share.
func level(broker *Broker) float64 {
	broker.admit(context.Background(), "t", 0) // makes the share accrue
	return broker.Report().Shares[0].Level
}

func TestShareOutlivesItsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &memoryDisk{}
		broker := startMember(t, disk)
		require.True(t, admits(broker, 1), "the first request sets the divisor")
		start := level(broker)
		runFor(t, broker, time.Minute)
		full := level(broker)
		require.Greater(t, full, 1.9*start)

		restarted := startMember(t, disk)
		restored := level(restarted)
		require.LessOrEqual(t, restored, full)
		require.Greater(t, restored, 0.4*full)
		require.False(t, admits(restarted, 0.1*full), "nothing can be spent before a new record is on disk")
		runFor(t, restarted, 2*recordInterval)
		require.True(t, admits(restarted, 0.2*full))
	})
}

// Many restarts do not increase what is admitted, though each process spends all that it can.
func TestRestartsAddNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &memoryDisk{}
		broker := startMember(t, disk)
		require.True(t, admits(broker, 0))
		runFor(t, broker, time.Minute)
		held, spent := level(broker), 0.0
		begin := time.Now()
		for range 50 {
			broker = startMember(t, disk)
			runFor(t, broker, recordInterval+recordInterval/2)
			for admits(broker, 100) {
				spent += 100
			}
		}
		brought := time.Since(begin).Seconds() * 10_000 * (1 + rateMargin)
		require.LessOrEqual(t, spent, held+brought)
		require.Greater(t, spent, 0.3*held)
	})
}

// A record in an unknown or damaged format counts as none: the shares start as on an empty disk, and the member waits
// for a deputy that an earlier process may have appointed.
func TestStartWithoutRecord(t *testing.T) {
	for name, raw := range map[string][]byte{
		"none": nil, "empty": {}, "of another format": {9, 1, 2}, "torn": {recordFormat, 0x82, 0xa1},
	} {
		t.Run(name, func(t *testing.T) {
			broker := startMember(t, &memoryDisk{record: raw})
			require.True(t, admits(broker, 1))
			tolerance := testBounds.tolerance(Limit{RatePerS: 10_000})
			require.InDelta(t, startFraction*tolerance/2, level(broker), 100)
			require.Equal(t, deputyTerm+deputyMargin, broker.deputy.termEnd)
		})
	}
}

// The appointment of a deputy is on disk before it is answered.
func TestDeputyIsRecordedBeforeItIsAppointed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &memoryDisk{}
		broker := startMember(t, disk)
		broker.deputy = deputy{}
		disk.stall = make(chan struct{})
		answered := make(chan int)
		go func() {
			response, _ := broker.handleDeputize(context.Background(), &deputizeRequest{Addr: "a"})
			answered <- response.Divisor
		}()
		synctest.Wait()
		other, err := broker.handleDeputize(context.Background(), &deputizeRequest{Addr: "b"})
		require.NoError(t, err)
		require.Equal(t, &deputizeResponse{Soon: true}, other)
		require.Empty(t, broker.Report().Deputy)
		close(disk.stall)
		require.Equal(t, 2, <-answered)
		require.Equal(t, "a", disk.newest(t).Deputy)

		writes := disk.writes
		response, err := broker.handleDeputize(context.Background(), &deputizeRequest{Addr: "a", Renewal: true})
		require.NoError(t, err)
		require.Equal(t, 2, response.Divisor)
		require.Equal(t, writes, disk.writes, "extending the term needs no record")
	})
}

func TestDeputyIsNotAppointedWithoutARecord(t *testing.T) {
	disk := &memoryDisk{err: errors.New("disk full")}
	broker := startMember(t, disk)
	broker.deputy = deputy{}
	response, err := broker.handleDeputize(context.Background(), &deputizeRequest{Addr: "a"})
	require.NoError(t, err)
	require.Equal(t, &deputizeResponse{Soon: true}, response)
	divisor, _ := broker.divisor()
	require.Equal(t, 1, divisor)
	disk.err = nil
	response, err = broker.handleDeputize(context.Background(), &deputizeRequest{Addr: "b"})
	require.NoError(t, err)
	require.Equal(t, 2, response.Divisor)
}

// After a restart the member appoints the recorded deputy again at once, even if that has restarted as well, and no
// other agent before its term has certainly ended. After that the record names no deputy.
func TestRecordedDeputyKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &memoryDisk{}
		first := startMember(t, disk)
		first.deputy = deputy{}
		_, err := first.handleDeputize(context.Background(), &deputizeRequest{Addr: "a"})
		require.NoError(t, err)

		restarted := startMember(t, disk)
		divisor, ok := restarted.divisor()
		require.True(t, ok)
		require.Equal(t, 2, divisor)
		otherResponse, err := restarted.handleDeputize(context.Background(), &deputizeRequest{Addr: "b"})
		require.NoError(t, err)
		require.Equal(t, &deputizeResponse{}, otherResponse)
		reappointed, err := restarted.handleDeputize(context.Background(), &deputizeRequest{Addr: "a"})
		require.NoError(t, err)
		require.Equal(t, 2, reappointed.Divisor)

		runFor(t, restarted, deputyTerm+deputyMargin+2*recordInterval)
		require.Empty(t, disk.newest(t).Deputy)
		divisor, _ = startMember(t, disk).divisor()
		require.Equal(t, 1, divisor, "no half is reserved for a deputy")
	})
}

// A member without requests writes nothing, and after a large record it waits longer for the next one.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &memoryDisk{}
		broker := startMember(t, disk)
		require.True(t, admits(broker, 0))
		runFor(t, broker, time.Minute)
		disk.writes = 0
		runFor(t, broker, time.Minute)
		require.Zero(t, disk.writes)

		many := map[string]Limit{}
		for i := range 20_000 {
			many[string(rune('a'+i%20))+time.Duration(i).String()] = Limit{RatePerS: 1000}
		}
		broker.mu.Lock()
		broker.ledger.SetLimits(broker.now(), many)
		broker.mu.Unlock()
		runFor(t, broker, 20*time.Second)
		require.Positive(t, disk.writes)
		require.Less(t, float64(disk.writes*len(disk.record)), 1.2*20*recordBytesPerS+float64(len(disk.record)))
	})
}

// While writes to the disk fail, only a part of the share is held back.
func TestShareWithoutRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &memoryDisk{}
		broker := startMember(t, disk)
		require.True(t, admits(broker, 0))
		runFor(t, broker, time.Minute)
		full := level(broker)
		disk.err = errors.New("disk full")
		runFor(t, broker, time.Second)
		spent := 0.0
		for admits(broker, 100) {
			spent += 100
		}
		assert.Greater(t, spent, 0.5*full)
		runFor(t, broker, time.Second)
		assert.True(t, admits(broker, 4_000), "what a half share gains can still be spent")
	})
}

// On the first start of a fleet no earlier process can have appointed a deputy.
func TestFirstStartKeepsNothingBack(t *testing.T) {
	broker := NewBroker(Options{Bounds: testBounds, SelfAddr: "self", Core: &soloCore{}, FirstStart: true})
	divisor, ok := broker.divisor()
	require.True(t, ok)
	require.Equal(t, 1, divisor)
	response, err := broker.handleDeputize(context.Background(), &deputizeRequest{Addr: "a"})
	require.NoError(t, err)
	require.Equal(t, 2, response.Divisor)
}
