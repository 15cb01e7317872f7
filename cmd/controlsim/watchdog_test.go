package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A run that does not end within the limit is reported once, with its scenario and seed. A run that ends is not.
func TestWatchdogReportsARunThatDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var overdue []string
		watch := newWatchdog(time.Minute, func(run string) { overdue = append(overdue, run) })
		wait := func(duration time.Duration) {
			<-time.After(duration)
			synctest.Wait()
		}
		watch.begin("point 1 seed 2")
		wait(59 * time.Second)
		watch.begin("point 1 seed 3")
		wait(59 * time.Second)
		watch.stop()
		wait(time.Hour)
		require.Empty(t, overdue)
		watch.begin("point 1 seed 4")
		wait(time.Hour)
		require.Equal(t, []string{"point 1 seed 4"}, overdue)
	})
}

// The watchdog watches the runs between the two lines that a worker writes for each of them.
func TestReportsFeedTheWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var overdue []string
		watch := newWatchdog(time.Minute, func(run string) { overdue = append(overdue, run) })
		h := &hunt{out: &bytes.Buffer{}}
		begins, ends := `{"Begins":true,"Point":6,"Seed":7}`, `{"Point":6,"Seed":7}`
		require.NoError(t, h.readReports(strings.NewReader(begins+"\n"+ends+"\n"), watch))
		<-time.After(time.Hour)
		synctest.Wait()
		require.Empty(t, overdue)
		require.Equal(t, 1, h.tallies[6].runs)
		require.NoError(t, h.readReports(strings.NewReader(fmt.Sprintln(begins)), watch))
		<-time.After(time.Hour)
		synctest.Wait()
		require.Empty(t, overdue, "a worker that has ended is reported by its exit status, not by the watchdog")
	})
}
