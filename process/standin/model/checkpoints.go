package model

import (
	"fmt"
	"sync"
	"time"

	"heatherhub.example/heatherhub"
)

// Checkpoints is where the platform keeps checkpoints. It outlives workers.
type Checkpoints struct {
	mu       sync.Mutex
	next     int
	progress map[heatherhub.CheckpointRef]time.Duration
}

// NewCheckpoints makes an empty registry.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{progress: make(map[heatherhub.CheckpointRef]time.Duration)}
}

func (c *Checkpoints) save(id heatherhub.TaskID, done time.Duration) heatherhub.CheckpointRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	ref := heatherhub.CheckpointRef(fmt.Sprintf("checkpoint/%s/%d", id, c.next))
	c.progress[ref] = done
	return ref
}

// Progress returns the work that a checkpoint holds; no reference holds none.
func (c *Checkpoints) Progress(ref heatherhub.CheckpointRef) (time.Duration, error) {
	if ref == "" {
		return 0, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	done, ok := c.progress[ref]
	if !ok {
		return 0, heatherhub.ErrNotFound.New("checkpoint %s is not kept: start the task without it", ref)
	}
	return done, nil
}
