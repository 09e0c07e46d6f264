package document

import (
	"fmt"

	"parsleyramp/internal/fail"
)

// Check returns an error if the document cannot be applied. The error names the
// route or service and the field.
func (d *Document) Check() error {
	if d.Version == 0 {
		return invalid("version: must be above zero")
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" {
			return invalid("services: a service has no name")
		}
		if services[s.Name] {
			return invalid(fmt.Sprintf("services: duplicate service name %s", s.Name))
		}
		services[s.Name] = true
	}
	prefixes := map[string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		hostPrefix := r.Host + " " + r.Prefix
		if other, ok := prefixes[hostPrefix]; ok {
			return invalid(fmt.Sprintf("route %s: same host and path prefix as route %s", r.Name, other))
		}
		prefixes[hostPrefix] = r.Name
	}
	return d.checkWorkspaces()
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid(fmt.Sprintf("route %s: host is missing", r.Name))
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return invalid(fmt.Sprintf("route %s: path prefix must begin and end with a slash", r.Name))
	case r.Timeout <= 0:
		return invalid(fmt.Sprintf("route %s: timeout must be above zero", r.Name))
	case len(r.Split) == 0:
		return invalid(fmt.Sprintf("route %s: no service", r.Name))
	}
	total := 0.0
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalid(fmt.Sprintf("route %s: service %q is not declared", r.Name, s.Service))
		}
		if s.Weight < 0 {
			return invalid(fmt.Sprintf("route %s: weight of service %s is negative", r.Name, s.Service))
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid(fmt.Sprintf("route %s: the weights of its services sum to zero", r.Name))
	}
	return nil
}

func invalid(message string) error { return fail.New(fail.BadDocument, message) }
