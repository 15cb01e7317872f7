package quota

import (
	"context"
	"encoding/hex"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// newMember returns one of the two members of a core, and the level of its share of the tenant "t".
func newMember(t *testing.T) (member *testProcess, level float64) {
	member = newTestFleet(t, 2, 0, smallQuota()).all[0]
	return member, startTotal() / 2
}

// begin starts a gathering at a member that has already collected a part of its amount.
func (p *testProcess) begin(amount, collected float64, rank uint64) *gathering {
	g := newGathering("t", amount, collected)
	g.rank = rank
	p.broker.mu.Lock()
	defer p.broker.mu.Unlock()
	p.broker.gatherings["t"] = g
	return g
}

// drawOnce draws from a member as another holder, without waiting for more.
func (p *testProcess) drawOnce(amount float64, rank uint64) (drawn float64, arrived <-chan struct{}) {
	response, arrived := p.broker.drawForOther(
		&drawRequest{Tenant: "t", Amount: amount, Rank: rank, Addr: "other"}, 2, 0)
	return response.Amount, arrived
}

// If two holders that each have a part of what is left gather for one tenant, one of them gets all of it.
func TestOneOfTwoGatheringsSucceeds(t *testing.T) {
	for range 10 {
		fleet := newTestFleet(t, 2, 0, smallQuota())
		verdicts := make([]Verdict, 2)
		var both sync.WaitGroup
		for i, member := range fleet.all {
			both.Go(func() {
				verdicts[i] = member.client.Admit(context.Background(), "t", 0.7*startTotal()).Verdict
			})
		}
		both.Wait()
		require.ElementsMatch(t, []Verdict{Admitted, Exhausted}, verdicts)
	}
}

func TestGatheringYieldsToAHigherRank(t *testing.T) {
	member, level := newMember(t)
	g := member.begin(5000, 1000, 5)
	drawn, arrived := member.drawOnce(level+400, 6)
	assert.InDelta(t, level+400, drawn, 1)
	assert.Nil(t, arrived, "the other holder has what it needs")
	assert.InDelta(t, 600, g.collected, 1)
	assert.InDelta(t, 4400, member.broker.collect(g, draw{}), 1)
	assert.Equal(t, []string{"other"}, g.drawAgain, "the other holder may have some left")
}

func TestGatheringKeepsWhatALowerRankWants(t *testing.T) {
	member, level := newMember(t)
	g := member.begin(5000, 1000, 5)
	drawn, arrived := member.drawOnce(level+400, 4)
	assert.InDelta(t, level, drawn, 1)
	assert.InDelta(t, 1000, g.collected, 0)
	assert.Equal(t, (<-chan struct{})(g.done), arrived, "more may be available once the gathering has ended")
	member.broker.finishGathering(g, true)
	<-arrived
	drawn, _ = member.drawOnce(level+400, 4)
	assert.InDelta(t, 1000, drawn, 1, "the amount that the gathering returned")
}

// A gathering that has enough or has failed gives nothing away.
func TestCompleteGatheringYieldsNothing(t *testing.T) {
	enough := newGathering("t", 100, 40)
	enough.rank = 5
	require.Zero(t, enough.collect(60))
	require.Zero(t, enough.yield(10, 6, "other"))

	member, _ := newMember(t)
	member.drawOnce(startTotal(), 1) // all that the share has
	failed := member.begin(5000, 1000, 5)
	missing, drawAgain := member.broker.collectFromShare(failed)
	require.InDelta(t, 4000, missing, 1)
	require.Empty(t, drawAgain)
	require.Zero(t, failed.yield(10, 6, "other"))

	var none *gathering
	require.Zero(t, none.yield(10, 6, "other"))
}

// A draw that gets too little is answered once the late draws of the holder have arrived.
func TestDrawWaitsForLateDraws(t *testing.T) {
	member, level := newMember(t)
	draws := make(chan draw, 2)
	member.broker.returnLate("t", draws, 1)
	member.broker.returnLate("t", draws, 1)
	drawn, arrived := member.drawOnce(level+1000, 1)
	require.InDelta(t, level, drawn, 1)
	require.NotNil(t, arrived)

	response := make(chan *drawResponse, 1)
	go func() {
		answer, err := member.broker.handleDraw(context.Background(),
			&drawRequest{Tenant: "t", Amount: 1000, Rank: 1, Addr: "other"})
		assert.NoError(t, err)
		response <- answer
	}()
	draws <- draw{amount: 400}
	draws <- draw{amount: 600}
	<-arrived
	require.InDelta(t, 1000, (<-response).Amount, 2)
	require.Empty(t, member.broker.lateDraws)
}

// A holder that gives too little names another holder that drew from it recently.
func TestHolderNamesARecentDrawer(t *testing.T) {
	member, level := newMember(t)
	ask := func(addr string, amount float64) string {
		request := &drawRequest{Tenant: "t", Amount: amount, Rank: 1, Addr: addr}
		response, _ := member.broker.drawForOther(request, 2, 0)
		return response.Drawer
	}
	require.Empty(t, ask("first", level), "no holder drew before")
	require.Empty(t, ask("first", 1000), "no other holder did")
	require.Equal(t, "first", ask("second", 1000))
	require.Empty(t, ask("third", 0), "the third holder gets what it asked for")
	require.Equal(t, "third", ask("second", 1000))
	ask("", 1000)
	require.Empty(t, ask("second", 1000), "an earlier program sends no address, and the last one is the caller's own")
	document, err := config.Parse([]byte(`{"revision":2,"services":[],"routes":[]}`))
	require.NoError(t, err)
	member.broker.Update(document)
	require.Empty(t, member.broker.recentDraws)
}

func TestHoldersDrawnFromAgainAreBounded(t *testing.T) {
	g := newGathering("t", 100, 0)
	for _, addr := range []string{"", "self", "first", "first", "second", "third"} {
		g.addDrawer(addr, "self")
	}
	require.Equal(t, []string{"first", "second"}, g.drawAgain)
}

// An amount that another holder gives after the timeout of the draw is not lost.
func TestDrawThatIsAnsweredTooLate(t *testing.T) {
	fleet := newTestFleet(t, 1, 0, smallQuota())
	member := fleet.all[0]
	release := make(chan struct{})
	holder := serveCall(t, callDraw, func(context.Context, *drawRequest) (*drawResponse, error) {
		<-release
		return &drawResponse{Amount: 400}, nil
	})
	member.drawOnce(0, 1) // starts the share
	drawn := member.broker.drawFrom(holder, &drawRequest{Tenant: "t", Amount: 1000})
	require.Equal(t, draw{}, drawn)
	before := member.broker.Report().Shares[0].Level
	close(release)
	require.Eventually(t, func() bool {
		return member.broker.Report().Shares[0].Level >= before+400
	}, 5*time.Second, time.Millisecond)
}

// An amount that was drawn for a caller that is gone is returned to the share.
func TestDrawOfACallerThatIsGone(t *testing.T) {
	member, level := newMember(t)
	member.begin(5000, 1000, 5)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := member.broker.handleDraw(gone, &drawRequest{Tenant: "t", Amount: level + 400, Rank: 4, Addr: "other"})
	require.ErrorIs(t, err, context.Canceled)
	require.InDelta(t, level, member.broker.Report().Shares[0].Level, 1)
}

// A request is admitted if the late draws of the holder bring enough for it to the local share.
func TestGatheringWaitsForItsHoldersLateDraws(t *testing.T) {
	member, _ := newMember(t)
	member.drawOnce(0, 1) // starts the share
	draws := make(chan draw, 1)
	member.broker.returnLate("t", draws, 1)
	draws <- draw{amount: startTotal()}
	require.Equal(t, Admitted, member.client.Admit(context.Background(), "t", 1.5*startTotal()).Verdict)
}

// A client rejects a request only once the late answers to the tenant's earlier calls have arrived. In this test they
// arrive after the holder has answered.
func TestClientWaitsForLateAnswers(t *testing.T) {
	const amount = 1000
	fleet := newTestFleet(t, 0, 1, smallQuota())
	client := fleet.all[0].client
	answers := make(chan admitResponse, 2)
	holder := serveCall(t, callAdmit, func(ctx context.Context, _ *admitRequest) (*admitResponse, error) {
		context.AfterFunc(ctx, func() { answers <- admitResponse{Verdict: Admitted} })
		return &admitResponse{Verdict: Exhausted}, nil
	})
	fleet.members = []string{holder}
	for range 10 {
		client.returnLate(&admitRequest{Tenant: "t", Amount: amount}, answers, 2)
		answers <- admitResponse{Verdict: Unavailable}
		require.Equal(t, Admitted, client.Admit(context.Background(), "t", amount).Verdict)
	}
	require.Empty(t, client.lateAnswers)
}

// serveCall serves one call at an address of its own and returns the address.
func serveCall[Request, Response any](
	t *testing.T, name string, handler func(context.Context, *Request) (*Response, error),
) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	table := rpc.NewMux()
	rpc.HandleUnary(table, name, handler)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = rpc.Serve(ctx, listener, table, rpc.ServerOptions{}) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	return listener.Addr().String()
}

