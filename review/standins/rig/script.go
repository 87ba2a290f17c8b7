package rig

import (
	"fmt"
	"os"
)

// What a script exits with.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Script is one case, in a deployment with so many edge nodes without a disk and so many
// stores. Body tells whether the rule was broken, or why the case could not run; trouble
// is false with TROUBLE=0.
type Script struct {
	More, Stores int
	Body         func(c *Cluster, record *Record, trouble bool) (broken bool, err error)
}

// Run runs the case, writes its record to path and gives the code to exit with.
func (s *Script) Run(path string) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return Failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Logf("trouble %v", trouble)
	c, err := NewCluster(record, s.More, s.Stores)
	if err != nil {
		fmt.Println(err)
		return Failed
	}
	defer c.Close()
	broken, err := s.Body(c, record, trouble)
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
