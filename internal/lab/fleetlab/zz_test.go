package fleetlab
import ("testing";"fmt")
func TestZZ(t *testing.T) {
	ctx, l := startFleet(t, 4, 3, 4, func(c *Config) {
		c.Classes[1].Most = 300 
	})
	fmt.Println("setup", l.Now())
	wait := l.traffic(ctx, t, 40, 4e9)
	l.runningAt(ctx, t, l.Server(0).ID(), 3)
	l.Server(0).Crash()
	fmt.Println("crash", l.Now(), l.Server(0).ID(), l.Server(0).Service())
	l.RestartServer(ctx, 0)
	wait()
	s := l.seen.all()
	for _, x := range s.Tries {
		if x.Status != 200 || !x.Complete {
			fmt.Println(x.ID, x.Class, x.Agent, x.Began, x.End, x.Status, x.Broken, x.After, len(x.Events), x.Wait, x.Timeout, x.Deadline)
			for _, r := range s.Records { if r.Attempt == x.ID { fmt.Println("    ", r.At, r.Kind, r.Service, r.Instance, r.First, r.Pieces, r.Status, r.Whole) } }
		}
	}
}
