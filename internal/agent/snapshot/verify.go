package snapshot

import (
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// RecoverFaults runs a function that reads or writes a bbolt file. It turns the panics of the library on a
// damaged file, and the memory faults beyond the end of a truncated one, into errors.
func RecoverFaults(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged: %v", p)
		}
	}()
	return do()
}

// VerifyFile reads a complete bbolt file of another package and reports damage as an error. Without this
// check, a later panic on a goroutine of a library would end the process. VerifyFile holds the file's lock
// while it reads.
func VerifyFile(path string) error {
	err := RecoverFaults(func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{
			ReadOnly: true, PreLoadFreelist: true, Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType,
		})
		if err != nil {
			return err
		}
		defer db.Close()
		sum := xxhash.New()
		var walk func(b *bbolt.Bucket) error
		walk = func(b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, _ = sum.Write(k) // a hash never fails
				_, _ = sum.Write(v)
				if v != nil {
					return nil
				}
				if sub := b.Bucket(k); sub != nil {
					return walk(sub)
				}
				return errors.New("a key without a value is not a bucket")
			})
		}
		return db.View(func(tx *bbolt.Tx) error {
			return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return walk(b) })
		})
	})
	if err != nil {
		return fmt.Errorf("snapshot: %s: %w", path, err)
	}
	return nil
}
