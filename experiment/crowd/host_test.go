package crowd_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/platform"
	"heatherhub.example/heatherhub/platform/standin"
)

var executable = flag.String("crowd-binary", "", "heatherhub executable; built if empty")

// Ports of the host. operatorPort is fixed by the program.
const (
	callerPort    = "7000"
	readinessPort = "7001"
	peerPort      = "7002"
	operatorPort  = "9464"
)

const (
	// routeHost is the host name of the only route.
	routeHost = "crowd.example"
	// reservedDescriptors is the part of limits.file_descriptors that is kept for files. Sockets
	// share the rest.
	reservedDescriptors = 200
	// answerTimeout is how long a host may leave an ordinary caller without an answer, over all
	// attempts. It only tells a host that hangs.
	answerTimeout = 60 * time.Second
	// sampleInterval is the interval at which descriptors and unread bytes are counted.
	sampleInterval = 50 * time.Millisecond
)

// limits are the limits in the settings of the host.
type limits struct {
	// MemoryMB is limits.memory_mb, in megabytes of 1e6 bytes.
	MemoryMB int
	// Descriptors is limits.file_descriptors.
	Descriptors int
}

// host is one process under test, with the platform that it uses.
type host struct {
	t      *testing.T
	limits limits
	ip     string
	cmd    *exec.Cmd
	exited chan struct{}
	group  conc.WaitGroup
	stop   context.CancelFunc

	// sendOrdinary sends an ordinary request, and readinessURL tells whether the host is ready.
	sendOrdinary func(*http.Client) (int, error)
	readinessURL string
	// jobs is the number of jobs that were submitted.
	jobs int
	// maxDescriptors and maxUnread are the largest number of open descriptors of the process, and
	// of bytes that the kernel has received for it and that it has not read. They belong to the
	// sampling goroutine until it has ended.
	maxDescriptors, maxUnread int
}

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

// runTests builds the program, unless one is given, runs the tests and returns the exit status.
func runTests(m *testing.M) int {
	if *executable != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	*executable = filepath.Join(dir, "heatherhub")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", *executable, "../../cmd/heatherhub")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// reserveAddress returns a loopback address that no other run uses until the test has ended.
func reserveAddress(t *testing.T) string {
	for n := 1; n < 255; n++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.201.%d.2:%s", n, operatorPort))
		if err != nil {
			continue
		}
		ip := fmt.Sprintf("127.201.%d.1", n)
		// The host of a run that was killed may still be there.
		free, err := net.Listen("tcp4", net.JoinHostPort(ip, operatorPort))
		if err != nil {
			_ = l.Close()
			continue
		}
		_ = free.Close()
		t.Cleanup(func() { _ = l.Close() })
		return ip
	}
	t.Fatal("all loopback addresses are in use: end other runs")
	return ""
}

// startHost starts a platform with one worker and a host, and waits until the host has accepted
// a job.
func startHost(t *testing.T, l limits) *host {
	t.Helper()
	h := &host{t: t, limits: l, ip: reserveAddress(t), exited: make(chan struct{})}
	h.sendOrdinary = h.submitOrdinary
	h.readinessURL = "http://" + h.address(readinessPort) + platform.ReadinessPath
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	if err := store.Put("op/config", configuration()); err != nil {
		t.Fatal(err)
	}
	h.addWorker(store)
	settings := filepath.Join(t.TempDir(), "settings.conf")
	if err := os.WriteFile(settings, []byte(h.settings(storeServer.Listener.Addr().String())), 0o600); err != nil {
		t.Fatal(err)
	}
	h.start(exec.Command(*executable, "serve", "--settings", settings))
	h.expectAnswer("before the crowd")
	t.Logf("before the crowd: peak memory %d kB", h.peakMemory()/1000)
	return h
}

func configuration() map[string]any {
	return map[string]any{
		"version": 1, "limits": map[string]any{"max_body_bytes": maxBodyBytes},
		"routes": []any{map[string]any{
			"name": "crowd", "host": routeHost, "prefix": "/crowd/", "timeout_ms": 3000, "target_duration_ms": 1000,
			"priority": 1, "service": "pool", "max_attempts": 3, "stretch": 2,
		}},
		"services": []any{map[string]any{"name": "pool"}},
	}
}

// addWorker starts a worker and writes its entry.
func (h *host) addWorker(store *standin.Store) {
	w := &standin.Worker{
		Name: "worker-1", Domain: "d0", CPU: 8000, Audit: standin.NewAudit(func(heatherhub.JobID) []heatherhub.Step { return nil }),
		TaskDemand: func(heatherhub.StepTask) (heatherhub.MilliCPU, time.Duration) { return 100, 10 * time.Millisecond },
	}
	w.Init()
	server := httptest.NewServer(w)
	h.t.Cleanup(server.Close)
	err := store.Put("servers/worker-1", map[string]any{
		"born": w.Born(), "service": "pool", "address": server.Listener.Addr().String(), "zone": "d0", "state": "ready",
		"capacity": map[string]any{"cpu": w.Capacity(), "mem_mb": 100_000},
	})
	if err != nil {
		h.t.Fatal(err)
	}
}

