package soak_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
)

// process is one host: a real program that may have several lives.
type process struct {
	name         string
	ip           string
	binary       string
	settingsPath string
	logPath      string
	group        *conc.WaitGroup

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	isPaused bool
}

func (s *site) newProcess(i int, store string) (*process, error) {
	p := &process{
		name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("127.%d.0.%d", 1+s.opts.Seed%200, 1+i), binary: s.opts.Binary,
		logPath: filepath.Join(s.opts.Dir, fmt.Sprintf("host-%d.log", i)), group: &s.group,
	}
	path, err := s.writeSettings(i, p.ip, store)
	p.settingsPath = path
	return p, err
}

// start begins a new life.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot write %s: name a writable folder with -soak-dir", p.logPath)
	}
	defer out.Close()
	cmd := exec.Command(p.binary, "serve", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot start %s: name the program with -soak-binary", p.binary)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	exited := make(chan struct{})
	p.cmd, p.exited, p.isPaused = cmd, exited, false
	p.group.Go(func() {
		_ = cmd.Wait()
		close(exited)
	})
	return nil
}

// signal sends a signal to the present life, by its id.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch sig {
	case syscall.SIGSTOP:
		p.isPaused = true
	case syscall.SIGCONT:
		p.isPaused = false
	}
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the present life at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// ensureRunning thaws a frozen host and starts one that does not run.
func (p *process) ensureRunning() error {
	p.mu.Lock()
	isFrozen := p.isPaused
	p.mu.Unlock()
	if isFrozen {
		p.signal(syscall.SIGCONT)
	}
	if p.isRunning() {
		return nil
	}
	return p.start()
}

// stop ends a host in the planned way. It is an error if it does not end in time.
func (p *process) stop(ctx context.Context) error {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	exited, cmd := p.exited, p.cmd
	p.mu.Unlock()
	limit := time.NewTimer(stopGracePeriod)
	defer limit.Stop()
	select {
	case <-exited:
	case <-limit.C:
		p.kill()
		return fmt.Errorf("%s did not end within %s of the request to stop", p.name, stopGracePeriod)
	case <-ctx.Done():
		p.kill()
		return nil
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 && cmd.ProcessState.Exited() {
		return fmt.Errorf("%s ended with status %d", p.name, code)
	}
	return nil
}
