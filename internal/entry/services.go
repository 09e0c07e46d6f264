package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

// maxKeyClockSkew is how far the time of a key may be ahead of this entry's clock.
const maxKeyClockSkew = 5 * time.Minute

// serveService serves a call to a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.requestContext(r)
	defer cancel()
	ctx, span := telemetry.StartSpan(ctx, "caller", attribute.String("path", r.URL.Path))
	defer span.End()
	c, err := s.session.catalog()
	if err != nil {
		writeError(w, withKeyOutcome(r, err))
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
		s.respond(ctx, w, j, false)
		return
	}
	response, err := s.serveOnce(ctx, svc, r, j)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, response)
}

// withKeyOutcome sets the outcome of a call with an idempotency key to unknown in a
// rejection of this entry, because an earlier copy sent to another entry may have
// run.
func withKeyOutcome(r *http.Request, err error) error {
	if r.Header.Get(HeaderIdempotencyKey) == "" {
		return err
	}
	return fail.From(err).WithRan(fail.RanUnknown)
}

// isIdempotent reports whether calls with the method may be retried (RFC 9110,
// section 9.2.2). POST and PATCH are not idempotent.
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

// claimKey validates the idempotency key: a version 7 UUID (RFC 9562, section 5.7)
// whose time lies within the retention of claim records. It returns the key of the
// claim and the time of the key in Unix milliseconds.
func (s *Server) claimKey(svc *service, key string) (string, int64, error) {
	if key == "" {
		return "", 0, fail.New(fail.MissingKey, "this call runs at most once and needs an "+HeaderIdempotencyKey+" header with a version 7 UUID")
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return "", 0, fail.New(fail.BadRequest, HeaderIdempotencyKey+" must be a version 7 UUID")
	}
	sec, nsec := id.Time().UnixTime()
	keyTime := time.Unix(sec, nsec)
	now := time.Now()
	if keyTime.Before(now.Add(-s.cfg.ClaimRetention.D())) {
		return "", 0, fail.New(fail.KeyExpired, "the key is older than "+s.cfg.ClaimRetention.D().String()+", the retention of claim records").WithRan(fail.RanUnknown)
	}
	if keyTime.After(now.Add(maxKeyClockSkew)) {
		return "", 0, fail.New(fail.BadRequest, "the time of the key lies in the future")
	}
	return svc.spec.Name + "/" + id.String(), keyTime.UnixMilli(), nil
}

// serveOnce runs a non-idempotent call at most once.
func (s *Server) serveOnce(ctx context.Context, svc *service, r *http.Request, j *job) (*wire.RecordedAnswer, error) {
	key, keyTime, err := s.claimKey(svc, r.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		return nil, err
	}
	digest := xxhash.Sum64String(r.Method + " " + r.URL.RequestURI() + " " + strconv.FormatUint(j.template.Fingerprint, 16))
	c := claims{store: &claimClient{control: s.control, background: s.background}, log: s.log.WithField("request", j.id)}
	return c.runOnce(ctx, &wire.BeginClaim{
		Key: key, Digest: digest, HolderEntry: s.cfg.ID, HolderIncarnation: s.incarnation, KeyUnixMs: keyTime, Token: j.id,
	}, func(ctx context.Context) (*wire.RecordedAnswer, error) { return s.collect(ctx, j) })
}
