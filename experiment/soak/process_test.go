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

// process runs a host as an operating system process, which may be restarted. Its methods
// are safe for concurrent use.
type process struct {
	name         string
	ip           string
	binary       string
	settingsPath string
	logPath      string
	group        *conc.WaitGroup

	// startMu is held from the check whether the process is running until it has started.
	startMu sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	isPaused bool
}

// newProcess writes the settings of the i-th host and returns its process, not yet started.
func (s *site) newProcess(i int, store string) (*process, error) {
	p := &process{
		name: fmt.Sprintf("host-%d", i), ip: hostIP(s.network, i), binary: s.opts.Binary,
		logPath: filepath.Join(s.opts.Dir, fmt.Sprintf("host-%d.log", i)), group: &s.group,
	}
	path, err := s.writeSettings(i, p.ip, store)
	p.settingsPath = path
	return p, err
}

// start starts the program. Output is appended to the log file.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot write %s: set -soak-dir to a writable directory", p.logPath)
	}
	defer out.Close()
	cmd := exec.Command(p.binary, "serve", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot start %s: set -soak-binary to the heatherhub executable", p.binary)
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

// signal sends a signal to the current operating system process.
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

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// ensureRunning resumes a paused process and starts one that is not running.
func (p *process) ensureRunning() error {
	p.startMu.Lock()
	defer p.startMu.Unlock()
	p.mu.Lock()
	isPaused := p.isPaused
	p.mu.Unlock()
	if isPaused {
		p.signal(syscall.SIGCONT)
	}
	if p.isRunning() {
		return nil
	}
	return p.start()
}

// stop sends SIGTERM and waits until the process has exited. It returns an error if the
// process does not exit within stopGracePeriod or exits with a status other than 0. If ctx
// is canceled first, it kills the process and returns nil.
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
		return fmt.Errorf("%s did not exit within %s of SIGTERM", p.name, stopGracePeriod)
	case <-ctx.Done():
		p.kill()
		return nil
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 && cmd.ProcessState.Exited() {
		return fmt.Errorf("%s exited with status %d", p.name, code)
	}
	return nil
}
