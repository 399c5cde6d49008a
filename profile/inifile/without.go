package inifile

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"endivemoor.example/endivemoor/internal/inidoc"
)

// ErrNoProfile reports that the text does not declare the profile.
var ErrNoProfile = errors.New("no such profile")

// Without returns the text without the profile and its kinds. It preserves the comments of the other
// sections.
func Without(text []byte, profile string) ([]byte, error) {
	file, err := ini.LoadSources(inidoc.Options(), text)
	if err != nil {
		return nil, errors.Wrap(err, "read profiles")
	}
	if !file.HasSection(profile) {
		return nil, errors.WithMessage(ErrNoProfile, profile)
	}
	for _, section := range file.SectionStrings() {
		if section == profile || strings.HasPrefix(section, profile+".") {
			file.DeleteSection(section)
		}
	}
	var out bytes.Buffer
	_, err = file.WriteTo(&out)
	return out.Bytes(), errors.Wrap(err, "write profiles")
}
