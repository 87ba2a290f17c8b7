// Command worker is a stand-in worker for a first run: it answers requests and
// streams by the protocol, and beats at a node. It runs no model.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"rowanshunt/internal/simnet"
)

func main() {
	id := flag.String("id", "i-1", "its id")
	addr := flag.String("addr", "127.0.0.1:9001", "where it listens")
	svc := flag.String("svc", "chat", "its service")
	node := flag.String("node", "127.0.0.1:8146", "ctl address of a node")
	ver := flag.Int("ver", 1, "version of its weights")
	flag.Parse()
	if err := run(*id, *addr, *svc, *node, *ver); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		os.Exit(1)
	}
}

func run(id, addr, svc, node string, ver int) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w := simnet.NewStandIn(id)
	w.SetWeights(ver, 0)
	failed := make(chan error, 1)
	go func() { failed <- http.Serve(ln, w) }()
	heartbeat := "http://" + node + "/-/workers/" + id
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for seq := 1; ; seq++ {
		body, err := json.Marshal(map[string]any{"svc": svc, "addr": addr, "az": "north", "ver": "v1", "slots": w.Slots, "phase": "up", "seq": seq,
			"models": []map[string]any{{"name": "m", "ver": ver}}})
		if err != nil {
			return err
		}
		req, err := http.NewRequest(http.MethodPut, heartbeat, bytes.NewReader(body))
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err != nil {
			fmt.Fprintln(os.Stderr, "worker: beat:", err)
		} else {
			_ = resp.Body.Close()
		}
		select {
		case err := <-failed:
			return err
		case <-tick.C:
		}
	}
}
