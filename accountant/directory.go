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

// NewDirectory returns the directory of the accounts. It returns an error if two of them
// have the same name or the same key, or if one has no name: its flows would belong to no
// account, be seen by all callers and have no quota.
func NewDirectory(accounts []modeler.Account) (*Directory, error) {
	d := &Directory{byPrefix: make(map[uint64][]keyOwner)}
	named := make(map[modeler.TeamName]bool, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		if a.Team.Name == "" {
			return nil, classifier.New(classifier.TicketInvalid, "account %d has no name", i)
		}
		if named[a.Team.Name] {
			return nil, classifier.New(classifier.TicketInvalid, "two accounts have the name %s", a.Team.Name)
		}
		named[a.Team.Name] = true
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
