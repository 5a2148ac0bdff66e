package accountant

import (
	"crypto/subtle"
	"encoding/binary"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// Directory maps the keys of a layout to its accounts. It is never changed, so it may be
// read by several goroutines.
type Directory struct {
	// byPrefix groups the keys by the first bytes of their digests, so that the rest is
	// compared in constant time.
	byPrefix map[uint64][]keyOwner
}

// keyOwner is a key and the account that it belongs to.
type keyOwner struct {
	digest modeler.KeyDigest
	team   modeler.TeamName
}

// NewDirectory returns the directory of the accounts, or an error if two of them have
// the same key.
func NewDirectory(accounts []modeler.Account) (*Directory, error) {
	d := &Directory{byPrefix: make(map[uint64][]keyOwner)}
	for i := range accounts {
		a := &accounts[i]
		for _, digest := range a.Keys {
			owner, found := d.Find(&digest)
			if found && owner != a.Team.Name {
				return nil, classifier.New(classifier.TicketInvalid, "the accounts %s and %s have the same key", owner, a.Team.Name)
			}
			if !found {
				prefix := prefixOf(&digest)
				d.byPrefix[prefix] = append(d.byPrefix[prefix], keyOwner{digest: digest, team: a.Team.Name})
			}
		}
	}
	return d, nil
}

// Find returns the account that a key belongs to. A nil key belongs to none.
func (d *Directory) Find(key *modeler.KeyDigest) (modeler.TeamName, bool) {
	if key == nil {
		return "", false
	}
	for i := range d.byPrefix[prefixOf(key)] {
		owner := &d.byPrefix[prefixOf(key)][i]
		if subtle.ConstantTimeCompare(owner.digest[:], key[:]) == 1 {
			return owner.team, true
		}
	}
	return "", false
}

func prefixOf(key *modeler.KeyDigest) uint64 { return binary.LittleEndian.Uint64(key[:8]) }
