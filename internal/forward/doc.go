// Package forward takes a client's request to a worker and the response back. No
// other package sends to workers (design 6).
//
// A request passes through the files in this order: forwarder (route, time left, quota)
// and client_body, exchange (the loop of attempts, and what follows a failed one) and
// capacity_wait, attempt (one worker, and its record), sender (connection, last check,
// write), request (what is written), response_header, and then unary or stream (with
// event), which keep the position in the client's response. upstream holds what an attempt
// has of its worker, and worker_response gives the connection back. batch_item is the same
// for the items of batch jobs. sweep finds what hangs in record_table, and hedge looks for
// a second worker for it; pool and conn own the connections; headers says which are passed
// on.
package forward
