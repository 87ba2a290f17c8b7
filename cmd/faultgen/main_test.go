package main

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"faultgen": func() {
			code, err := run(context.Background(), os.Args[1:])
			if err != nil {
				fmt.Fprintln(os.Stderr, "faultgen:", err)
			}
			os.Exit(code)
		},
	})
}

func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