func (h *host) settings(store string) string {
	return strings.Join([]string{
		"node_name=host-0", "zone=d0", "ip=" + h.ip, "listen.front=" + h.address(callerPort),
		"listen.readiness=" + h.address(readinessPort), "internal_ports=" + peerPort + ",7009", "platform.address=" + store,
		"platform.ttl_min_ms=1000", "bounds.max_hold_ms=6000", "heartbeat_ms=1000", "bounds.grace_s=6", "limits.cpu_share=0.2",
		"limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", h.limits.MemoryMB),
		fmt.Sprintf("limits.file_descriptors=%d", h.limits.Descriptors), "",
	}, "\n")
}

func (h *host) address(port string) string {
	return net.JoinHostPort(h.ip, port)
}

// start starts the process and the sampling of its descriptors. The process is killed when the
// test ends.
func (h *host) start(cmd *exec.Cmd) {
	h.t.Helper()
	log, err := os.Create(filepath.Join(h.t.TempDir(), "host.log"))
	if err != nil {
		h.t.Fatal(err)
	}
	defer log.Close()
	h.cmd = cmd
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.group.Go(func() {
		_ = h.cmd.Wait()
		close(h.exited)
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.group.Go(func() { h.sample(ctx) })
	h.t.Cleanup(func() {
		cancel()
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		h.group.Wait()
		if h.t.Failed() {
			h.t.Logf("last lines of the host:\n%s", lastLines(log.Name()))
		}
	})
}

// lastLines returns the end of a log file.
func lastLines(path string) string {
	data, _ := os.ReadFile(path)
	return string(data[max(0, len(data)-600):])
}

// sample keeps the largest counts until ctx ends.
func (h *host) sample(ctx context.Context) {
	for ctx.Err() == nil {
		h.maxDescriptors = max(h.maxDescriptors, h.openDescriptors())
		h.maxUnread = max(h.maxUnread, h.unreadBytes())
		time.Sleep(sampleInterval)
	}
}

func (h *host) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	return len(entries)
}

// unreadBytes returns the bytes that wait in the receive buffers of connections to the host.
func (h *host) unreadBytes() int {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	ip := net.ParseIP(h.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		// The fields are a number, the local and the remote address, the state and the queues.
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == tcpListen {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += int(n)
	}
	return total
}

// tcpListen is the state of a listening socket in /proc/net/tcp. Its queue counts connections.
const tcpListen = "0A"

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (h *host) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	line, _, _ := strings.Cut(rest, "\n")
	kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(line), " kB"))
	if err != nil {
		h.t.Fatal(err)
	}
	return kb * 1024
}

// isRunning reports whether the process has not exited.
func (h *host) isRunning() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// expectAnswer sends an ordinary request until it is answered, and asks the host whether it is ready
// until it says so, each time on a new connection.
func (h *host) expectAnswer(when string) {
	h.t.Helper()
	h.jobs++
	h.expectStatusOK(when+", an ordinary request", h.sendOrdinary)
	h.expectStatusOK(when+", the readiness check", h.checkReadiness)
}

// submitOrdinary submits a small job.
func (h *host) submitOrdinary(client *http.Client) (int, error) {
	body, err := json.Marshal(map[string]any{"spec": "ordinary", "steps": []any{map[string]any{"count": 1, "cpu": 100, "estimated_ms": 10}}})
	if err != nil {
		return 0, err
	}
	return h.submit(client, body)
}

// expectStatusOK sends a request until it is answered with 200.
func (h *host) expectStatusOK(what string, send func(*http.Client) (int, error)) {
	h.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	attempts := 0
	for limit := time.Now().Add(answerTimeout); time.Now().Before(limit) && h.isRunning(); time.Sleep(100 * time.Millisecond) {
		attempts++
		status, err := send(client)
		if err == nil && status == http.StatusOK {
			h.t.Logf("%s: answered at attempt %d", what, attempts)
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
	}
	h.t.Fatalf("%s: got no answer in %d attempts, process lives %t, last: %s; want 200", what, attempts, h.isRunning(), last)
}

func (h *host) checkReadiness(client *http.Client) (int, error) {
	r, err := client.Get(h.readinessURL)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

func (h *host) submit(client *http.Client, body []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/crowd/%016x", h.address(callerPort), h.jobs), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = routeHost
	r, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// expectWithinLimits ends the sampling and checks that the process lives and stayed within its
// limits. Bytes that the kernel holds for the process count as its memory.
func (h *host) expectWithinLimits() {
	h.t.Helper()
	if !h.isRunning() {
		h.t.Fatal("got a process that has ended, want it to live")
	}
	peak := h.peakMemory()
	h.stop()
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	h.group.Wait()
	h.t.Logf("peak memory %d kB, unread %d kB, descriptors %d", peak/1000, h.maxUnread/1000, h.maxDescriptors)
	if got, want := peak+h.maxUnread, h.limits.MemoryMB*1_000_000; got > want {
		h.t.Errorf("got a peak memory of %d bytes, %d of them unread, want at most %d", got, h.maxUnread, want)
	}
	if got, want := h.maxDescriptors, h.limits.Descriptors-reservedDescriptors; got > want {
		h.t.Errorf("got %d open descriptors, want at most %d", got, want)
	}
}
