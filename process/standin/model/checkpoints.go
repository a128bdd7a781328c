package model

import (
	"fmt"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
)

// Checkpoints stores the checkpoints of a site. They outlive the workers that took
// them. Its methods may be called concurrently.
type Checkpoints struct {
	mu       sync.Mutex
	next     int
	progress map[heatherhub.CheckpointRef]time.Duration
}

// NewCheckpoints returns an empty store.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{progress: make(map[heatherhub.CheckpointRef]time.Duration)}
}

// save stores the completed work of a task and returns a new reference to it.
func (c *Checkpoints) save(id heatherhub.TaskID, done time.Duration) heatherhub.CheckpointRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	ref := heatherhub.CheckpointRef(fmt.Sprintf("checkpoint/%s/%d", id, c.next))
	c.progress[ref] = done
	return ref
}

// Progress returns the completed work of a checkpoint: zero for an empty reference,
// ErrNotFound for an unknown one.
func (c *Checkpoints) Progress(ref heatherhub.CheckpointRef) (time.Duration, error) {
	if ref == "" {
		return 0, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	done, ok := c.progress[ref]
	if !ok {
		return 0, heatherhub.ErrNotFound.New("checkpoint %s does not exist: start the task without it", ref)
	}
	return done, nil
}
