// Package clustertest tests whole systems: nodes of both roles in a simulated network,
// with simulated workers, in fake time (design 12.2). All of it is in test files; the
// tests of single packages lie beside their code. Nodes log where ROWANSHUNT_TEST_LOG is
// set.
package clustertest
