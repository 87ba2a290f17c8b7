package rig

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// What a script exits with.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// timeLimit is below the 120 s that a script may take.
const timeLimit = 100 * time.Second

// outcome is what a case's body returned.
type outcome struct {
	broken bool
	err    error
}

// Case tells whether the rule was broken, or why it could not run; trouble is false with
// TROUBLE=0.
type Case func(c *Cluster, record *Record, trouble bool) (broken bool, err error)

// Execute runs a case, writes its record to path and gives the code to exit with.
func Execute(path string, body Case) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return Failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Logf("trouble %v", trouble)
	c, err := NewCluster(record)
	if err != nil {
		fmt.Println(err)
		return Failed
	}
	defer c.Close()
	result := make(chan outcome, 1)
	go func() {
		broken, err := body(c, record, trouble)
		result <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var got outcome
	select {
	case got = <-result:
	case <-stop:
		got.err = errors.New("it was stopped")
	case <-time.After(timeLimit):
		got.err = errors.New("it took too long")
	}
	return verdict(record, got.broken, got.err)
}

// verdict writes how a case ended, and gives the code to exit with.
func verdict(record *Record, broken bool, err error) int {
	switch {
	case err != nil:
		record.Logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return Failed
	case broken:
		record.Logf("verdict: the rule is broken")
		fmt.Println("the rule is broken")
		return Broken
	}
	record.Logf("verdict: the rule held")
	fmt.Println("the rule held")
	return Held
}
