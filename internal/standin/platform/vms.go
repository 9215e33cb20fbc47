package platform

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

var errUnknownControl = errors.New("no such control")

// ParseVMs reads a JSON list of VMs.
func ParseVMs(body []byte) ([]sassafrastray.VM, error) {
	var vms []sassafrastray.VM
	err := json.Unmarshal(body, &vms)
	return vms, errors.Wrap(err, "list of VMs")
}
