package protocol

// Paths of the users' and the workers' interface of a controller.
const (
	PathSubmit    = "/submissions"
	PathPoll      = "/submissions/:id"
	PathCancel    = "/submissions/:id/cancel"
	PathHealth    = "/healthz"
	PathHeartbeat = "/agent/beat"
)

// PathCommands is the path for direct commands on a machine's worker.
const PathCommands = "/orders"

// Paths of the key-value store.
const (
	PathKeys    = "/keys"
	PathCommit  = "/commit"
	PathChanges = "/changes"
)

// Paths of the cloud's interface.
const (
	PathCatalog  = "/catalog"
	PathMachines = "/hosts"
	PathScaleIn  = "/hosts/release"
)
