package scenario

import (
	"context"
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gooseberryroad/gooseberryroad/cli"
	"github.com/gooseberryroad/gooseberryroad/document"
)

var update = flag.Bool("update", false, "rewrite the expected output in the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gooseberryroad": func() {
			os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			s := newSession(e)
			e.Values[sessionKey{}] = s
			e.Setenv("account_sha256", document.HashKey(accountKey))
			e.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":      cmdStart,
			"daemon":     cmdDaemon,
			"sigkill":    cmdKill,
			"freeze":     cmdSignal(sigStop),
			"thaw":       cmdSignal(sigCont),
			"term":       cmdSignal(sigTerm),
			"await":      cmdAwait,
			"fault":      cmdFault,
			"apply":      cmdApply,
			"inforce":    cmdInForce,
			"send":       cmdSend,
			"sendcursor": cmdSendCursor,
			"reached":    cmdReached,
			"drop":       cmdDrop,
			"answer":     cmdAnswer,
			"serving":    cmdServing,
			"postasync":  cmdPostAsync,
			"resend":     cmdResend,
			"posted":     cmdPosted,
			"calls":      cmdCalls,
			"post":       cmdPost,
			"runs":       cmdRuns,
			"notready":   cmdNotReady,
		},
	})
}
