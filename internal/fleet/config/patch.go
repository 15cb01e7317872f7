package config

import (
	"bytes"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// Apply applies a request to the current configuration, which is empty if there is none yet. The body is
// a patch (a change of named items) if patch is true, otherwise a complete configuration. Apply returns
// the resulting configuration and its revision. The caller has to check that the request was made for
// the current revision.
func Apply(current []byte, patch bool, body []byte) (next []byte, revision int64, err error) {
	var document *Document
	if len(current) > 0 {
		if document, err = Parse(current); err != nil {
			return nil, 0, err
		}
	}
	result, err := document.Apply(patch, body)
	if err != nil {
		return nil, 0, err
	}
	return result.raw, result.Revision, nil
}

// Apply does what the function Apply does, for a configuration that is already parsed. d is nil if there
// is none. The result may retain body.
func (d *Document) Apply(patch bool, body []byte) (*Document, error) {
	var revision int64
	if d != nil {
		revision = d.Revision
	}
	if len(body) > MaxBody {
		return nil, apierror.New(apierror.TooLarge, "", "send less at once",
			"the body has %d bytes, at most %d are accepted", len(body), MaxBody)
	}
	if patch {
		if d == nil {
			return nil, invalidError("", "put a complete configuration first", "there is no configuration to change")
		}
		patched, err := d.applyPatch(body)
		if err != nil {
			return nil, err
		}
		body = patched
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

// The members of a patch that change lists of named items. All other members replace the document's member
// of the same key or are merged into it.
const (
	upsertKey = "upsert"
	removeKey = "remove"
)

// applyPatch returns the text of the configuration with a patch applied. Items and members that the patch
// does not name keep their bytes and order. An item that is both removed and upserted is in the result in
// its new form.
func (d *Document) applyPatch(body []byte) ([]byte, error) {
	if err := validateObject(body); err != nil {
		return nil, err
	}
	patch, err := splitObject(body)
	if err != nil {
		return nil, err
	}
	document, err := splitObject(d.raw)
	if err != nil {
		return nil, err
	}
	if patch.find([]byte("revision")) == nil {
		return nil, invalidError("revision", "give one above the current one", "it is missing")
	}
	if err := document.setFields(patch); err != nil {
		return nil, err
	}
	if err := document.changeLists(patch, removeKey, removeItems); err != nil {
		return nil, err
	}
	if err := document.changeLists(patch, upsertKey, upsertItems); err != nil {
		return nil, err
	}
	return document.join(), nil
}

// setFields applies the members of a patch other than upsert and remove, such as limits.
func (o *object) setFields(patch object) error {
	for _, field := range patch {
		value := field.value
		switch string(field.key) {
		case upsertKey, removeKey:
			continue
		case "routes", "services":
			return invalidError(string(field.key), "name the items under upsert and remove", "a patch can't replace the complete list")
		}
		if old := o.find(field.key); old != nil && isObject(old.value) && isObject(value) {
			merged, err := mergeObjects(old.value, value)
			if err != nil {
				return apierror.PrefixKey(err, truncate(field.key))
			}
			value = merged
		}
		o.set(field.key, value)
	}
	return nil
}

// changeLists applies the upsert or remove member of a patch, whichever key names. change returns the new
// text of a list, or nil to leave the list unchanged. Its argument current is nil if there is no list yet.
func (o *object) changeLists(patch object, key string, change func(current, items []byte) ([]byte, error)) error {
	lists := patch.find([]byte(key))
	if lists == nil || isNull(lists.value) {
		return nil
	}
	if !isObject(lists.value) {
		return typeError([]byte(key), "an object of lists")
	}
	err := forEachMember(lists.value, func(name, items []byte) error {
		var current []byte
		if m := o.find(name); m != nil {
			current = m.value
		}
		changed, err := change(current, items)
		if err != nil {
			return apierror.PrefixKey(err, truncate(name))
		}
		if changed != nil {
			o.set(name, changed)
		}
		return nil
	})
	return apierror.PrefixKey(err, key)
}

// removeItems returns a list without the items that have the given names, or nil to leave it unchanged.
// A name that is not in the list is no error, as the result is what the operator asked for.
func removeItems(list, names []byte) ([]byte, error) {
	if !isArray(names) {
		return nil, typeError(nil, "a list of names")
	}
	remove := map[string]bool{}
	err := forEachElement(names, func(i int, name []byte) error {
		if !isString(name) {
			return typeError([]byte(strconv.Itoa(i)), "a name")
		}
		remove[unquote(name)] = true
		return nil
	})
	if err != nil || list == nil || isNull(list) {
		return nil, err
	}
	if !isArray(list) {
		return nil, invalidError("", "send it anew instead", "there is no list of named items")
	}
	var remaining [][]byte
	err = forEachElement(list, func(_ int, item []byte) error {
		name, err := nameOf(item)
		if name == "" || !remove[name] {
			remaining = append(remaining, item)
		}
		return err
	})
	return joinList(remaining), err
}

// upsertItems returns a list in which each of items replaces the item of the same name or, if there is
// none, is appended. If both are objects, their members are merged.
func upsertItems(list, items []byte) ([]byte, error) {
	switch {
	case isObject(items) && list == nil:
		return items, nil
	case isObject(items) && isObject(list):
		return mergeObjects(list, items)
	case !isArray(items) || list != nil && !isArray(list) && !isNull(list):
		return nil, typeError(nil, "a list of items")
	}
	u := upsert{index: map[string]int{}, sent: map[string]bool{}}
	if list != nil && isArray(list) {
		if err := forEachElement(list, u.addCurrent); err != nil {
			return nil, err
		}
	}
	err := forEachElement(items, u.put)
	return joinList(u.items), err
}

// upsert is a list into which items are inserted or replaced by name.
type upsert struct {
	items [][]byte
	index map[string]int  // by name: index of a current item
	sent  map[string]bool // names of the items that the patch has put so far
}

func (u *upsert) addCurrent(_ int, item []byte) error {
	name, err := nameOf(item)
	if name != "" {
		u.index[name] = len(u.items)
	}
	u.items = append(u.items, item)
	return err
}

// put replaces the item of the same name by item i of the patch, or appends it.
func (u *upsert) put(i int, item []byte) error {
	name, err := nameOf(item)
	switch j, exists := u.index[name]; {
	case err != nil:
		return apierror.PrefixKey(err, strconv.Itoa(i))
	case name == "":
		return invalidError(strconv.Itoa(i)+".name", "give each item its name", "it is missing")
	case u.sent[name]:
		return invalidError(truncate(name)+".name", "send each item once", "the item comes twice")
	case exists:
		u.items[j] = item
	default:
		u.items = append(u.items, item)
	}
	u.sent[name] = true
	return nil
}

func joinList(items [][]byte) []byte {
	list := append([]byte{'['}, bytes.Join(items, []byte{','})...)
	return append(list, ']')
}
