package broker

import (
	"maps"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// owned holds the searchers that the records assign to one broker. Owners are
// computed again only for a record whose members changed, or after a change of
// the settings, and only for records in which the broker is a member: the fleet
// has many times more searchers, and most changes of the view are renewals.
type owned struct {
	broker    string
	settings  *settings.Set
	records   map[string]ownedRecord
	searchers map[string]settings.Placement
}

// ownedRecord is what was computed from the record of one failure domain.
type ownedRecord struct {
	record    *control.Record
	searchers []string
}

func newOwned(broker string) *owned {
	return &owned{broker: broker, records: make(map[string]ownedRecord)}
}

// update returns the searchers that the broker owns in the view, which must have
// settings. The map must not be changed.
func (o *owned) update(view *control.View) map[string]settings.Placement {
	altered := view.Settings != o.settings
	if altered {
		o.settings = view.Settings
		clear(o.records)
	}
	for domain := range o.records {
		if view.Records[domain] == nil {
			delete(o.records, domain)
			altered = true
		}
	}
	for domain, record := range view.Records {
		known, ok := o.records[domain]
		if known.record == record {
			continue
		}
		if !ok || !assign.SameOwners(known.record.Members, record.Members) {
			known.searchers = o.searchersIn(domain, record)
			altered = true
		}
		known.record = record
		o.records[domain] = known
	}
	if altered {
		o.collect()
	}
	return o.searchers
}

func (o *owned) searchersIn(domain string, record *control.Record) []string {
	if _, member := record.Member(o.broker); !member {
		return nil
	}
	var ids []string
	for id, p := range o.settings.Searchers {
		if p.FailureDomain != domain {
			continue
		}
		if owner, ok := assign.Owner(record.Members, id); ok && owner.ID == o.broker {
			ids = append(ids, id)
		}
	}
	return ids
}

func (o *owned) collect() {
	o.searchers = make(map[string]settings.Placement)
	for r := range maps.Values(o.records) {
		for _, id := range r.searchers {
			o.searchers[id] = o.settings.Searchers[id]
		}
	}
}
