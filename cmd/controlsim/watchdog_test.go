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

// A run that does not end within the limit is reported once, by its scenario and seed; one that ends is not.
func TestWatchdogReportsARunThatDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var overdue []string
		watch := newWatchdog(time.Minute, func(run string) { overdue = append(overdue, run) })
		pass := func(length time.Duration) {
			<-time.After(length)
			synctest.Wait()
		}
		watch.begin("point 1 seed 2")
		pass(59 * time.Second)
		watch.begin("point 1 seed 3")
		pass(59 * time.Second)
		watch.stop()
		pass(time.Hour)
		require.Empty(t, overdue)
		watch.begin("point 1 seed 4")
		pass(time.Hour)
		require.Equal(t, []string{"point 1 seed 4"}, overdue)
	})
}

// The lines of a worker begin and end what the watchdog watches.
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
		require.Empty(t, overdue, "the worker has ended; its status tells why")
	})
}
