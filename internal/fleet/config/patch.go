package config

import (
	"bytes"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// Apply carries out an order on the current configuration (empty: there is none yet): a whole
// configuration, or with patch a change of named items. It returns the configuration that
// follows and its revision. Whether the order was made on top of the current version is for the
// caller to check.
func Apply(current []byte, patch bool, body []byte) ([]byte, int64, error) {
	var cur *Document
	if len(current) > 0 {
		d, err := Parse(current)
		if err != nil {
			return nil, 0, err
		}
		cur = d
	}
	next, err := cur.Apply(patch, body)
	if err != nil {
		return nil, 0, err
	}
	return next.raw, next.Revision, nil
}

// Apply is the function Next for a configuration that is parsed already; d is nil if there is
// none. The result keeps body.
func (d *Document) Apply(patch bool, body []byte) (*Document, error) {
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
			return nil, invalidError("", "put a whole configuration first", "there is no configuration to change")
		}
		changed, err := d.applyPatch(body)
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
		return nil, invalidError("revision", "give a higher one", "it is %d and the current one is %d", next.Revision, revision)
	}
	return next, nil
}

// member is one key of an object, both as they came.
type member struct{ key, value []byte }

func splitObject(obj []byte) (all []member, err error) {
	err = forEachMember(obj, func(key, val []byte) error {
		all = append(all, member{key, val})
		return nil
	})
	return all, err
}

func findMember(all []member, key []byte) *member {
	for i := range all {
		if bytes.Equal(all[i].key, key) {
			return &all[i]
		}
	}
	return nil
}

// applyPatch returns the text of the configuration with the change made; everything that the change
// doesn't name stays byte for byte and in its order.
func (d *Document) applyPatch(body []byte) ([]byte, error) {
	if err := validateObject(body); err != nil {
		return nil, err
	}
	change, err := splitObject(body)
	if err != nil {
		return nil, err
	}
	out, err := splitObject(d.raw)
	if err != nil {
		return nil, err
	}
	set := func(key, val []byte) {
		if m := findMember(out, key); m != nil {
			m.value = val
		} else {
			out = append(out, member{key, val})
		}
	}
	if findMember(change, []byte("revision")) == nil {
		return nil, invalidError("revision", "give one above the current one", "it is missing")
	}
	for _, c := range change {
		switch string(c.key) {
		case "upsert", "remove": // below
		case "routes", "services":
			return nil, invalidError(string(c.key), "name the items under upsert and remove", "a change of items can't send the whole list")
		default: // a field of the whole configuration, such as limits
			old := findMember(out, c.key)
			if old != nil && isObject(old.value) && isObject(c.value) {
				if c.value, err = mergeObjects(old.value, c.value); err != nil {
					return nil, apierror.PrefixKey(err, truncate(c.key))
				}
			}
			set(c.key, c.value)
		}
	}
	// What is removed and sent again is there after all, in its new form.
	for _, step := range []struct {
		key   string
		apply func(old, val []byte) ([]byte, error)
	}{{"remove", removeItems}, {"upsert", upsertItems}} {
		c := findMember(change, []byte(step.key))
		if c == nil || isNull(c.value) {
			continue
		}
		if !isObject(c.value) {
			return nil, typeError([]byte(step.key), "an object of lists")
		}
		err := forEachMember(c.value, func(key, val []byte) error {
			var old []byte
			if m := findMember(out, key); m != nil {
				old = m.value
			}
			now, err := step.apply(old, val)
			if err != nil {
				return apierror.PrefixKey(err, truncate(key))
			}
			if now != nil {
				set(key, now)
			}
			return nil
		})
		if err != nil {
			return nil, apierror.PrefixKey(err, step.key)
		}
	}
	return joinObject(out), nil
}

// mergeObjects returns the object old with the members of change put in.
func mergeObjects(old, change []byte) ([]byte, error) {
	out, err := splitObject(old)
	if err != nil {
		return nil, err
	}
	err = forEachMember(change, func(key, val []byte) error {
		if m := findMember(out, key); m != nil {
			m.value = val
		} else {
			out = append(out, member{key, val})
		}
		return nil
	})
	return joinObject(out), err
}

// removeItems returns the list old without the items that names lists, nil to leave it as it is. A
// name that isn't there is no error: what the operator wants is the case.
func removeItems(old, names []byte) ([]byte, error) {
	if !isArray(names) {
		return nil, typeError(nil, "a list of names")
	}
	gone := map[string]bool{}
	err := forEachElement(names, func(i int, val []byte) error {
		if !isString(val) {
			return typeError([]byte(strconv.Itoa(i)), "a name")
		}
		gone[unquote(val)] = true
		return nil
	})
	if err != nil || old == nil || isNull(old) {
		return nil, err
	}
	if !isArray(old) {
		return nil, invalidError("", "send it anew instead", "there is no list of named items")
	}
	var kept [][]byte
	err = forEachElement(old, func(_ int, item []byte) error {
		name, err := nameOf(item)
		if name == "" || !gone[name] {
			kept = append(kept, item)
		}
		return err
	})
	return joinList(kept), err
}

// upsertItems returns the list old with the items of val put in, by name where it is there, else at
// the end. An object takes the place of an object member by member.
func upsertItems(old, val []byte) ([]byte, error) {
	if isObject(val) && old != nil && isObject(old) {
		return mergeObjects(old, val)
	}
	if isObject(val) && old == nil {
		return val, nil
	}
	if !isArray(val) || old != nil && !isArray(old) && !isNull(old) {
		return nil, typeError(nil, "a list of items")
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
	if old != nil && isArray(old) {
		if err := forEachElement(old, func(_ int, item []byte) error { return add(item) }); err != nil {
			return nil, err
		}
	}
	sent := map[string]bool{}
	err := forEachElement(val, func(i int, item []byte) error {
		name, err := nameOf(item)
		switch j, there := at[name]; {
		case err != nil:
			return apierror.PrefixKey(err, strconv.Itoa(i))
		case name == "":
			return invalidError(strconv.Itoa(i)+".name", "give each item its name", "it is missing")
		case sent[name]:
			return invalidError(truncate(name)+".name", "send each item once", "the item comes twice")
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
		n += len(m.key) + len(m.value) + 4
	}
	b := append(make([]byte, 0, n), '{')
	for i, m := range all {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(appendQuoted(b, m.key), ':'), m.value...)
	}
	return append(b, '}')
}

func joinList(all [][]byte) []byte {
	b := append([]byte{'['}, bytes.Join(all, []byte{','})...)
	return append(b, ']')
}
