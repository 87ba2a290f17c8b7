package rpc

import "testing"

func TestCounters(t *testing.T) {
	var none *Counters
	none.asked("x", 1, 1) // a node without a counters counts nothing
	none.answered("x", 1, 1)
	c := NewCounters()
	c.asked("a", 10, 20)
	c.asked("a", 1, 0)
	c.answered("b", 100, 200)
	line, total := c.Drain()
	if line != "b:0/1/200/100,a:2/0/11/20" || total != (Total{Calls: 3, Bytes: 331}) {
		t.Errorf("%s %+v", line, total)
	}
	if line, total := c.Drain(); line != "" || total.Calls != 0 {
		t.Errorf("drained twice: %s %+v", line, total)
	}
}
