package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

// claimTimeout bounds the wait for control before and after a claimed call.
const claimTimeout = 3 * time.Second

// recordTimeout bounds the recording of an outcome, which goes on after the
// caller has left.
const recordTimeout = 30 * time.Second

// keyClockSkew is how far a key's time may lie ahead of this entry's clock.
const keyClockSkew = 5 * time.Minute

// serveService routes a call to a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.requestContext(r)
	defer cancel()
	ctx, span := telemetry.StartSpan(ctx, "caller", attribute.String("path", r.URL.Path))
	defer span.End()
	c, err := s.session.catalog()
	if err != nil {
		writeError(w, err)
		return
	}
	svc := c.serviceFor(r.URL.Path)
	if svc == nil {
		writeError(w, fail.New(fail.UnknownPath, "no service is declared at "+r.URL.Path))
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	j := newServiceJob(svc, r, body)
	if !svc.nonIdempotent(r.Method, r.URL.Path) {
		j.template.Idempotent = isIdempotent(r.Method)
		s.answer(ctx, w, j, false)
		return
	}
	answer, err := s.runOnce(ctx, svc, r, j)
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, answer)
}

// isIdempotent tells which methods may be repeated (RFC 9110, 9.2.2).
func isIdempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

func newServiceJob(svc *service, r *http.Request, body []byte) *job {
	path := r.URL.Path
	return &job{
		id: uuid.NewString(),
		template: &wire.ForwardRequest{
			Method: r.Method, Path: r.URL.RequestURI(), ContentType: r.Header.Get("Content-Type"), Team: svc.team,
			Fingerprint: xxhash.Sum64(body),
		},
		targets: func(c *catalog) []target {
			if current := c.serviceFor(path); current != nil {
				return current.targets
			}
			return nil
		},
		body: func(target) []byte { return body },
	}
}

// claimKey checks the idempotency key: a UUID of version 7, whose time lies
// within the retention of records (RFC 9562, 5.7).
func (s *Server) claimKey(svc *service, key string) (string, int64, error) {
	if key == "" {
		return "", 0, fail.New(fail.MissingKey, "this call runs at most once and needs an "+HeaderIdempotencyKey+" header with a version 7 UUID")
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return "", 0, fail.New(fail.BadRequest, HeaderIdempotencyKey+" must be a version 7 UUID")
	}
	sec, nsec := id.Time().UnixTime()
	at := time.Unix(sec, nsec)
	now := time.Now()
	if at.Before(now.Add(-s.cfg.ClaimRetention.D())) {
		return "", 0, fail.New(fail.KeyExpired, "the key is older than "+s.cfg.ClaimRetention.D().String()+", for which records are kept")
	}
	if at.After(now.Add(keyClockSkew)) {
		return "", 0, fail.New(fail.BadRequest, "the key's time lies in the future")
	}
	return svc.spec.Name + "/" + id.String(), at.UnixMilli(), nil
}

// runOnce claims the key before anything is sent and records the outcome
// afterwards. A repeat gets the recorded answer or is told what is known.
func (s *Server) runOnce(ctx context.Context, svc *service, r *http.Request, j *job) (*wire.RecordedAnswer, error) {
	key, keyTime, err := s.claimKey(svc, r.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		return nil, err
	}
	digest := xxhash.Sum64String(r.Method + " " + r.URL.RequestURI() + " " + strconv.FormatUint(j.template.Fingerprint, 16))
	begun, err := s.beginClaim(ctx, &wire.BeginClaim{
		Key: key, Digest: digest, HolderEntry: s.cfg.ID, HolderIncarnation: s.incarnation, KeyUnixMs: keyTime, Token: j.id,
	})
	if err != nil {
		return nil, err
	}
	if !begun.Granted {
		return repeatAnswer(begun.Claim, digest)
	}
	answer, err := s.collect(ctx, j)
	finish := &wire.FinishClaim{Key: key, Attempt: begun.Claim.Attempt, State: claimOutcome(err), Answer: answer}
	if recordErr := s.finishClaim(ctx, finish); recordErr != nil {
		s.log.WithError(recordErr).WithField("request", j.id).Error("outcome not recorded")
		if err == nil {
			return answer, nil
		}
	}
	return answer, err
}

func claimOutcome(err error) wire.ClaimState {
	switch {
	case err == nil:
		return wire.ClaimState_CLAIM_STATE_DONE
	case fail.From(err).Ran == fail.RanNo:
		return wire.ClaimState_CLAIM_STATE_NOT_RUN
	}
	return wire.ClaimState_CLAIM_STATE_UNKNOWN
}

// repeatAnswer answers a request whose key was claimed before.
func repeatAnswer(c *wire.Claim, digest uint64) (*wire.RecordedAnswer, error) {
	switch {
	case c == nil:
		return nil, fail.New(fail.KeyExpired, "the key is older than the records that are kept")
	case c.Digest != digest:
		return nil, fail.New(fail.KeyReused, "the key was used with another request")
	case c.State == wire.ClaimState_CLAIM_STATE_DONE:
		return c.Answer, nil
	case c.State == wire.ClaimState_CLAIM_STATE_PENDING:
		return nil, fail.New(fail.InProgress, "the first request with this key is still in progress").WithRan(fail.RanUnknown).WithRetryAfter(time.Second)
	}
	return nil, fail.New(fail.OutcomeUnknown, "the first request with this key may have run; its outcome cannot be learned").WithRan(fail.RanUnknown)
}

func (s *Server) beginClaim(ctx context.Context, b *wire.BeginClaim) (*wire.BeginClaimResponse, error) {
	ctx, span := telemetry.StartSpan(ctx, "begin_claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var out *wire.BeginClaimResponse
	err := s.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Control.BeginClaim(ctx, connect.NewRequest(b))
		if err == nil {
			out = r.Msg
		}
		return err
	})
	if err != nil {
		// Nothing was sent to the endpoint, whatever became of the claim.
		return nil, fail.Wrap(err, fail.Unavailable, "the claim could not be recorded").WithRetryAfter(time.Second)
	}
	return out, nil
}

func (s *Server) finishClaim(ctx context.Context, f *wire.FinishClaim) error {
	ctx, span := telemetry.StartSpan(ctx, "finish_claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	return s.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		_, err := c.Control.FinishClaim(ctx, connect.NewRequest(f))
		return err
	})
}
