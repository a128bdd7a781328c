package crowd_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub/connection/peer"
)

// maxBodyBytes is the limit of a body in the configuration.
const maxBodyBytes = 262_144

// Limits in the settings of the hosts. lowDescriptors is for crowds of connections.
var (
	lowMemory      = limits{MemoryMB: 128, Descriptors: 4100}
	lowDescriptors = limits{MemoryMB: 128, Descriptors: 700}
)

// standTime is how long a crowd stands, so that its descriptors are counted and clients whose
// connections were closed return.
const standTime = time.Second

// sendTimeout bounds the time for which a client of a crowd sends. A host need not read.
const sendTimeout = 15 * time.Second

// crowd is a number of clients that connect to a port at the same time.
type crowd struct {
	port    string
	clients int
	// send sends what a client has to send. The connection stays open after it, whatever it
	// returns.
	send func(w io.Writer, client int) error
	// returns means that a client whose connection was closed connects again.
	returns bool
}

// beside runs f while the crowd stands, that is after each client has sent what it could, and
// ends the crowd.
func (c crowd) beside(t *testing.T, h *host, f func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	var ready conc.WaitGroup
	var open, sent atomic.Int64
	for i := range c.clients {
		first := make(chan struct{})
		group.Go(func() { c.run(ctx, h.address(c.port), i, first, &open, &sent) })
		ready.Go(func() { <-first })
	}
	ready.Wait()
	t.Logf("%d of %d clients have sent all, %d connections are open", sent.Load(), c.clients, open.Load())
	f()
	time.Sleep(standTime)
	cancel()
	group.Wait()
}

// run is one client. It closes first once it has sent what it could for the first time.
func (c crowd) run(ctx context.Context, address string, i int, first chan struct{}, open, sent *atomic.Int64) {
	for round := 0; round == 0 || c.returns && ctx.Err() == nil; round++ {
		conn, err := net.Dial("tcp4", address)
		if err == nil {
			open.Add(1)
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if c.send(conn, i) == nil {
				sent.Add(1)
			}
		}
		if round == 0 {
			close(first)
		}
		if err == nil {
			waitUntilClosed(ctx, conn)
			open.Add(-1)
		}
		if c.returns {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// waitUntilClosed waits until the other side has closed the connection or ctx ends, and closes
// it.
func waitUntilClosed(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	_, _ = io.Copy(io.Discard, conn)
	if tcp, ok := conn.(*net.TCPConn); ok {
		// No state is kept for the address after the test.
		_ = tcp.SetLinger(0)
	}
}

// expectServedBeside checks that a host with the limits answers an ordinary caller beside the
// crowd and after it, and stays within the limits.
func expectServedBeside(t *testing.T, l limits, c crowd) {
	t.Helper()
	expectHostServesBeside(t, startHost(t, l), c)
}

// expectHostServesBeside is expectServedBeside for a host that runs.
func expectHostServesBeside(t *testing.T, h *host, c crowd) {
	t.Helper()
	c.beside(t, h, func() { h.expectAnswer("beside the crowd") })
	h.expectAnswer("after the crowd")
	h.expectWithinLimits()
}

// header returns the header of a job's submission, without its last empty line.
func header(client int, lines ...string) string {
	return fmt.Sprintf("POST /crowd/%016x HTTP/1.1\r\nHost: %s\r\n", 1<<32+client, routeHost) + strings.Join(append(lines, ""), "\r\n")
}

// withLength is the header line of a body of the largest size.
var withLength = fmt.Sprintf("Content-Length: %d", maxBodyBytes)

const (
	inChunks = "Transfer-Encoding: chunked"
	// patient is the header line with the time that a client of a crowd says it waits.
	patient = "X-Heatherhub-Deadline-Ms: 600000"
)

// openBody returns n bytes that begin a job.
func openBody(n int) []byte {
	return append([]byte(`{"spec":"`), bytes.Repeat([]byte("x"), n-len(`{"spec":"`))...)
}

// sendParts writes the parts one after the other.
func sendParts(w io.Writer, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// TestWholeBodiesThatStopShort guards against bodies that stop one byte before their end and
// fill the memory.
func TestWholeBodiesThatStopShort(t *testing.T) {
	body := openBody(maxBodyBytes - 1)
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, withLength, patient)+"\r\n"), body)
	}})
}

// TestWholeBodiesThatStopShortAndReturn is the same with clients that connect again.
func TestWholeBodiesThatStopShortAndReturn(t *testing.T) {
	body := openBody(maxBodyBytes - 1)
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, returns: true, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, withLength, patient)+"\r\n"), body)
	}})
}

// TestBodiesInPiecesThatStopShort guards against the same with bodies that arrive piece by piece.
func TestBodiesInPiecesThatStopShort(t *testing.T) {
	const piece = 16 << 10
	body := openBody(maxBodyBytes - 1)
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		if err := sendParts(w, []byte(header(i, withLength, patient)+"\r\n")); err != nil {
			return err
		}
		for rest := body; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if err := sendParts(w, rest[:min(piece, len(rest))]); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}})
}

