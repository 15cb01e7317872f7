package config

import (
	"bytes"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// Next carries out an order on the current configuration (empty: there is none yet): a whole
// configuration, or with patch a change of named items. It returns the configuration that
// follows and its revision. Whether the order was made on top of the current version is for the
// caller to check.
func Next(current []byte, patch bool, body []byte) ([]byte, int64, error) {
	var cur *Doc
	if len(current) > 0 {
		d, err := Parse(current)
		if err != nil {
			return nil, 0, err
		}
		cur = d
	}
	next, err := cur.Next(patch, body)
	if err != nil {
		return nil, 0, err
	}
	return next.raw, next.Revision, nil
}

// Next is the function Next for a configuration that is parsed already; d is nil if there is
// none. The result keeps body.
func (d *Doc) Next(patch bool, body []byte) (*Doc, error) {
	var revision int64
	if d != nil {
		revision = d.Revision
	}
	if len(body) > MaxBody {
		return nil, apierror.New(apierror.TooLarge, "", "send less at once",
			"the body has %d bytes, at most %d are taken", len(body), MaxBody)
	}
	if patch {
		if d == nil {
			return nil, invalid("", "put a whole configuration first", "there is no configuration to change")
		}
		changed, err := d.patched(body)
		if err != nil {
			return nil, err
		}
		body = changed
	}
	next, err := Parse(body)
	if err != nil {
		return nil, err
	}
	if next.Revision <= revision {
		return nil, invalid("revision", "give a higher one", "it is %d and the current one is %d", next.Revision, revision)
	}
	return next, nil
}

// member is one key of an object, both as they came.
type member struct{ key, val []byte }

func split(obj []byte) (all []member, err error) {
	err = members(obj, func(key, val []byte) error {
		all = append(all, member{key, val})
		return nil
	})
	return all, err
}

func find(all []member, key []byte) *member {
	for i := range all {
		if bytes.Equal(all[i].key, key) {
			return &all[i]
		}
	}
	return nil
}

// patched returns the text of the configuration with the change made; everything that the change
// doesn't name stays byte for byte and in its order.
func (d *Doc) patched(body []byte) ([]byte, error) {
	if err := sound(body); err != nil {
		return nil, err
	}
	change, err := split(body)
	if err != nil {
		return nil, err
	}
	out, err := split(d.raw)
	if err != nil {
		return nil, err
	}
	set := func(key, val []byte) {
		if m := find(out, key); m != nil {
			m.val = val
		} else {
			out = append(out, member{key, val})
		}
	}
	if find(change, []byte("revision")) == nil {
		return nil, invalid("revision", "give one above the current one", "it is missing")
	}
	for _, c := range change {
		switch string(c.key) {
		case "upsert", "remove": // below
		case "routes", "services":
			return nil, invalid(string(c.key), "name the items under upsert and remove", "a change of items can't send the whole list")
		default: // a field of the whole configuration, such as limits
			old := find(out, c.key)
			if old != nil && isObject(old.val) && isObject(c.val) {
				if c.val, err = merged(old.val, c.val); err != nil {
					return nil, apierror.Within(err, clip(c.key))
				}
			}
			set(c.key, c.val)
		}
	}
	// What is removed and sent again is there after all, in its new form.
	for _, step := range []struct {
		key   string
		apply func(old, val []byte) ([]byte, error)
	}{{"remove", removed}, {"upsert", upserted}} {
		c := find(change, []byte(step.key))
		if c == nil || isNull(c.val) {
			continue
		}
		if !isObject(c.val) {
			return nil, wrongType([]byte(step.key), "an object of lists")
		}
		err := members(c.val, func(key, val []byte) error {
			var old []byte
			if m := find(out, key); m != nil {
				old = m.val
			}
			now, err := step.apply(old, val)
			if err != nil {
				return apierror.Within(err, clip(key))
			}
			if now != nil {
				set(key, now)
			}
			return nil
		})
		if err != nil {
			return nil, apierror.Within(err, step.key)
		}
	}
	return joinObject(out), nil
}

// merged returns the object old with the members of change put in.
func merged(old, change []byte) ([]byte, error) {
	out, err := split(old)
	if err != nil {
		return nil, err
	}
	err = members(change, func(key, val []byte) error {
		if m := find(out, key); m != nil {
			m.val = val
		} else {
			out = append(out, member{key, val})
		}
		return nil
	})
	return joinObject(out), err
}

// removed returns the list old without the items that names lists, nil to leave it as it is. A
// name that isn't there is no error: what the operator wants is the case.
func removed(old, names []byte) ([]byte, error) {
	if !isList(names) {
		return nil, wrongType(nil, "a list of names")
	}
	gone := map[string]bool{}
	err := elements(names, func(i int, val []byte) error {
		if !isString(val) {
			return wrongType([]byte(strconv.Itoa(i)), "a name")
		}
		gone[text(val)] = true
		return nil
	})
	if err != nil || old == nil || isNull(old) {
		return nil, err
	}
	if !isList(old) {
		return nil, invalid("", "send it anew instead", "there is no list of named items")
	}
	var kept [][]byte
	err = elements(old, func(_ int, item []byte) error {
		name, err := nameOf(item)
		if name == "" || !gone[name] {
			kept = append(kept, item)
		}
		return err
	})
	return joinList(kept), err
}

// upserted returns the list old with the items of val put in, by name where it is there, else at
// the end. An object takes the place of an object member by member.
func upserted(old, val []byte) ([]byte, error) {
	if isObject(val) && old != nil && isObject(old) {
		return merged(old, val)
	}
	if isObject(val) && old == nil {
		return val, nil
	}
	if !isList(val) || old != nil && !isList(old) && !isNull(old) {
		return nil, wrongType(nil, "a list of items")
	}
	var all [][]byte
	at := map[string]int{}
	add := func(item []byte) error {
		name, err := nameOf(item)
		if name != "" {
			at[name] = len(all)
		}
		all = append(all, item)
		return err
	}
	if old != nil && isList(old) {
		if err := elements(old, func(_ int, item []byte) error { return add(item) }); err != nil {
			return nil, err
		}
	}
	sent := map[string]bool{}
	err := elements(val, func(i int, item []byte) error {
		name, err := nameOf(item)
		switch j, there := at[name]; {
		case err != nil:
			return apierror.Within(err, strconv.Itoa(i))
		case name == "":
			return invalid(strconv.Itoa(i)+".name", "give each item its name", "it is missing")
		case sent[name]:
			return invalid(clip(name)+".name", "send each item once", "the item comes twice")
		case there:
			all[j] = item
		default:
			all = append(all, item)
		}
		sent[name] = true
		return nil
	})
	return joinList(all), err
}

func joinObject(all []member) []byte {
	n := 2
	for _, m := range all {
		n += len(m.key) + len(m.val) + 4
	}
	b := append(make([]byte, 0, n), '{')
	for i, m := range all {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(quote(b, m.key), ':'), m.val...)
	}
	return append(b, '}')
}

func joinList(all [][]byte) []byte {
	b := append([]byte{'['}, bytes.Join(all, []byte{','})...)
	return append(b, ']')
}
