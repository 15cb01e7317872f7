package gateway

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/connpool"
	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

func TestOriginForm(t *testing.T) {
	for target, want := range map[string]string{
		"/once/x?y":                 "/once/x?y",
		"//once":                    "//once",
		"http://h.example/once/a%2": "/once/a%2",
		"HTTP://h.example:80/":      "/",
		"http://h.example":          "",
		"http:/h.example/":          "",
		"once/x":                    "",
		"?x=/":                      "",
		"*":                         "",
		"":                          "",
	} {
		t.Run(target, func(t *testing.T) {
			path, err := originForm(target)
			require.Equal(t, want, path)
			if want != "" {
				require.NoError(t, err)
				return
			}
			var invalid *requestError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, http.StatusBadRequest, invalid.status)
		})
	}
}

func TestClientTimeout(t *testing.T) {
	const limit = 10 * time.Second
	for field, want := range map[string]time.Duration{
		"":        limit,
		"2500":    2500 * time.Millisecond,
		"0.5":     500 * time.Microsecond,
		"10001":   limit,
		"1e300":   limit,
		"inf":     limit,
		"nan":     limit,
		"0":       limit,
		"-5":      limit,
		"2500 ms": limit,
	} {
		require.Equal(t, want, clientTimeout(field, limit), "%q", field)
	}
	require.Equal(t, maxRequestTimeout, clientTimeout("1e300", time.Hour))
}

func TestParseTokenCount(t *testing.T) {
	for field, want := range map[string][2]int{
		"":              {0, 0},
		"1460,80":       {1460, 80},
		" 01460 , 80 ":  {1460, 80},
		"1460":          {1460, 0},
		"x,80":          {0, 80},
		"-1,-2":         {0, 0},
		"1460,80,extra": {1460, 0},
	} {
		prompt, output := parseTokenCount(field)
		require.Equal(t, want, [2]int{prompt, output}, "%q", field)
	}
}

func TestParseLoad(t *testing.T) {
	require.Equal(t, &balancer.Load{Running: 3, Waiting: 1, Slots: 64}, parseLoad("3, 1 ,64"))
	for _, field := range []string{"", "3,1", "3,1,64,0", "3,-1,64", "3,x,64", "3,,64"} {
		require.Nil(t, parseLoad(field), "%q", field)
	}
}

func TestIsLocalShortage(t *testing.T) {
	for _, shortage := range []error{connpool.ErrExhausted, syscall.EMFILE, syscall.EADDRNOTAVAIL} {
		require.True(t, isLocalResourceError(errors.Wrap(shortage, "connect")), "%v", shortage)
	}
	require.False(t, isLocalResourceError(syscall.ECONNREFUSED))
}

func TestOutcomeString(t *testing.T) {
	for result, want := range map[outcome]string{
		outcomeAnswered:           "answered",
		outcomeNotSent:            "not sent",
		outcomeNotExecuted:        "not executed",
		outcomeUnknown:            "unknown",
		outcomeClientDisconnected: "client disconnected",
		255:                       "invalid outcome",
	} {
		require.Equal(t, want, result.String())
	}
}
