package view

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

func TestValidate(t *testing.T) {
	validView, _ := InitialView(testPeers("a b c"), tolerateMachines(1))
	for name, change := range map[string]func(v *View){
		"no number":               func(v *View) { v.Number = 0 },
		"no voters":               func(v *View) { v.Voters = nil },
		"too many voters":         func(v *View) { v.Voters = testPeers("a b c d e f g h i j") },
		"no chain":                func(v *View) { v.Chain = nil },
		"unsorted voters":         func(v *View) { v.Voters[0], v.Voters[1] = v.Voters[1], v.Voters[0] },
		"duplicate voter":         func(v *View) { v.Voters[0] = v.Voters[1] },
		"duplicate member":        func(v *View) { v.Chain[0] = v.Chain[1] },
		"member that is no voter": func(v *View) { v.Chain[0].ID = "x" },
		"joined in a later view":  func(v *View) { v.Chain[0].JoinedIn = 2 },
		"no address":              func(v *View) { v.Voters[0].Addr = "" },
		"long ID":                 func(v *View) { v.Voters[2].ID = strings.Repeat("x", 200) },
	} {
		v := validView.Clone()
		require.NoError(t, v.Validate())
		change(&v)
		require.Error(t, v.Validate(), name)
	}
}

// peerWithoutRegion, memberWithoutRegion and viewWithoutRegions have the record format of versions that
// did not store regions.
type (
	peerWithoutRegion struct {
		ID      string `msgpack:"i"`
		Addr    string `msgpack:"a"`
		Zone    string `msgpack:"z"`
		Disk    bool   `msgpack:"d,omitempty"`
		Counted bool   `msgpack:"c,omitempty"`
	}
	memberWithoutRegion struct {
		peerWithoutRegion
		Since uint64
	}
	viewWithoutRegions struct {
		Number uint64
		Voters []peerWithoutRegion
		Chain  []memberWithoutRegion
		Memory bool
	}
)

// Records with and without regions are readable by this version and by versions that do not store regions.
func TestFormatWithoutRegions(t *testing.T) {
	withoutRegions, _ := InitialView(testPeers("a b c"), tolerateMachines(1))
	formerView := viewWithoutRegions{Number: 1}
	for _, voter := range withoutRegions.Voters {
		peer := peerWithoutRegion{voter.ID, voter.Addr, voter.Zone, voter.Disk, voter.Counted}
		formerView.Voters = append(formerView.Voters, peer)
		formerView.Chain = append(formerView.Chain, memberWithoutRegion{peer, 1})
	}
	raw, err := msgpack.Marshal(&withoutRegions)
	require.NoError(t, err)
	formerRaw, err := msgpack.Marshal(&formerView)
	require.NoError(t, err)
	var decoded View
	require.Equal(t, formerRaw, raw, "the record of a view without regions is unchanged")
	require.NoError(t, msgpack.Unmarshal(formerRaw, &decoded))
	require.NoError(t, decoded.Validate())
	require.True(t, withoutRegions.Equal(decoded))

	// A version that does not store regions reads a record with regions.
	withRegions, _ := InitialView(testPeersAt("r/a/1 r/b/2 s/c/3"), tolerateMachines(1))
	require.False(t, withoutRegions.Equal(withRegions))
	raw, err = msgpack.Marshal(&withRegions)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(raw, &formerView))
	require.Equal(t, "c", formerView.Chain[2].Zone)
	require.NoError(t, msgpack.Unmarshal(raw, &decoded))
	require.True(t, withRegions.Equal(decoded))
}

// Any two quorums of the same voters overlap, so half of an even number of voters is no quorum.
func TestQuorum(t *testing.T) {
	t.Parallel()
	for voters, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 6: 4, 7: 4, 8: 5, 9: 5} {
		require.Equal(t, want, View{Voters: make([]Peer, voters)}.Quorum(), "%d voters", voters)
	}
}
