package crowd_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"heatherhub.example/heatherhub/connection/peer"
)

// storePort is the port of the stand-in for the platform of the own interface.
const storePort = "7400"

// startEntryHost starts a stand-in for the platform with some workers and a host of the own
// interface, and waits until the host has answered a request.
func startEntryHost(t *testing.T, l limits) *host {
	t.Helper()
	h := &host{t: t, limits: l, ip: reserveAddress(t), exited: make(chan struct{})}
	h.sendOrdinary = func(c *http.Client) (int, error) {
		r, err := c.Post("http://"+h.address(callerPort)+"/v1/services/compile", "text/plain", strings.NewReader("program"))
		if err != nil {
			return 0, err
		}
		defer r.Body.Close()
		_, err = io.Copy(io.Discard, r.Body)
		return r.StatusCode, err
	}
	h.readinessURL = "http://" + h.address(callerPort) + "/healthz"
	store := exec.Command(*executable, "standin", "--listen", h.address(storePort), "--workers", "6", "--domains", "gent")
	if err := store.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = store.Process.Signal(syscall.SIGKILL)
		_ = store.Wait()
	})
	entry := exec.Command(*executable, "entry", "--id", "e1", "--domain", "gent", "--shards", "gent=1", "--store", "http://"+h.address(storePort),
		"--caller-listen", h.address(callerPort), "--operator-listen", h.address(operatorPort), "--peer-listen", h.address(peerPort))
	entry.Env = append(os.Environ(), fmt.Sprintf("HEATHERHUB_MEMORY_MB=%d", l.MemoryMB), fmt.Sprintf("HEATHERHUB_FILE_DESCRIPTORS=%d", l.Descriptors))
	h.start(entry)
	h.expectStatusOK("before the crowd, the declarations", func(*http.Client) (int, error) {
		out, err := exec.Command(*executable, "apply", "-f", "../../sites/vanroosbroeck", "--entry", h.address(operatorPort)).CombinedOutput()
		if err != nil {
			return 0, fmt.Errorf("%w: %s", err, out)
		}
		return http.StatusOK, nil
	})
	h.expectAnswer("before the crowd")
	t.Logf("before the crowd: peak memory %d kB", h.peakMemory()/1000)
	return h
}

// serviceHeader returns the header of a request of a service, without its last empty line.
func serviceHeader(lines ...string) []byte {
	return []byte("POST /v1/services/compile HTTP/1.1\r\nHost: entry\r\n" + strings.Join(append(lines, ""), "\r\n"))
}

// TestEntryBodiesThatStopShort guards against bodies that stop one byte before their end.
func TestEntryBodiesThatStopShort(t *testing.T) {
	body := openBody(maxBodyBytes - 1)
	expectHostServesBeside(t, startEntryHost(t, lowMemory), crowd{port: callerPort, clients: 600, send: func(w io.Writer, _ int) error {
		return sendParts(w, serviceHeader(withLength, "Request-Deadline-Ms: 300000"), []byte("\r\n"), body)
	}})
}

// TestEntryManyHeaderLines guards against short header lines, which take many times their size.
func TestEntryManyHeaderLines(t *testing.T) {
	// 16 kB, and the slack of the library.
	lines := shortHeaders[:18_000]
	expectHostServesBeside(t, startEntryHost(t, lowMemory), crowd{port: callerPort, clients: 1000, send: func(w io.Writer, _ int) error {
		return sendParts(w, serviceHeader(), lines)
	}})
}

// TestEntryManySilentConnections guards against connections that use up the descriptors.
func TestEntryManySilentConnections(t *testing.T) {
	expectHostServesBeside(t, startEntryHost(t, lowDescriptors), crowd{port: callerPort, clients: 1000, send: sendNothing})
}

// TestEntryBodiesAtOperatorPortThatStopShort guards against bodies at the operators' port.
func TestEntryBodiesAtOperatorPortThatStopShort(t *testing.T) {
	const size = 1 << 20
	body := openBody(size - 1)
	expectHostServesBeside(t, startEntryHost(t, lowMemory), crowd{port: operatorPort, clients: 200, send: func(w io.Writer, _ int) error {
		return sendParts(w, fmt.Appendf(nil, "POST /v1/jobs HTTP/1.1\r\nHost: host\r\nContent-Length: %d\r\n\r\n", size), body)
	}})
}

// TestEntryFramesAfterHelloThatStopShort guards against frames that stop one byte before their end.
func TestEntryFramesAfterHelloThatStopShort(t *testing.T) {
	hello, err := peer.EncodeFrame(&peer.Frame{Kind: peer.FrameHello, From: "crowd"}, peer.DefaultMaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	const size = peer.DefaultMaxFrameBytes
	frame := append(binary.BigEndian.AppendUint32(nil, size), make([]byte, size-1)...)
	expectHostServesBeside(t, startEntryHost(t, lowMemory), crowd{port: peerPort, clients: 100, send: func(w io.Writer, _ int) error {
		return sendParts(w, hello, frame)
	}})
}
