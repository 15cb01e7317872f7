package snapshot

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// setAside renames a file to a name with the reason, and removes the oldest of such files.
func setAside(path, why string) (string, error) {
	for i := 1; ; i++ {
		to := fmt.Sprintf("%s.%s-%d", path, why, i)
		if _, err := os.Lstat(to); err == nil {
			continue
		}
		if err := os.Rename(path, to); err != nil {
			return "", fmt.Errorf("snapshot: %w", err)
		}
		old, err := filepath.Glob(path + ".*-*")
		if err != nil || len(old) <= maxSetAside {
			return to, nil
		}
		slices.SortStableFunc(old, func(a, b string) int { return modificationTime(a).Compare(modificationTime(b)) })
		for _, o := range old[:len(old)-maxSetAside] {
			if o != to {
				_ = os.Remove(o) // best effort: it stays if it can't be removed
			}
		}
		return to, nil
	}
}

func modificationTime(path string) time.Time {
	if info, err := os.Stat(path); err == nil {
		return info.ModTime()
	}
	return time.Time{}
}
