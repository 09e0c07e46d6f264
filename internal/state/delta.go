package state

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/wire"
)

func compareResidents(a, b *wire.Resident) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}

func compareSections(a, b *wire.Section) int { return cmp.Compare(a.Team, b.Team) }

func compareEntries(a, b *wire.EntryVM) int { return cmp.Compare(a.Id, b.Id) }

func compareEndpoints(a, b *wire.Endpoint) int { return cmp.Compare(a.Id, b.Id) }

func compareSuspects(a, b *wire.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }

// DiffView returns the delta between two views.
func DiffView(old, next *wire.View) *wire.ViewDelta {
	d := &wire.ViewDelta{FromRevision: old.GetRevision(), ToRevision: next.GetRevision(), Changed: &wire.View{Revision: next.GetRevision()}}
	var sections []*wire.Section
	var entries []*wire.EntryVM
	var endpoints []*wire.Endpoint
	var suspects []*wire.Suspect
	var residents []*wire.Resident
	d.Changed.Sections, sections = diffItems(old.GetSections(), next.GetSections(), compareSections)
	d.Changed.Entries, entries = diffItems(old.GetEntries(), next.GetEntries(), compareEntries)
	d.Changed.Endpoints, endpoints = diffItems(old.GetEndpoints(), next.GetEndpoints(), compareEndpoints)
	d.Changed.Residents, residents = diffItems(old.GetResidents(), next.GetResidents(), compareResidents)
	d.Changed.Suspects, suspects = diffItems(old.GetSuspects(), next.GetSuspects(), compareSuspects)
	for _, s := range sections {
		d.RemovedSections = append(d.RemovedSections, s.Team)
	}
	for _, e := range entries {
		d.RemovedEntries = append(d.RemovedEntries, e.Id)
	}
	for _, e := range endpoints {
		d.RemovedEndpoints = append(d.RemovedEndpoints, e.Id)
	}
	for _, r := range residents {
		d.RemovedResidents = append(d.RemovedResidents, &wire.Resident{Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter})
	}
	for _, s := range suspects {
		d.RemovedSuspects = append(d.RemovedSuspects, s.Fingerprint)
	}
	return d
}

// diffItems returns the items of next that differ from old, and the items of old
// that next lacks. Both lists must be sorted.
func diffItems[V proto.Message](old, next []V, compare func(a, b V) int) (changed, removed []V) {
	i, j := 0, 0
	for i < len(old) || j < len(next) {
		order := -1
		switch {
		case i == len(old):
			order = 1
		case j < len(next):
			order = compare(old[i], next[j])
		}
		switch {
		case order < 0:
			removed = append(removed, old[i])
			i++
		case order > 0:
			changed = append(changed, next[j])
			j++
		default:
			if !proto.Equal(old[i], next[j]) {
				changed = append(changed, next[j])
			}
			i++
			j++
		}
	}
	return changed, removed
}

// PatchView applies the delta and returns the new view, or nil if the delta does
// not start at the revision of the old view. It does not modify the old view.
func PatchView(old *wire.View, d *wire.ViewDelta) *wire.View {
	if old == nil || old.Revision != d.FromRevision || d.ToRevision < d.FromRevision {
		return nil
	}
	changed := d.GetChanged()
	var sections []*wire.Section
	for _, team := range d.RemovedSections {
		sections = append(sections, &wire.Section{Team: team})
	}
	var entries []*wire.EntryVM
	for _, id := range d.RemovedEntries {
		entries = append(entries, &wire.EntryVM{Id: id})
	}
	var endpoints []*wire.Endpoint
	for _, id := range d.RemovedEndpoints {
		endpoints = append(endpoints, &wire.Endpoint{Id: id})
	}
	var suspects []*wire.Suspect
	for _, f := range d.RemovedSuspects {
		suspects = append(suspects, &wire.Suspect{Fingerprint: f})
	}
	return &wire.View{
		Revision:  d.ToRevision,
		Sections:  patchItems(old.Sections, changed.GetSections(), sections, compareSections),
		Entries:   patchItems(old.Entries, changed.GetEntries(), entries, compareEntries),
		Endpoints: patchItems(old.Endpoints, changed.GetEndpoints(), endpoints, compareEndpoints),
		Residents: patchItems(old.Residents, changed.GetResidents(), d.RemovedResidents, compareResidents),
		Suspects:  patchItems(old.Suspects, changed.GetSuspects(), suspects, compareSuspects),
	}
}

func patchItems[V any](old, changed, removed []V, compare func(a, b V) int) []V {
	out := slices.Clone(changed)
	for _, v := range old {
		same := func(x V) bool { return compare(x, v) == 0 }
		if !slices.ContainsFunc(changed, same) && !slices.ContainsFunc(removed, same) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, compare)
	return out
}
