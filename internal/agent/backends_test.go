package agent

import "testing"

func TestPolicyAddressesAreStableAndUnique(t *testing.T) {
	x, y := newBackendTable(nil, nil), newBackendTable(nil, nil)
	a, b := x.findOrAdd("s-1"), y.findOrAdd("s-1")
	if a.policyAddr != b.policyAddr {
		t.Error("two agents have different addresses for one backend")
	}
	delete(y.byID, "s-1") // its address stays in byAddr, as if it were that of another ID
	if c := y.findOrAdd("s-1"); c.policyAddr == b.policyAddr {
		t.Error("two backends have one address")
	}
}
