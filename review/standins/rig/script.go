package rig

import (
	"flag"
	"fmt"
	"os"
)

// What a script exits with.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Script runs a case in a deployment with so many edge nodes without a disk and so many
// stores: body tells whether the rule was broken, or why the case could not
// run. trouble is false with TROUBLE=0.
func Script(more, stores int, body func(c *Cluster, record *Record, trouble bool) (broken bool, err error)) {
	path := flag.String("record", "record.txt", "the record's file")
	flag.Parse()
	os.Exit(run(*path, more, stores, body))
}

func run(path string, more, stores int, body func(*Cluster, *Record, bool) (bool, error)) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return Failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Logf("trouble %v", trouble)
	c, err := NewCluster(record, more, stores)
	if err != nil {
		fmt.Println(err)
		return Failed
	}
	defer c.Close()
	broken, err := body(c, record, trouble)
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
