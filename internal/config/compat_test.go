package config

import (
	"testing"

	"dunemoor/internal/testutil/compat"
)

// Every key that the files may have.
func TestCompatKeys(t *testing.T) {
	compat.Keys(t, "appliance-keys.txt", "toml", &applianceFile{})
	compat.Keys(t, "recording-keys.txt", "toml", &recordingFile{})
	compat.Keys(t, "platform-keys.txt", "json", &platformFile{})
	compat.Keys(t, "platform-settings-keys.txt", "json", &settingsFile{})
}
