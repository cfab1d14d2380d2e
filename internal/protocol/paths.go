package protocol

// Paths that a controller serves to users and workers.
const (
	PathSubmit    = "/submissions"
	PathPoll      = "/submissions/:id"
	PathCancel    = "/submissions/:id/cancel"
	PathHealth    = "/healthz"
	PathHeartbeat = "/agent/beat"
)

// PathCommands is the path at which a worker accepts DirectCommands.
const PathCommands = "/orders"

// Paths of the key-value store.
const (
	PathKeys    = "/keys"
	PathCommit  = "/commit"
	PathChanges = "/changes"
)

// Paths of the cloud's API.
const (
	PathCatalog  = "/catalog"
	PathMachines = "/hosts"
	PathScaleIn  = "/hosts/release"
)
