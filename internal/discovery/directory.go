package discovery

// Directory is the set of workers that requests may be sent to. It is a snapshot that
// is never changed: any goroutine may read it without a lock.
type Directory struct {
	ByService map[string][]*Worker // ordered by ID
	ByID      map[string]*Worker
}

func newDirectory(size int) *Directory {
	return &Directory{ByService: map[string][]*Worker{}, ByID: make(map[string]*Worker, size)}
}

// add adds the workers of a service, ordered by ID.
func (d *Directory) add(svc string, workers []*Worker) {
	if len(workers) == 0 {
		return
	}
	d.ByService[svc] = workers
	for _, w := range workers {
		d.ByID[w.ID] = w
	}
}
