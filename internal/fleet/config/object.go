package config

import "bytes"

// object is a JSON object as the list of its members in their order.
type object []member

// member is one member of an object: its key, unquoted, and the JSON text of its value.
type member struct{ key, value []byte }

// splitObject returns the members of an object that is valid JSON.
func splitObject(raw []byte) (object, error) {
	var o object
	err := forEachMember(raw, func(key, value []byte) error {
		o = append(o, member{key, value})
		return nil
	})
	return o, err
}

// find returns the member with a key, nil if there is none. The pointer is valid until the next call of set.
func (o object) find(key []byte) *member {
	for i := range o {
		if bytes.Equal(o[i].key, key) {
			return &o[i]
		}
	}
	return nil
}

// set replaces the value of a member, or appends the member if there is none with its key.
func (o *object) set(key, value []byte) {
	if m := o.find(key); m != nil {
		m.value = value
		return
	}
	*o = append(*o, member{key, value})
}

// join returns the object as JSON.
func (o object) join() []byte {
	size := len("{}")
	for _, m := range o {
		size += len(m.key) + len(m.value) + len(`"":,`)
	}
	raw := append(make([]byte, 0, size), '{')
	for i, m := range o {
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = append(appendQuoted(raw, m.key), ':')
		raw = append(raw, m.value...)
	}
	return append(raw, '}')
}

// mergeObjects returns the object current after setting all members of the object change in it.
func mergeObjects(current, change []byte) ([]byte, error) {
	merged, err := splitObject(current)
	if err != nil {
		return nil, err
	}
	err = forEachMember(change, func(key, value []byte) error {
		merged.set(key, value)
		return nil
	})
	return merged.join(), err
}
