package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"heatherhub.example/heatherhub/request/caller"
)

// Fault is the kind of an invalid answer.
type Fault string

// Faults of answers.
const (
	// FaultNone is a valid answer.
	FaultNone Fault = ""
	// FaultForeign is an answer that belongs to another request.
	FaultForeign Fault = "foreign"
	// FaultTruncated is a partial answer that was delivered as a complete one.
	FaultTruncated Fault = "truncated"
	// FaultDoubled is an answer that contains the request twice.
	FaultDoubled Fault = "doubled"
)

// exchange is the result of one request over all its attempts.
type exchange struct {
	outcome  caller.Outcome
	fault    Fault
	attempts int
	// refusal is the HTTP status of the last refusal, or notSent, noAnswer,
	// unreachable or noOutcome. It is empty for an answered request.
	refusal string
	// retryAfter is the Retry-After time of the last response.
	retryAfter time.Duration
}

// maxAnswerBytes bounds how much of an answer is read.
const maxAnswerBytes = 16 << 20

// tokenTerminator ends a token in a body, so that no token is a prefix of another.
const tokenTerminator = "."

// sendWithRetries sends a request until it is answered, its deadline has passed or no
// attempts are left. All attempts have the same idempotency key. If any attempt may have
// run, a final refusal as not run counts as unknown.
func (r *run) sendWithRetries(ctx context.Context, req request) exchange {
	ctx, cancel := context.WithTimeout(ctx, req.intended.Add(r.cfg.Deadline).Sub(r.clock.Now()))
	defer cancel()
	if ctx.Err() != nil {
		return exchange{outcome: caller.OutcomeNotRun, refusal: "notSent"}
	}
	var e exchange
	mayHaveRun := false
	for n := 1; n <= r.cfg.MaxAttempts; n++ {
		e = r.attempt(ctx, req)
		e.attempts = n
		if e.outcome == caller.OutcomeAnswered || !r.waitForRetry(ctx, e.retryAfter) {
			break
		}
		mayHaveRun = mayHaveRun || e.outcome == caller.OutcomeUnknown
	}
	if mayHaveRun && e.outcome == caller.OutcomeNotRun {
		e.outcome = caller.OutcomeUnknown
	}
	return e
}

// waitForRetry waits for d. It returns false if ctx ends first, and does not wait if the
// deadline is earlier.
func (r *run) waitForRetry(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && r.clock.Now().Add(d).After(end) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(d):
		return true
	}
}

// attempt sends the request to the first target that accepts a connection. Other
// transport errors have an unknown outcome, as the request may have been received.
func (r *run) attempt(ctx context.Context, req request) exchange {
	for _, target := range r.targets.rotation() {
		e, err := r.post(ctx, target, req)
		if err == nil {
			return e
		}
		if !isDialError(err) {
			return exchange{outcome: caller.OutcomeUnknown, refusal: "noAnswer"}
		}
	}
	return exchange{outcome: caller.OutcomeNotRun, refusal: "unreachable"}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// post sends the request to one target. An error means that there was no complete
// response.
func (r *run) post(ctx context.Context, target string, req request) (exchange, error) {
	body := r.body(req.token)
	address := fmt.Sprintf("http://%s/v1/services/%s", target, url.PathEscape(string(req.workload)))
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return exchange{}, err
	}
	remaining := req.intended.Add(r.cfg.Deadline).Sub(r.clock.Now())
	httpReq.Header.Set(caller.HeaderKey, req.token)
	httpReq.Header.Set(caller.HeaderRequestID, req.token)
	httpReq.Header.Set(caller.HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	resp, err := r.targets.http.Do(httpReq)
	if err != nil {
		return exchange{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return exchange{}, err
	}
	return parseResponse(resp, answer, req.token, body), nil
}

// body returns the token, padded to the configured size.
func (r *run) body(token string) []byte {
	prefix := token + tokenTerminator
	return []byte(prefix + strings.Repeat("x", max(0, r.cfg.BodyBytes-len(prefix))))
}

// parseResponse converts a response to its outcome, checking the answer if there is one.
func parseResponse(resp *http.Response, answer []byte, token string, body []byte) exchange {
	e := exchange{outcome: caller.Outcome(resp.Header.Get(caller.HeaderOutcome))}
	switch e.outcome {
	case caller.OutcomeAnswered:
		e.fault = checkAnswer(resp.Header.Get(caller.HeaderRequestID), answer, token, body)
	case caller.OutcomeNotRun, caller.OutcomeUnknown:
		e.refusal = strconv.Itoa(resp.StatusCode)
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			e.retryAfter = time.Duration(s) * time.Second
		}
	default:
		e.outcome, e.refusal = caller.OutcomeUnknown, "noOutcome"
	}
	return e
}

// checkAnswer checks that an answer is complete and belongs to the request.
func checkAnswer(id string, answer []byte, token string, body []byte) Fault {
	switch {
	case id != token || !bytes.Contains(answer, []byte(token+tokenTerminator)):
		if isPrefixOf(answer, body) {
			return FaultTruncated
		}
		return FaultForeign
	case bytes.Count(answer, []byte(token+tokenTerminator)) > 1:
		return FaultDoubled
	case !bytes.Contains(answer, body):
		return FaultTruncated
	default:
		return FaultNone
	}
}

// isPrefixOf reports whether an answer is a prefix of the request body.
func isPrefixOf(answer, body []byte) bool {
	return bytes.HasPrefix(body, answer)
}
