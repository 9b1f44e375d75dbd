package fleetconfig

// View is an immutable Document with lookup tables. It is safe for concurrent
// use.
type View struct {
	document *Document
	keys     map[KeyHash]*Key
	keyIDs   map[KeyID]*Key
	accounts map[AccountID]*Account
	services map[ServiceName]*Service
	preset   *Preset
}

// NewView builds the lookup tables of a document. The document must not change
// afterwards.
func NewView(document *Document) *View {
	view := &View{
		document: document,
		keys:     make(map[KeyHash]*Key, len(document.Keys)),
		keyIDs:   make(map[KeyID]*Key, len(document.Keys)),
		accounts: make(map[AccountID]*Account, len(document.Accounts)),
		services: make(map[ServiceName]*Service, len(document.Services)),
	}
	for i := range document.Keys {
		key := &document.Keys[i]
		view.keys[key.Hash] = key
		view.keyIDs[key.Hash.ID()] = key
	}
	for i := range document.Accounts {
		view.accounts[document.Accounts[i].ID] = &document.Accounts[i]
	}
	for i := range document.Services {
		view.services[document.Services[i].Name] = &document.Services[i]
	}
	for i := range document.Presets {
		if document.Presets[i].Name == document.PresetInForce {
			view.preset = &document.Presets[i]
		}
	}
	if view.preset == nil {
		view.preset = &Preset{Name: document.PresetInForce}
	}
	return view
}

// Document returns the document of the view. It must not be changed.
func (v *View) Document() *Document { return v.document }

// Version returns the version of the document.
func (v *View) Version() uint64 { return v.document.Version }

// KeyByHash returns the key with the given digest, or nil when there is none.
func (v *View) KeyByHash(hash KeyHash) *Key { return v.keys[hash] }

// KeyByID returns the key with the given id, or nil when there is none.
func (v *View) KeyByID(id KeyID) *Key { return v.keyIDs[id] }

// Account returns the account, or nil when there is none.
func (v *View) Account(id AccountID) *Account { return v.accounts[id] }

// Service returns the service, or nil when there is none.
func (v *View) Service(name ServiceName) *Service { return v.services[name] }

// Preset returns the preset in force. It is never nil.
func (v *View) Preset() *Preset { return v.preset }
