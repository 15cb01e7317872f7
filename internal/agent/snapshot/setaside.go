package snapshot

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// setAside renames a file to an unused name that contains the reason, and returns that name. Of all files
// that were set aside, it retains the maxSetAside that were modified last.
func setAside(path, reason string) (string, error) {
	for i := 1; ; i++ {
		target := fmt.Sprintf("%s.%s-%d", path, reason, i)
		if _, err := os.Lstat(target); err == nil {
			continue
		}
		if err := os.Rename(path, target); err != nil {
			return "", fmt.Errorf("snapshot: %w", err)
		}
		files, err := filepath.Glob(path + ".*-*")
		if err != nil || len(files) <= maxSetAside {
			return target, nil
		}
		slices.SortStableFunc(files, func(a, b string) int { return modificationTime(a).Compare(modificationTime(b)) })
		for _, file := range files[:len(files)-maxSetAside] {
			if file != target {
				_ = os.Remove(file) // best effort: an error leaves the file in place
			}
		}
		return target, nil
	}
}

func modificationTime(path string) time.Time {
	if info, err := os.Stat(path); err == nil {
		return info.ModTime()
	}
	return time.Time{}
}
