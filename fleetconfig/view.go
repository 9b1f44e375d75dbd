package fleetconfig

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
)

// View is an immutable Document with lookup tables. It is safe for concurrent use.
//
// To keep memory low with 80,000 accounts and keys, the tables refer to the items of
// the document by index and copy neither items nor names.
type View struct {
	document *Document
	keys     keyIndex
	accounts accountIndex
	preset   *Preset
}

// NewView builds the lookup tables of a document whose slices are ordered as
// described at Document. The document must not be modified afterwards.
func NewView(document *Document) *View {
	view := &View{
		document: document,
		keys:     newKeyIndex(document.Keys),
		accounts: newAccountIndex(document.Accounts),
	}
	for i := range document.Presets {
		if document.Presets[i].Name == document.ActivePreset {
			view.preset = &document.Presets[i]
		}
	}
	if view.preset == nil {
		view.preset = &Preset{Name: document.ActivePreset}
	}
	return view
}

// Document returns the document of the view. It must not be modified.
func (v *View) Document() *Document { return v.document }

// Version returns the version of the document.
func (v *View) Version() uint64 { return v.document.Version }

// KeyByHash returns the key with the given digest, or nil if there is none.
func (v *View) KeyByHash(hash KeyHash) *Key { return v.keys.byHash(&hash) }

// KeyByID returns the key with the given id, or nil if there is none.
func (v *View) KeyByID(id KeyID) *Key { return v.keys.byID(id) }

// Account returns the account, or nil if there is none.
func (v *View) Account(id AccountID) *Account { return v.accounts.find(id) }

// Service returns the service, or nil if there is none.
func (v *View) Service(name ServiceName) *Service {
	services := v.document.Services
	at, found := slices.BinarySearchFunc(services, name, func(service Service, name ServiceName) int {
		return cmp.Compare(service.Name, name)
	})
	if !found {
		return nil
	}
	return &services[at]
}

// Route returns a route by its ID, or nil if there is none.
func (v *View) Route(id string) *Route {
	routes := v.document.Routes
	at := sort.Search(len(routes), func(i int) bool { return routes[i].ID >= id })
	if at == len(routes) || routes[at].ID != id {
		return nil
	}
	return &routes[at]
}

// ActivePreset returns the active preset. It is never nil.
func (v *View) ActivePreset() *Preset { return v.preset }

// Evacuated reports whether the backend servers in the failure domain get no new requests.
func (v *View) Evacuated(domain FailureDomain) bool {
	_, found := slices.BinarySearch(v.document.EvacuatedDomains, domain)
	return found
}

// accountIndex is an open-addressing hash table of indexes into the accounts of a
// document. A slot holds the index of an account plus one; zero marks an empty slot.
// At least a third of the slots are empty, so that probing terminates.
type accountIndex struct {
	accounts []Account
	slots    []uint32
}

func newAccountIndex(accounts []Account) accountIndex {
	index := accountIndex{
		accounts: accounts,
		slots:    make([]uint32, 1<<bits.Len(uint(len(accounts)+len(accounts)/2))),
	}
	for i := range accounts {
		slot := index.firstSlot(accounts[i].ID)
		for index.slots[slot] != 0 {
			slot = index.next(slot)
		}
		index.slots[slot] = uint32(i + 1)
	}
	return index
}

func (x *accountIndex) find(id AccountID) *Account {
	slot := x.firstSlot(id)
	for x.slots[slot] != 0 {
		account := &x.accounts[x.slots[slot]-1]
		if account.ID == id {
			return account
		}
		slot = x.next(slot)
	}
	return nil
}

// firstSlot hashes an account ID with FNV-1a
// (http://www.isthe.com/chongo/tech/comp/fnv/). IDs are assigned by operators, so the
// hash need not resist collision attacks.
func (x *accountIndex) firstSlot(id AccountID) uint64 {
	const (
		offsetBasis = 14695981039346656037
		prime       = 1099511628211
	)
	hash := uint64(offsetBasis)
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * prime
	}
	// The low bits are not well distributed, so mix in the high half.
	hash ^= hash >> 32
	return hash & uint64(len(x.slots)-1)
}

func (x *accountIndex) next(slot uint64) uint64 {
	return (slot + 1) & uint64(len(x.slots)-1)
}