// TestChunkedBodiesThatStopShort guards against chunked bodies without their last chunk.
func TestChunkedBodiesThatStopShort(t *testing.T) {
	const chunk = 65_536
	body := openBody(maxBodyBytes - 1)
	var chunks []byte
	for rest := body; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
		n := min(chunk, len(rest))
		chunks = fmt.Appendf(chunks, "%x\r\n%s\r\n", n, rest[:n])
	}
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, inChunks, patient)+"\r\n"), chunks)
	}})
}

// TestBodiesInTinyChunksThatStopShort guards against the same with chunks of one byte.
func TestBodiesInTinyChunksThatStopShort(t *testing.T) {
	var chunks []byte
	for _, b := range openBody(maxBodyBytes - 1) {
		chunks = fmt.Appendf(chunks, "1\r\n%c\r\n", b)
	}
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, inChunks, patient)+"\r\n"), chunks)
	}})
}

// longHeader is a header line of 900 kB.
var longHeader = []byte("X-Long: " + strings.Repeat("x", 900_000))

// shortHeaders are 10,000 short header lines with distinct names.
var shortHeaders = func() []byte {
	var out []byte
	for i := range 10_000 {
		out = fmt.Appendf(out, "h%x:\r\n", i)
	}
	return out
}()

// TestLargeHeadersThatStopShort guards against headers without an end that fill the memory.
func TestLargeHeadersThatStopShort(t *testing.T) {
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 200, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i)), longHeader)
	}})
}

// TestManyHeaderLinesThatStopShort guards against short header lines, which take many times
// their size once they are parsed.
func TestManyHeaderLinesThatStopShort(t *testing.T) {
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i)), shortHeaders)
	}})
}

// TestManyHeaderLinesBeforeABodyThatStopsShort is the same with headers that end.
func TestManyHeaderLinesBeforeABodyThatStopsShort(t *testing.T) {
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, withLength, patient)), shortHeaders, []byte("\r\n{"))
	}})
}

func sendNothing(io.Writer, int) error {
	return nil
}

// TestManySilentConnections guards against connections that use up the descriptors.
func TestManySilentConnections(t *testing.T) {
	expectServedBeside(t, lowDescriptors, crowd{port: callerPort, clients: 1000, send: sendNothing})
}

// TestManySilentConnectionsThatReturn is the same with clients that connect again.
func TestManySilentConnectionsThatReturn(t *testing.T) {
	expectServedBeside(t, lowDescriptors, crowd{port: callerPort, clients: 1000, returns: true, send: sendNothing})
}

// TestBodiesOfManySteps guards against bodies that take many times their size once they are
// decoded.
func TestBodiesOfManySteps(t *testing.T) {
	const start, end, step = `{"steps":[{}`, `]}`, `,{}`
	body := []byte(start + strings.Repeat(step, (maxBodyBytes-len(start)-len(end))/len(step)) + end)
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 100, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, fmt.Sprintf("Content-Length: %d", len(body)), patient)+"\r\n"), body)
	}})
}

// TestCompleteLargeBodies guards against complete bodies that the host would keep.
func TestCompleteLargeBodies(t *testing.T) {
	const start, end = `{"spec":"`, `","steps":[{"count":1,"cpu":100,"estimated_ms":10}]}`
	body := []byte(start + strings.Repeat("x", maxBodyBytes-len(start)-len(end)) + end)
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, withLength, patient)+"\r\n"), body)
	}})
}

// TestBodiesOfManyPredecessors guards against lists that repeat the same number, which take many
// times their size in memory and are kept with the job.
func TestBodiesOfManyPredecessors(t *testing.T) {
	const start, end = `{"steps":[{"count":1,"cpu":100,"estimated_ms":10},{"count":1,"cpu":100,"estimated_ms":10,"after":[0`, `]}]}`
	body := []byte(start + strings.Repeat(",0", (maxBodyBytes-len(start)-len(end))/2) + end)
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 200, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, fmt.Sprintf("Content-Length: %d", len(body)), patient)+"\r\n"), body)
	}})
}

// TestManyLargeJobs guards against jobs of legal size that a host accepts and keeps until it has no
// memory left.
func TestManyLargeJobs(t *testing.T) {
	const start, end = `{"spec":"large","steps":[{"count":1,"cpu":100,"estimated_ms":10,"image":"`, `"}]}`
	body := []byte(start + strings.Repeat("x", maxBodyBytes-len(start)-len(end)) + end)
	expectServedBeside(t, lowMemory, crowd{port: callerPort, clients: 600, send: func(w io.Writer, i int) error {
		return sendParts(w, []byte(header(i, withLength, patient)+"\r\n"), body)
	}})
}

