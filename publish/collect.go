package publish

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// DefaultPattern matches the names of service settings files.
const DefaultPattern = "*.yaml"

// Collect reads the service settings files below dir whose names match pattern.
// Directories whose names start with a dot are skipped. Paths in the result are
// relative to dir, so that a revision does not depend on where it was checked
// out.
func Collect(dir, pattern string) ([]settings.File, error) {
	if _, err := filepath.Match(pattern, ""); err != nil {
		return nil, errors.Annotatef(err, "pattern %q", pattern)
	}
	var files []settings.File
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != dir && strings.HasPrefix(entry.Name(), ".") {
				return filepath.SkipDir
			}
			return nil
		}
		if ok, _ := filepath.Match(pattern, entry.Name()); !ok {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		files = append(files, settings.File{Path: filepath.ToSlash(relative), Text: string(text)})
		return nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(files) == 0 {
		return nil, errors.Errorf("directory %q holds no files that match %q", dir, pattern)
	}
	return sortedFiles(files), nil
}