// The answer of an exhausted holder does not decide as long as another holder that was asked may admit the request.
func TestExhaustedHolderWaitsForTheOthers(t *testing.T) {
	member, _ := newMember(t)
	rejection := admitResponse{Verdict: Exhausted}
	for name, c := range map[string]struct {
		answers []admitResponse
		want    Verdict
	}{
		"another admits":            {[]admitResponse{{Verdict: Unavailable}, {Verdict: Admitted}}, Admitted},
		"none admits":               {[]admitResponse{{Verdict: Unavailable}, {Verdict: Exhausted}}, Exhausted},
		"the other does not answer": {nil, Exhausted},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			answers := make(chan admitResponse, 2)
			for _, answer := range c.answers {
				answers <- answer
			}
			if len(c.answers) == 0 {
				cancel()
			}
			pending := 2
			require.Equal(t, c.want, member.client.awaitOthers(ctx, rejection, answers, &pending).Verdict)
			require.Equal(t, 2-len(c.answers), pending)
		})
	}
}

func TestLateAnswersAreBounded(t *testing.T) {
	member, _ := newMember(t)
	var late []*lateAnswers
	for range 2 * maxLateAnswers {
		late = append(late, member.client.beginLate("t"))
	}
	require.Len(t, member.client.lateAnswers["t"], maxLateAnswers)
	for _, answers := range late {
		member.client.endLate("t", answers)
	}
	require.Empty(t, member.client.lateAnswers)
}

// A draw by an earlier version of the program has no rank: it gets what the share has, and nothing from a gathering.
func TestDrawOfAnEarlierProgram(t *testing.T) {
	const encoded = "83a174a174a161cb40d3880000000000a178cb0000000000000000" // t: "t", a: 20000, x: 0
	raw, err := hex.DecodeString(encoded)
	require.NoError(t, err)
	var request drawRequest
	require.NoError(t, msgpack.Unmarshal(raw, &request))
	require.Equal(t, drawRequest{Tenant: "t", Amount: 20000}, request)
	member, level := newMember(t)
	g := member.begin(50000, 1000, 1)
	response, _ := member.broker.drawForOther(&request, 2, 0)
	require.InDelta(t, level, response.Amount, 1)
	require.InDelta(t, 1000, g.collected, 0)
}
