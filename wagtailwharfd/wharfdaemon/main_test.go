package wharfdaemon_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	code := m.Run()
	client.CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}