// TestLargeJobsThatWait guards against jobs of legal size that are accepted one after the other and
// that a host keeps until they can run.
func TestLargeJobsThatWait(t *testing.T) {
	const (
		jobs  = 600
		start = `{"spec":"large","steps":[{"count":1,"cpu":8000,"estimated_ms":600000,"image":"`
		end   = `"}]}`
	)
	h := startHost(t, lowMemory)
	body := []byte(start + strings.Repeat("x", maxBodyBytes-len(start)-len(end)) + end)
	client := &http.Client{Timeout: 5 * time.Second}
	answers := make(map[string]int)
	for range jobs {
		h.jobs++
		status, err := h.submit(client, body)
		if err != nil {
			status = 0
		}
		answers[fmt.Sprint(status)]++
	}
	t.Logf("answers by status, 0 for none: %v", answers)
	h.expectAnswer("after the jobs")
	h.expectWithinLimits()
}

// sendLargeHeader sends a header of 900 kB without an end.
func sendLargeHeader(w io.Writer, _ int) error {
	return sendParts(w, []byte("GET /v1/readiness HTTP/1.1\r\nHost: host\r\n"), longHeader)
}

// TestLargeHeadersAtReadinessPort guards against headers that fill the memory.
func TestLargeHeadersAtReadinessPort(t *testing.T) {
	expectServedBeside(t, lowMemory, crowd{port: readinessPort, clients: 200, send: sendLargeHeader})
}

// TestLargeHeadersAtOperatorPort guards against the same.
func TestLargeHeadersAtOperatorPort(t *testing.T) {
	expectServedBeside(t, lowMemory, crowd{port: operatorPort, clients: 200, send: sendLargeHeader})
}

// TestBodiesAtOperatorPortThatStopShort guards against bodies at the operators' port.
func TestBodiesAtOperatorPortThatStopShort(t *testing.T) {
	const size = 1 << 20
	body := openBody(size - 1)
	expectServedBeside(t, lowMemory, crowd{port: operatorPort, clients: 200, send: func(w io.Writer, _ int) error {
		return sendParts(w, fmt.Appendf(nil, "POST /v1/jobs HTTP/1.1\r\nHost: host\r\nContent-Length: %d\r\n\r\n", size), body)
	}})
}

// TestManySilentConnectionsAtReadinessPort guards against connections that use up the descriptors.
func TestManySilentConnectionsAtReadinessPort(t *testing.T) {
	expectServedBeside(t, lowDescriptors, crowd{port: readinessPort, clients: 1000, send: sendNothing})
}

// TestManySilentConnectionsAtOperatorPort guards against the same.
func TestManySilentConnectionsAtOperatorPort(t *testing.T) {
	expectServedBeside(t, lowDescriptors, crowd{port: operatorPort, clients: 1000, send: sendNothing})
}

// TestManySilentConnectionsAtPeerPort guards against the same.
func TestManySilentConnectionsAtPeerPort(t *testing.T) {
	expectServedBeside(t, lowDescriptors, crowd{port: peerPort, clients: 1000, send: sendNothing})
}

// TestFramesThatStopShort guards against frames that stop one byte before their end.
func TestFramesThatStopShort(t *testing.T) {
	const size = 4 << 20
	frame := binary.BigEndian.AppendUint32(nil, size)
	frame = append(frame, make([]byte, size-1)...)
	expectServedBeside(t, lowMemory, crowd{port: peerPort, clients: 100, send: func(w io.Writer, _ int) error {
		return sendParts(w, frame)
	}})
}

// TestFramesAfterHelloThatStopShort guards against the same after a valid first frame.
func TestFramesAfterHelloThatStopShort(t *testing.T) {
	hello, err := peer.EncodeFrame(&peer.Frame{Kind: peer.FrameHello, From: "crowd"}, peer.DefaultMaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	const size = peer.DefaultMaxFrameBytes
	frame := append(binary.BigEndian.AppendUint32(nil, size), make([]byte, size-1)...)
	expectServedBeside(t, lowMemory, crowd{port: peerPort, clients: 100, send: func(w io.Writer, _ int) error {
		return sendParts(w, hello, frame)
	}})
}

// TestLargeBodyInPiecesIsServedInCalm checks that one client that sends the largest body slowly,
// and within its deadline, is served.
func TestLargeBodyInPiecesIsServedInCalm(t *testing.T) {
	const pieces = 32
	h := startHost(t, lowMemory)
	body := []byte(`{"spec":"large","steps":[{"count":1,"cpu":100,"estimated_ms":10}]}`)
	body = append(body, bytes.Repeat([]byte(" "), maxBodyBytes-len(body))...)
	for name, line := range map[string]string{"whole": withLength, "chunked": inChunks} {
		conn, err := net.Dial("tcp4", h.address(callerPort))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(answerTimeout))
		if err := sendParts(conn, []byte(header(len(name), line, patient)+"\r\n")); err != nil {
			t.Fatal(err)
		}
		for i := range pieces {
			part := body[i*len(body)/pieces : (i+1)*len(body)/pieces]
			if line == inChunks {
				part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
			}
			if err := sendParts(conn, part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if line == inChunks {
			_ = sendParts(conn, []byte("0\r\n\r\n"))
		}
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: got %v, want an answer", name, err)
		}
		_ = r.Body.Close()
		if got, want := r.StatusCode, http.StatusOK; got != want {
			t.Errorf("%s: got status %d, want %d", name, got, want)
		}
	}
	h.expectWithinLimits()
}
